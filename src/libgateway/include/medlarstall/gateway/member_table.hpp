#ifndef MEDLARSTALL_GATEWAY_MEMBER_TABLE_HPP
#define MEDLARSTALL_GATEWAY_MEMBER_TABLE_HPP

#include <medlarstall/gateway/entry_capacity.hpp>
#include <medlarstall/gateway/peer_update.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::gateway {

/// How long a daemon that is silent still counts as a member.
struct member_timeouts
{
    /// A daemon is live for this long after its last update.
    std::chrono::milliseconds live{2000};
    /// A silent daemon is counted for this long among those that share budgets.
    std::chrono::seconds budget_share{30};
    /// A daemon that is silent for longer is removed from the member list.
    std::chrono::minutes removal{10};
};

/// The other daemons of the fleet and the last update of each, by the address
/// at which each receives updates. Performs no I/O; owned by the gateway.
class member_table
{
public:
    /// State of another daemon.
    struct member
    {
        std::string address; ///< Where it receives updates, as IP:PORT.
        peer_update update;  ///< Its latest update.
        time_point last_heard = time_point::min(); ///< When that was received.
        time_point last_added_at; ///< When it was last added to the table.
    };

    /// \param timeouts how long a silent daemon counts
    explicit member_table(member_timeouts timeouts = {});

    /// Adds a daemon from the member list or from the settings.
    /// \param address where it receives updates, as IP:PORT
    /// \param now current time
    void add(std::string const& address, time_point now);

    /// Removes a daemon that has left the fleet.
    /// \param address where it received updates, as IP:PORT
    void remove(std::string const& address);

    /// Merges an update of a daemon, which is added if it is not known yet.
    /// \param address where the daemon receives updates, as IP:PORT
    /// \param update update that was received
    /// \param now current time
    /// \return false if the update is not newer than the last one
    bool merge(std::string const& address, peer_update const& update,
               time_point now);

    /// \return when a daemon that has just started was last heard for the first
    ///     time; empty if none was
    [[nodiscard]] std::optional<time_point> start_heard_at() const
    {
        return start_heard_at_;
    }

    /// \return number that increases when a daemon is added or removed
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

    /// \param address where a daemon receives updates, as IP:PORT
    /// \return the daemon; null if the table does not contain it
    [[nodiscard]] member const* find(std::string const& address) const;

    /// \param address where a daemon receives updates, as IP:PORT
    /// \return true if the table contains the daemon
    [[nodiscard]] bool contains(std::string const& address) const;

    /// \param address where a daemon receives updates, as IP:PORT
    /// \param now current time
    /// \return true if the daemon is known and live
    [[nodiscard]] bool is_live(std::string const& address,
                               time_point now) const;

    /// \param now current time
    /// \return the live daemons; valid until the table changes
    [[nodiscard]] std::vector<member const*> live_members(time_point now) const;

    /// \return addresses at which the daemons receive updates
    [[nodiscard]] std::vector<std::string> addresses() const;

    /// Selects the other daemons that share limits of the whole fleet. Those
    /// that are silent for long are left out only if most daemons are heard:
    /// otherwise this daemon may be cut off from others that are running.
    /// \param now current time
    /// \return addresses at which they receive updates
    [[nodiscard]] std::vector<std::string> limit_sharers(time_point now) const;

    /// \param peers addresses of other daemons
    /// \param now current time
    /// \return the given peers that have been silent for so long that they
    ///     should be removed
    [[nodiscard]] std::vector<std::string>
    lost_members(std::vector<std::string> const& peers, time_point now) const;

    /// \param now current time
    /// \return the other ready daemons, with their capacity for callers
    [[nodiscard]] std::vector<entry_candidate>
    entry_candidates(time_point now) const;

private:
    bool heard_recently(member const& item, time_point now) const;
    duration silence_of(std::string const& address, time_point now) const;

    member_timeouts timeouts_;
    std::map<std::string, member> members_;
    std::uint64_t revision_ = 0;
    std::optional<time_point> start_heard_at_;
};

} // namespace medlarstall::gateway

#endif
