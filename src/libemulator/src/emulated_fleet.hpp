#ifndef MEDLARSTALL_EMULATOR_SRC_EMULATED_FLEET_HPP
#define MEDLARSTALL_EMULATOR_SRC_EMULATED_FLEET_HPP

#include "emulated_servers.hpp"

#include <medlarstall/dispatch/attempt_policy.hpp>
#include <medlarstall/dispatch/dispatcher.hpp>
#include <medlarstall/emulator/event_queue.hpp>
#include <medlarstall/emulator/experiment.hpp>
#include <medlarstall/emulator/outcome_record.hpp>
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

/// Daemons and callers of an experiment. The daemons decide with the product's
/// own libraries; connections, news and probes are events in virtual time.
class emulated_fleet
{
public:
    /// \param events virtual time
    /// \param what the experiment
    /// \param arrivals its requests; a call is named by its position
    /// \param strategy how requests are placed
    /// \param seed seed of all random choices
    emulated_fleet(event_queue& events, experiment const& what,
                   std::vector<arrival> const& arrivals,
                   placement_strategy strategy, std::uint64_t seed);

    /// Begins with all calls, news and probes.
    void start();

    /// Takes a backend server down.
    /// \param server its id
    /// \param unnoticed until its connections are lost
    void crash(std::string const& server, duration unnoticed);

    /// Stops all daemons at once and starts them with empty memory.
    void restart_daemons();

    /// \return the backend servers
    [[nodiscard]] emulated_servers& servers() { return servers_; }

    /// \return what callers saw
    [[nodiscard]] outcome_record const& seen() const { return seen_; }

    /// \return sends to backend servers so far
    [[nodiscard]] std::uint64_t sends() const { return sent_; }

    /// \return prompt tokens copied between backend servers so far
    [[nodiscard]] std::uint64_t copied_tokens() const { return copied_; }

private:
    struct prompt_note
    {
        std::string server;
        dispatch::prompt sent;
    };
    struct daemon
    {
        std::unique_ptr<dispatch::dispatcher> decisions;
        std::vector<prompt_note> untold;
        std::size_t cell = 0;
    };
    struct call_state
    {
        dispatch::attempt_record attempts;
        std::vector<std::string> tried;
        std::optional<std::uint64_t> send;
        std::size_t daemon = 0;
        std::uint32_t events = 0; ///< That the caller has.
        std::uint32_t returns = 0;
        time_point asked; ///< Begin of this try of the caller.
    };
    struct send_state
    {
        std::size_t call = 0;
        dispatch::ticket held;
    };

    routes::route const& route_of(std::size_t call) const;
    dispatch::dispatcher& decisions_for(std::size_t call);
    void make_daemons();
    std::unique_ptr<dispatch::dispatcher> make_dispatcher() const;
    template<class Tell>
    void for_each_peer(std::size_t of, Tell tell);
    dispatch::work work_of(std::size_t call) const;
    void ask(std::size_t call);
    void place(std::size_t call);
    void send(std::size_t call, dispatch::work const& wanted,
              dispatch::placement const& where);
    void arrive(std::uint64_t send, std::string const& server, bool copies);
    void tell_prompt(std::size_t from, prompt_note note, bool is_new);
    void on_event(std::uint64_t send, std::uint32_t events, bool whole);
    void take_event(std::uint64_t send, bool whole);
    void on_lost(std::uint64_t send);
    void on_unreachable(std::uint64_t send);
    bool has_budget(std::size_t call, dispatch::send_failure failure);
    void on_turned_away(std::uint64_t send);
    std::size_t end_send(std::uint64_t send, dispatch::send_outcome outcome);
    void after_failure(std::size_t call, dispatch::send_failure failure);
    void refuse(std::size_t call, duration retry_after);
    void on_time_limit(std::size_t call);
    void tick();
    void probe(std::size_t from, std::string const& server);
    void tell_news();

    event_queue& events_;
    experiment const& what_;
    std::vector<arrival> const& arrivals_;
    placement_strategy strategy_;
    std::mt19937_64 random_;
    std::shared_ptr<routes::route_table const> table_;
    emulated_servers servers_;
    outcome_record seen_;
    std::vector<daemon> daemons_;
    std::vector<call_state> calls_;
    std::unordered_map<std::uint64_t, send_state> sends_;
    std::uint64_t sent_ = 0;
    std::uint64_t copied_ = 0;
};

} // namespace medlarstall::emulator

#endif
