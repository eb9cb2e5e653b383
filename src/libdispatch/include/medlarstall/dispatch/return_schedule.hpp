#ifndef MEDLARSTALL_DISPATCH_RETURN_SCHEDULE_HPP
#define MEDLARSTALL_DISPATCH_RETURN_SCHEDULE_HPP

#include <medlarstall/support/time.hpp>

#include <cstdint>
#include <map>

namespace medlarstall::dispatch {

/// Tells callers whose requests exceed the rate limits of a service when to
/// come back, so that they return at the rate at which they can be served, and
/// the more urgent ones first. Does no I/O; owned by the dispatcher.
class return_schedule
{
public:
    /// Books the next free time for a caller.
    /// \param urgency_rank rank of its request; 0 is the most urgent
    /// \param earliest time until any request may be served
    /// \param requests_per_second rate at which this daemon can serve callers
    ///     that return; above zero
    /// \param now current time
    /// \return time after which the caller should come back
    duration book(std::uint32_t urgency_rank, duration earliest,
                  double requests_per_second, time_point now);

private:
    /// Next free time, for each rank.
    std::map<std::uint32_t, time_point> next_free_;
};

} // namespace medlarstall::dispatch

#endif
