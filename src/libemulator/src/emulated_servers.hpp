#ifndef MEDLARSTALL_EMULATOR_SRC_EMULATED_SERVERS_HPP
#define MEDLARSTALL_EMULATOR_SRC_EMULATED_SERVERS_HPP

#include <medlarstall/dispatch/backend_server_entry.hpp>
#include <medlarstall/dispatch/dispatcher.hpp>
#include <medlarstall/emulator/experiment.hpp>
#include <medlarstall/emulator/model_server.hpp>
#include <medlarstall/emulator/plain_server.hpp>
#include <medlarstall/emulator/prefill_counter.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlarstall::emulator {

/// One attempt to run a request on a backend server.
struct server_request
{
    std::uint64_t send = 0;   ///< Number of the send, unique in a run.
    model_request model_work; ///< For a service with a model.
    duration service_time{0}; ///< For a service without a model.
};

/// All backend servers of an experiment, addressed by their ids.
class emulated_servers
{
public:
    /// \param events virtual clock, which has to outlive the servers
    /// \param spec experiment with the services
    /// \param on_event called with the send number for each event of an
    ///        answer; a server without a model sends a single event
    emulated_servers(event_queue& events, experiment const& spec,
                     model_server::listener const& on_event);

    /// \return one backend server entry for each server, as daemons list it
    [[nodiscard]] std::vector<dispatch::backend_server_entry> const&
    entries() const
    {
        return entries_;
    }

    /// Delivers a request to a backend server.
    /// \param server id of the server
    /// \param request the request
    /// \return false if the server rejects the request
    [[nodiscard]] bool submit(std::string const& server,
                              server_request request);

    /// Cancels a request on a server with a model. A server without a model
    /// runs it to the end.
    /// \param server id of the server
    /// \param send number of the send
    void cancel(std::string const& server, std::uint64_t send);

    /// Adds copied prompt parts to the cache of a server with a model.
    /// \param server id of the server
    /// \param parts prompt parts from the start of a prompt
    void insert_copied_parts(std::string const& server,
                             std::vector<dispatch::prompt_part> const& parts);

    /// \param server id of the server
    /// \return false between a crash and a restart
    [[nodiscard]] bool is_up(std::string const& server) const;

    /// \param server id of the server
    /// \return the load as the server reports it; 0 without a model
    [[nodiscard]] dispatch::server_load_report
    load_of(std::string const& server) const;

    /// Takes a backend server down.
    /// \param server id of the server
    /// \return numbers of the sends that it dropped
    std::vector<std::uint64_t> crash(std::string const& server);

    /// Brings a backend server up again.
    /// \param server id of the server
    void restart(std::string const& server);

    /// Sets the slowdown by a disturbance.
    /// \param server id of the server
    /// \param factor multiplies the processing time; 1 is normal speed
    void set_slowdown(std::string const& server, double factor);

    /// Sets the random slowdown, which multiplies that by a disturbance.
    /// \param server id of the server
    /// \param factor multiplies the processing time; 1 is normal speed
    void set_noise(std::string const& server, double factor);

    /// \return counts of the prompt tokens that all servers computed
    [[nodiscard]] prefill_counter const& prefills() const { return prefills_; }

    /// \return number of preemptions on all servers
    [[nodiscard]] std::uint64_t preemptions() const;

private:
    /// Exactly one of model and plain is set.
    struct server
    {
        std::unique_ptr<model_server> model;
        std::unique_ptr<plain_server> plain;
        double slowdown = 1;
        double noise = 1;
    };

    static void apply_slowdown(server const& target);
    server const& at(std::string const& id) const { return servers_.at(id); }

    prefill_counter prefills_;
    std::map<std::string, server> servers_;
    std::vector<dispatch::backend_server_entry> entries_;
};

} // namespace medlarstall::emulator

#endif
