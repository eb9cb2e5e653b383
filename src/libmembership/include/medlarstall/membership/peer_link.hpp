#ifndef MEDLARSTALL_MEMBERSHIP_PEER_LINK_HPP
#define MEDLARSTALL_MEMBERSHIP_PEER_LINK_HPP

#include <medlarstall/membership/heartbeat.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>

namespace medlarstall::membership {

/// How a received heartbeat relates to the previous ones of its link.
enum class heartbeat_kind
{
    outdated, ///< From an earlier run of the sender, or older than one that
              ///< was received before.
    next,     ///< Newer than all previous ones of the same run.
    restarted ///< The first one of a new run of the sender.
};

/// The state of the heartbeat exchange with one other daemon, the peer. Used
/// by live_view.
struct peer_link
{
    bool in_graph = false;        ///< The neighbour_graph contains the link.
    time_point last_received;     ///< Time of the last heartbeat of the peer.
    time_point last_acknowledged; ///< Last time at which the peer confirmed a
                                  ///< further heartbeat of this daemon.
    time_point last_sent;         ///< Time of the last heartbeat to the peer.
    std::uint64_t sequence = 0;   ///< Number of the last heartbeat sent.
    std::uint64_t received_sequence = 0;     ///< Greatest number received.
    std::uint64_t acknowledged_sequence = 0; ///< Greatest number that the peer
                                             ///< confirmed.
    std::uint64_t incarnation = 0;           ///< Start time of the peer.
    unsigned mismatches = 0;    ///< Consecutive heartbeats of the peer with
                                ///< a different heartbeat::reports_hash.
    bool ever_received = false; ///< The peer sent at least one heartbeat.
    bool is_probe = false;      ///< It was opened because too few other
                                ///< links are healthy.
    bool urgent = false;        ///< The next tick sends a heartbeat.
    heartbeat last_heartbeat;   ///< Last one of the peer, without reports
                                ///< and notices.

    /// Updates the link from a heartbeat of the peer.
    /// \param message the heartbeat
    /// \param now current time
    /// \return how the heartbeat relates to the previous ones; the caller must
    ///     ignore an outdated one
    heartbeat_kind on_heartbeat(heartbeat const& message, time_point now);

    /// \param timeout time without a heartbeat that breaks a link
    /// \param now current time
    /// \return true if a heartbeat was received within \p timeout
    [[nodiscard]] bool received_within(std::chrono::milliseconds timeout,
                                       time_point now) const
    {
        return now - last_received < timeout;
    }
};

} // namespace medlarstall::membership

#endif
