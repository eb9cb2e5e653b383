#ifndef MEDLARSTALL_MEMBERSHIP_BACKEND_SERVER_STATES_HPP
#define MEDLARSTALL_MEMBERSHIP_BACKEND_SERVER_STATES_HPP

#include <medlarstall/membership/heartbeat.hpp>
#include <medlarstall/membership/instances.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::membership {

/// Whether a backend server may get work.
enum class backend_server_state
{
    live,
    leaving, ///< It finishes what it has and gets no new work.
    gone     ///< It is not listed.
};

/// What is known of the backend servers, from a list that lags and from
/// notices that do not. A server that any daemon saw leaving gets no new work,
/// even while the list still has it as live. It counts as live again when the
/// list has shown it leaving, or not at all, and then live; or when the list
/// has shown it as live for longer than it can lag.
class backend_server_states
{
public:
    /// \param list_lag longest time by which the list lags
    explicit backend_server_states(
        std::chrono::milliseconds list_lag = std::chrono::seconds{60});

    /// Takes a reading of the instance list, or the catalogue's servers.
    /// \param servers all backend servers
    /// \param now current time
    /// \return notices to tell the other daemons
    std::vector<leaving_notice>
    on_list(std::vector<backend_server_info> const& servers, time_point now);

    /// Takes what another daemon told.
    /// \return true if the state of the backend server changed
    bool on_notice(leaving_notice const& notice, time_point now);

    /// Notes that a backend server said that it is leaving.
    /// \return a notice to tell the other daemons, or nothing if it was known
    std::optional<leaving_notice> on_leaving(std::string const& backend_server,
                                             time_point now);

    /// \param backend_server id of a backend server
    /// \return its state
    [[nodiscard]] backend_server_state
    state(std::string const& backend_server) const;

    /// \return the live and leaving ones in the order of their ids; leaving
    ///     ones have their mark set
    [[nodiscard]] std::vector<backend_server_info> servers() const;

    /// \return ids of which nothing is known any more since the last call; see
    ///     live_view::forget_leaving()
    [[nodiscard]] std::vector<std::string> take_forgotten();

    /// \return a number that grows with each change of servers()
    [[nodiscard]] std::uint64_t generation() const { return generation_; }

private:
    struct entry
    {
        backend_server_info info;
        bool listed = false;
        bool list_leaving = false;
        bool leaving = false;
        std::uint64_t epoch = 0;
        time_point leaving_since;
    };

    std::optional<leaving_notice> set_leaving(std::string const& id, entry& one,
                                              bool leaving, time_point now);
    std::optional<leaving_notice> update_listed(backend_server_info const& info,
                                                time_point now);

    std::chrono::milliseconds list_lag_;
    std::map<std::string, entry> entries_;
    std::vector<std::string> forgotten_;
    std::uint64_t generation_ = 0;
};

} // namespace medlarstall::membership

#endif
