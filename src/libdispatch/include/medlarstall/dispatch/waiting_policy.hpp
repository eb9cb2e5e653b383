#ifndef MEDLARSTALL_DISPATCH_WAITING_POLICY_HPP
#define MEDLARSTALL_DISPATCH_WAITING_POLICY_HPP

#include <medlarstall/routes/configuration.hpp>
#include <medlarstall/support/time.hpp>

namespace medlarstall::dispatch {

/// When callers are told to come back: after their request was turned away, and
/// where there is no backend server.
inline constexpr std::chrono::milliseconds turned_away_return{60};
inline constexpr std::chrono::milliseconds no_server_return{400};

/// Tells how long a request that finds no backend server waits before it looks
/// again: for an eighth of its objective at most.
/// \param route route of the request
/// \param waited time since it came
/// \return the wait; zero if it must not wait
[[nodiscard]] duration pause_before_next_look(routes::route const& route,
                                              duration waited);

} // namespace medlarstall::dispatch

#endif
