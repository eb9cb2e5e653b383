#ifndef MEDLARSTALL_DISPATCH_REQUESTED_PAUSE_HPP
#define MEDLARSTALL_DISPATCH_REQUESTED_PAUSE_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <optional>

namespace medlarstall::dispatch {

/// How daemons come back to a backend server after a pause.
struct pause_settings
{
    /// A server that asks for more must not be forgotten.
    std::chrono::seconds longest{60};
    /// After a pause, one more request at a time is admitted this often.
    std::chrono::milliseconds step{40};
    /// After a pause, until there is no limit any more.
    std::chrono::milliseconds ramp{800};
};

/// The time for which a backend server that turned a request away wants nothing
/// from this daemon, and the gradual return after it, so that it is not turned
/// over again by all that have waited. Answers a service that is overloaded as
/// a whole. Pure; owned by the dispatcher.
class requested_pause
{
public:
    /// Takes in that the backend server has asked for a pause.
    /// \param wanted how long; none if it is not positive
    /// \param now current time
    void note(duration wanted, time_point now);

    /// \param now current time
    /// \return time until requests may be sent again; zero if there is no pause
    [[nodiscard]] duration left(time_point now) const;

    /// \param in_flight requests of this daemon that are there
    /// \param now current time
    /// \return true if one more may be sent
    [[nodiscard]] bool admits(double in_flight, time_point now) const;

private:
    pause_settings settings_;
    std::optional<time_point> ends_;
};

} // namespace medlarstall::dispatch

#endif
