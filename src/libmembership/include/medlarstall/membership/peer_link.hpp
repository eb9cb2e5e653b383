#ifndef MEDLARSTALL_MEMBERSHIP_PEER_LINK_HPP
#define MEDLARSTALL_MEMBERSHIP_PEER_LINK_HPP

#include <medlarstall/membership/heartbeat.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>

namespace medlarstall::membership {

/// What a heartbeat is to the link on which it came.
enum class heartbeat_kind
{
    outdated, ///< Of a former run, or overtaken by a later one.
    next,
    restarted ///< The first of a new run of the other daemon.
};

/// The heartbeats exchanged with one other daemon. Owned by a live_view.
struct peer_link
{
    bool ring = false; ///< It belongs to the neighbour_graph.
    time_point heard;  ///< Last heartbeat from the other end.
    time_point echoed; ///< Last proof that the other end hears us.
    time_point sent;   ///< Last heartbeat to the other end.
    std::uint64_t sequence = 0;
    std::uint64_t heard_sequence = 0;
    std::uint64_t echoed_sequence = 0;
    std::uint64_t incarnation = 0; ///< Of the other daemon.
    unsigned mismatches = 0;       ///< Heartbeats in a row with other reports.
    bool was_heard = false;
    bool wanted = false; ///< It was looked for, as few others are sound.
    bool urgent = false; ///< The next heartbeat is sent at once.
    heartbeat last;      ///< Without what was to be passed on.

    /// Notes what a heartbeat proves.
    /// \param message heartbeat of the other end
    /// \param now current time
    /// \return an outdated one proves nothing and is to be ignored
    heartbeat_kind take(heartbeat const& message, time_point now);

    /// \param timeout silence that breaks a link
    /// \return true if the other end was heard lately
    [[nodiscard]] bool lively(std::chrono::milliseconds timeout,
                              time_point now) const
    {
        return now - heard < timeout;
    }
};

} // namespace medlarstall::membership

#endif
