#ifndef MEDLARSTALL_DISPATCH_RATE_PERMITS_HPP
#define MEDLARSTALL_DISPATCH_RATE_PERMITS_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace medlarstall::dispatch {

/// The time of day, which is about the same at all daemons.
using shared_time = std::chrono::system_clock::time_point;

/// The daemons that share the rate limit of a backend server.
struct limit_sharers
{
    std::uint64_t server = 0; ///< Hash of the id of the backend server.
    std::uint64_t own = 0;    ///< Hash of the name of this daemon.
    /// Hashes of the names of all of them; null if there are none. This daemon
    /// gets no permits if it is not among them.
    std::shared_ptr<std::vector<std::uint64_t> const> all;

    /// \return number of daemons that share the limit
    [[nodiscard]] std::size_t count() const { return all ? all->size() : 0; }

    /// \return true if this daemon is one of them
    [[nodiscard]] bool includes_own() const;
};

/// \param sharers the daemons; this one must be among them
/// \param number number of one of the things that they divide
/// \return true if it belongs to this daemon, by rendezvous hashing
[[nodiscard]] bool owns_number(limit_sharers const& sharers,
                               std::int64_t number);

/// The permits of this daemon to send requests to a backend server that limits
/// the rate of all daemons together.
///
/// The daemons share the permits without messages. If the limit is at least one
/// permit per second for each daemon, each gets an equal part of the rate.
/// Otherwise the permits are numbered by the time of day, and each belongs to
/// the daemon that comes first by rendezvous hashing of its number. Daemons
/// that do not know of the same others for a while then disagree on few permits
/// only. A permit that is not used expires, so that permits do not accumulate
/// and are not used all at once. In any span of s seconds, the daemons send at
/// most the limit times s + permit_lifetime(), plus one request or, in the
/// first case, plus one request for each daemon. Does no I/O; owned by the
/// dispatcher.
class rate_permits
{
public:
    /// Adds the permits that were issued since the last call.
    /// \param requests_per_second limit of all daemons together; above zero
    /// \param sharers the daemons that share the limit
    /// \param at current time of day
    /// \param now current time
    void advance(double requests_per_second, limit_sharers const& sharers,
                 shared_time at, time_point now);

    /// \param urgency_share rank of the urgency of a request divided by the
    ///     number of ranks; 0 is the most urgent. Permits are reserved for more
    ///     urgent requests for a part of their lifetime
    /// \param now current time
    /// \return true if the request may be sent
    [[nodiscard]] bool available(double urgency_share, time_point now) const;

    /// Uses up the oldest permit, if there is one.
    /// \param now current time
    void take(time_point now);

private:
    /// Permits that were issued at the same time.
    struct batch
    {
        time_point issued_at;
        std::size_t count = 0;
    };

    void add_equal_share(double rate, limit_sharers const& sharers,
                         shared_time from, shared_time at, time_point now);
    void add_numbered(double rate, limit_sharers const& sharers,
                      shared_time from, shared_time at, time_point now);
    void drop_excess(double share);

    std::deque<batch> batches_;
    duration lifetime_{0};
    double last_rate_ = 0;
    std::optional<shared_time> last_at_;
};

/// \param requests_per_second limit of all daemons together; above zero
/// \return time for which a permit may be used
[[nodiscard]] duration permit_lifetime(double requests_per_second);

/// \param requests_per_second limit of all daemons together; above zero
/// \param urgency_share as in rate_permits::available()
/// \param at current time of day
/// \return time until the next permit of any daemon may be used
[[nodiscard]] duration time_to_next_permit(double requests_per_second,
                                           double urgency_share,
                                           shared_time at);

} // namespace medlarstall::dispatch

#endif
