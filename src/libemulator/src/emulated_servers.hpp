#ifndef MEDLARSTALL_EMULATOR_SRC_EMULATED_SERVERS_HPP
#define MEDLARSTALL_EMULATOR_SRC_EMULATED_SERVERS_HPP

#include <medlarstall/dispatch/backend_server_entry.hpp>
#include <medlarstall/dispatch/dispatcher.hpp>
#include <medlarstall/emulator/experiment.hpp>
#include <medlarstall/emulator/model_server.hpp>
#include <medlarstall/emulator/plain_server.hpp>
#include <medlarstall/emulator/reading_record.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlarstall::emulator {

/// A request as it is sent to a backend server. Plain data.
struct send_work
{
    std::uint64_t send = 0; ///< Number of the send.
    model_work prompt;      ///< For a service with a model.
    duration work{0};       ///< For one without.
};

/// All backend servers of an experiment.
class emulated_servers
{
public:
    /// \param events virtual time
    /// \param from the experiment
    /// \param on_event told each event of each answer
    emulated_servers(event_queue& events, experiment const& from,
                     model_server::listener const& on_event);

    /// \return all entries of the list
    [[nodiscard]] std::vector<dispatch::backend_server_entry> const&
    entries() const
    {
        return entries_;
    }

    /// Sends a request to a backend server.
    /// \param server its id
    /// \param work the request
    /// \return false if it is turned away
    [[nodiscard]] bool submit(std::string const& server, send_work work);

    /// Drops a request at a backend server.
    /// \param server its id
    /// \param send number of the send
    void cancel(std::string const& server, std::uint64_t send);

    /// Copies prompt parts to a backend server.
    /// \param server its id
    /// \param parts the parts
    void keep_copied(std::string const& server,
                     std::vector<dispatch::prompt_part> const& parts);

    /// \param server id of a backend server
    /// \return false between a crash and a restart
    [[nodiscard]] bool is_up(std::string const& server) const;

    /// \param server id of a backend server
    /// \return what it tells of its load
    [[nodiscard]] dispatch::reported_load
    load_of(std::string const& server) const;

    /// Takes a backend server down.
    /// \param server its id
    /// \return numbers of the sends that were lost
    std::vector<std::uint64_t> crash(std::string const& server);

    /// Brings a backend server up again.
    /// \param server its id
    void restart(std::string const& server);

    /// \param server id of a backend server
    /// \param factor multiple of the time that its work takes
    void set_slowness(std::string const& server, double factor);

    /// As set_slowness, which it multiplies.
    void set_noise(std::string const& server, double factor);

    /// \return prompt tokens that were read
    [[nodiscard]] reading_record const& readings() const { return readings_; }

    /// \return requests that lost their place in a batch
    [[nodiscard]] std::uint64_t preemptions() const;

private:
    /// One of both.
    struct server
    {
        std::unique_ptr<model_server> model;
        std::unique_ptr<plain_server> plain;
        double slowness = 1;
        double noise = 1;
    };

    static void apply_slowness(server const& to);
    server const& at(std::string const& id) const { return servers_.at(id); }

    reading_record readings_;
    std::map<std::string, server> servers_;
    std::vector<dispatch::backend_server_entry> entries_;
};

} // namespace medlarstall::emulator

#endif
