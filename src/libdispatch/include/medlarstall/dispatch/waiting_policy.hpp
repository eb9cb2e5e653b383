#ifndef MEDLARSTALL_DISPATCH_WAITING_POLICY_HPP
#define MEDLARSTALL_DISPATCH_WAITING_POLICY_HPP

#include <medlarstall/dispatch/dispatcher.hpp>
#include <medlarstall/routes/configuration.hpp>
#include <medlarstall/support/time.hpp>

#include <optional>

namespace medlarstall::dispatch {

/// Tells how long a request waits before it looks for a backend server again.
/// It waits for an eighth of its objective at most: until there is a backend
/// server at all, or until the one it found has read the parts of its prompt
/// that it is reading for another request, which it would read twice otherwise.
/// \param route route of the request
/// \param waited time since it came
/// \param found the backend server it would be sent to, if any
/// \param now current time
/// \return the wait; zero if it must not wait
[[nodiscard]] duration
pause_before_next_look(routes::route const& route, duration waited,
                       std::optional<placement> const& found, time_point now);

} // namespace medlarstall::dispatch

#endif
