#ifndef MEDLARSTALL_DISPATCH_SERVER_ROOM_HPP
#define MEDLARSTALL_DISPATCH_SERVER_ROOM_HPP

#include <medlarstall/dispatch/rate_permits.hpp>
#include <medlarstall/support/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace medlarstall::dispatch {

/// Why a backend server that must not reject many requests may be sent another
/// one, or why not.
enum class room_decision
{
    free,       ///< A slot seems free, and the service is not crowded.
    own_slot,   ///< A slot that is reserved for this daemon is free.
    equal_part, ///< It is one of this daemon's part of the free slots.
    permit,     ///< A slot seems free, and a rejection could be borne.
    full,       ///< All slots are in use, as far as is known.
    no_permit,  ///< A slot seems free, but too many could be rejected.
    paused      ///< It has rejected a request of this daemon just now.
};

/// \param decision decision to name
/// \return its name in log lines and metrics
[[nodiscard]] char const* name_of(room_decision decision);

/// \param decision decision to examine
/// \return true if the request may be sent
[[nodiscard]] constexpr bool admits(room_decision decision)
{
    return decision <= room_decision::permit;
}

/// Requests that a backend server has, as far as a daemon knows.
struct room_load
{
    double all = 0; ///< Of all daemons.
    double own = 0; ///< Of this daemon.
    /// Of other daemons, beyond the slots that are reserved for them.
    double excess = 0;
    /// Whether the slots of its service may not suffice for all requests.
    bool crowded = false;
};

/// Keeps the requests of all daemons to the slots of a backend server that
/// crashes if it has to reject many. Requests that wait at it could be
/// rejected, so none are meant to.
///
/// While the service is not crowded, each free slot may be used. Otherwise the
/// daemons divide the slots without messages: each gets an equal number, and
/// the rest go to the first by rendezvous hashing. While less than half of all
/// are in use, as far as the daemons have told, a daemon may use its equal part
/// of the rest of that half in each interval of their updates. Further sends
/// need permits, which are so few that the backend server survives a rejection
/// of each. After a rejection the daemon pauses for so long that the daemons
/// that have slots cannot cause many either. Does no I/O; owned by the
/// dispatcher.
class server_room
{
public:
    /// Adds the permits that were issued since the last call, and divides the
    /// slots. To be called before decide() while the backend server is in need.
    /// \param rejections_per_second rejections that it survives
    /// \param slots number of its slots
    /// \param sharers the daemons that use it
    /// \param at current time of day
    /// \param now current time
    void advance(double rejections_per_second, std::uint32_t slots,
                 limit_sharers const& sharers, shared_time at, time_point now);

    /// \return number of its slots that are reserved for each daemon at least
    [[nodiscard]] double slots_of_each() const;

    /// \return number of slots that are left when each daemon has as many
    [[nodiscard]] double other_slots() const;

    /// \return number of its slots that are reserved for this daemon
    [[nodiscard]] std::uint32_t own_slots() const { return own_slots_; }

    /// \param load requests that it has
    /// \param urgency_share as in rate_permits::available()
    /// \param now current time
    /// \return whether one more request may be sent
    [[nodiscard]] room_decision
    decide(room_load const& load, double urgency_share, time_point now) const;

    /// Called when a request is sent.
    /// \param decision result of decide() for it
    /// \param now current time
    void on_sent(room_decision decision, time_point now);

    /// Called when the backend server has rejected a request of this daemon.
    /// \param now current time
    void on_rejected(time_point now);

private:
    void divide_slots(std::uint32_t slots, limit_sharers const& sharers);
    [[nodiscard]] bool has_equal_part(double all, time_point now) const;

    double rejections_per_second_ = 0;
    std::uint32_t slots_ = 0;
    std::uint32_t own_slots_ = 0;
    std::size_t daemons_ = 0;
    /// For which the slots were divided.
    std::shared_ptr<std::vector<std::uint64_t> const> divided_among_;
    rate_permits permits_;
    std::deque<time_point> equal_part_sends_; ///< Of the last update interval.
    time_point paused_until_ = time_point::min();
};

} // namespace medlarstall::dispatch

#endif
