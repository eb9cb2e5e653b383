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

/// Tells whether a backend server may be given new requests.
enum class backend_server_state
{
    live,    ///< It is listed and accepts new requests.
    leaving, ///< It finishes its running requests and gets no new ones.
    unlisted ///< The server list does not contain it.
};

/// Tracks the state of the backend servers. It combines two sources: the
/// server list, which may be out of date, and leaving notices, which arrive
/// without that delay. A backend server that any daemon saw leaving gets no
/// new requests, even while the list still shows it as live. It counts as live
/// again in two cases: the list showed it as leaving or did not contain it,
/// and then showed it as live; or the list has shown it as live for longer
/// than the list can be out of date.
class backend_server_states
{
public:
    /// \param list_lag upper bound for how far the server list can be out of
    ///     date
    explicit backend_server_states(
        std::chrono::milliseconds list_lag = std::chrono::seconds{60});

    /// Updates the states from a new copy of the instance list, or from the
    /// backend servers of the catalogue.
    /// \param servers the complete list of backend servers
    /// \param now current time
    /// \return one notice for each backend server that started or stopped
    ///     leaving; the caller sends them to the other daemons
    std::vector<leaving_notice>
    on_server_list(std::vector<backend_server_info> const& servers,
                   time_point now);

    /// Applies a notice received from another daemon, unless a notice with the
    /// same or a later epoch was applied before.
    /// \return true if the notice changed whether the backend server is
    ///     leaving
    bool on_notice(leaving_notice const& notice, time_point now);

    /// Records that a backend server announced that it is leaving.
    /// \return a notice to send to the other daemons, or nothing if the
    ///     backend server was already known to be leaving
    std::optional<leaving_notice> on_leaving(std::string const& backend_server,
                                             time_point now);

    /// \param backend_server id of a backend server
    /// \return its state; unlisted if the id is unknown
    [[nodiscard]] backend_server_state
    state(std::string const& backend_server) const;

    /// \return the live and the leaving backend servers, sorted by id;
    ///     backend_server_info::leaving is set from the tracked state
    [[nodiscard]] std::vector<backend_server_info> servers() const;

    /// Returns the ids of the backend servers that were removed since the last
    /// call. Their leaving notices are no longer needed; see
    /// live_view::remove_leaving_notice().
    [[nodiscard]] std::vector<std::string> take_removed_ids();

    /// \return a counter that increases with every change of servers()
    [[nodiscard]] std::uint64_t generation() const { return generation_; }

private:
    struct entry
    {
        backend_server_info info;
        bool listed = false;
        bool list_leaving = false;
        bool leaving = false;
        std::uint64_t epoch = 0;
        time_point leaving_changed_at;
    };

    std::optional<leaving_notice> set_leaving(std::string const& id,
                                              entry& server, bool leaving,
                                              time_point now);
    std::optional<leaving_notice> update_listed(backend_server_info const& info,
                                                time_point now);

    std::chrono::milliseconds list_lag_;
    std::map<std::string, entry> entries_;
    std::vector<std::string> removed_ids_;
    std::uint64_t generation_ = 0;
};

} // namespace medlarstall::membership

#endif
