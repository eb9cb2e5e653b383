#ifndef MEDLARSTALL_DISPATCH_REQUESTED_PAUSE_HPP
#define MEDLARSTALL_DISPATCH_REQUESTED_PAUSE_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <optional>

namespace medlarstall::dispatch {

/// How long a requested pause lasts at most, and how traffic resumes after it.
struct pause_settings
{
    /// Upper bound of a pause, so that a backend server that asks for a longer
    /// one does not stay unused.
    std::chrono::seconds max_pause{60};
    /// While traffic resumes, the limit of concurrent requests grows by one
    /// each time this has passed.
    std::chrono::milliseconds ramp_step{40};
    /// Time after the end of a pause from which on there is no limit.
    std::chrono::milliseconds ramp_duration{800};
};

/// A pause that a backend server has requested by rejecting a request with a
/// time to retry after. This daemon sends it nothing during the pause, and
/// increases the number of concurrent requests step by step afterwards, so that
/// the requests that have waited do not overload it again at once. If all
/// backend servers of a service are overloaded, each asks for a pause of its
/// own. Does no I/O; owned by the dispatcher.
class requested_pause
{
public:
    /// Starts a pause, or extends the present one if the new one ends later.
    /// \param wanted length that the backend server has asked for; ignored
    ///     unless it is positive, and limited to pause_settings::max_pause
    /// \param now current time
    void extend(duration wanted, time_point now);

    /// \param now current time
    /// \return time until requests may be sent again; zero if there is no pause
    [[nodiscard]] duration remaining(time_point now) const;

    /// \param in_flight number of requests that this daemon has in flight at
    ///     the backend server
    /// \param now current time
    /// \return true if one more request may be sent
    [[nodiscard]] bool admits(double in_flight, time_point now) const;

private:
    pause_settings settings_;
    std::optional<time_point> ends_at_;
};

} // namespace medlarstall::dispatch

#endif
