#ifndef MEDLARSTALL_EMULATOR_SRC_EMULATED_FLEET_HPP
#define MEDLARSTALL_EMULATOR_SRC_EMULATED_FLEET_HPP

#include "emulated_servers.hpp"

#include <medlarstall/dispatch/attempt_policy.hpp>
#include <medlarstall/dispatch/dispatcher.hpp>
#include <medlarstall/emulator/event_queue.hpp>
#include <medlarstall/emulator/experiment.hpp>
#include <medlarstall/emulator/outcome_recorder.hpp>
#include <medlarstall/emulator/placement_strategy.hpp>
#include <medlarstall/emulator/workload.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlarstall::emulator {

/// Daemons and callers of an experiment. The daemons decide with the libraries
/// of the product; their connections, peer updates and health probes are
/// events in virtual time.
class emulated_fleet
{
public:
    /// \param events virtual clock, which has to outlive the fleet
    /// \param spec experiment to run
    /// \param arrivals all requests; a call number is a position in this list
    /// \param strategy how daemons place requests
    /// \param seed seed of the random choices of daemons and callers
    emulated_fleet(event_queue& events, experiment const& spec,
                   std::vector<arrival> const& arrivals,
                   placement_strategy strategy, std::uint64_t seed);

    /// Schedules all calls and starts peer updates and health probes.
    void start();

    /// Takes a backend server down.
    /// \param server id of the server
    /// \param detection_delay time until daemons see the lost connections
    void crash(std::string const& server, duration detection_delay);

    /// Restarts all daemons at the same time. They lose their state, and the
    /// requests in progress are cancelled.
    void restart_daemons();

    /// \return the backend servers of the experiment
    [[nodiscard]] emulated_servers& servers() { return servers_; }

    /// \return what the callers have observed so far
    [[nodiscard]] outcome_recorder const& outcomes() const { return outcomes_; }

    /// \return number of requests sent to backend servers so far, with retries
    [[nodiscard]] std::uint64_t send_count() const { return send_count_; }

    /// \return prompt tokens copied between backend servers so far
    [[nodiscard]] std::uint64_t copied_tokens() const { return copied_tokens_; }

private:
    /// Tells peers that a server has computed a prompt and may cache it.
    struct prompt_update
    {
        std::string server;
        dispatch::prompt prompt;
    };
    struct daemon
    {
        std::unique_ptr<dispatch::dispatcher> dispatcher;
        std::vector<prompt_update> pending_updates; ///< Sent periodically.
        std::size_t cell = 0;
    };
    struct call_state
    {
        dispatch::attempt_record attempts;
        std::vector<std::string> tried_servers; ///< In the current try.
        std::optional<std::uint64_t> active_send;
        std::size_t daemon = 0;
        std::uint32_t events = 0; ///< Received by the caller in all tries.
        std::uint32_t caller_retries = 0;
        time_point try_started; ///< Start of the current try of the caller.
    };
    struct send_state
    {
        std::size_t call = 0;
        dispatch::load_reservation reservation;
    };

    routes::route const& route_of(std::size_t call) const;
    dispatch::dispatcher& dispatcher_for(std::size_t call);
    void make_daemons();
    std::unique_ptr<dispatch::dispatcher> make_dispatcher() const;
    template<class Visit>
    void for_each_peer(std::size_t index, Visit visit);
    dispatch::placement_request placement_request_for(std::size_t call) const;
    void start_try(std::size_t call);
    void try_place(std::size_t call);
    void send(std::size_t call, dispatch::placement_request const& request,
              dispatch::placement const& placement);
    void deliver(std::uint64_t send, std::string const& server,
                 bool with_copied_parts);
    void announce_prompt(std::size_t from, prompt_update update, bool is_new);
    void on_server_event(std::uint64_t send, std::uint32_t events,
                         bool is_last);
    void on_event_received(std::uint64_t send, bool is_last);
    void on_connection_lost(std::uint64_t send);
    void on_unreachable(std::uint64_t send);
    bool try_use_retry_budget(std::size_t call, dispatch::send_failure failure);
    void on_rejected(std::uint64_t send);
    std::size_t end_send(std::uint64_t send, dispatch::send_outcome outcome);
    void handle_failure(std::size_t call, dispatch::send_failure failure);
    void refuse(std::size_t call, duration retry_after);
    void on_time_limit(std::size_t call);
    void run_periodic_tasks();
    void probe(std::size_t from, std::string const& server);
    void send_peer_updates();

    event_queue& events_;
    experiment const& spec_;
    std::vector<arrival> const& arrivals_;
    placement_strategy strategy_;
    std::mt19937_64 random_;
    std::shared_ptr<routes::route_table const> routes_;
    emulated_servers servers_;
    outcome_recorder outcomes_;
    std::vector<daemon> daemons_;
    std::vector<call_state> calls_;
    std::unordered_map<std::uint64_t, send_state> sends_;
    std::uint64_t send_count_ = 0;
    std::uint64_t copied_tokens_ = 0;
};

} // namespace medlarstall::emulator

#endif
