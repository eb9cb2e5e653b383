#ifndef MEDLARSTALL_DISPATCH_WAITING_POLICY_HPP
#define MEDLARSTALL_DISPATCH_WAITING_POLICY_HPP

#include <medlarstall/routes/configuration.hpp>
#include <medlarstall/support/time.hpp>

namespace medlarstall::dispatch {

/// Time after which a caller may retry a request that the backend servers
/// rejected.
inline constexpr std::chrono::milliseconds rejected_retry_after{60};
/// Time after which a caller may retry a request for which no backend server
/// was available.
inline constexpr std::chrono::milliseconds no_server_retry_after{400};

/// Computes how long a request for which no backend server is available waits
/// before placement is attempted again. A request waits in this way until an
/// eighth of its objective has passed.
/// \param route route of the request, which sets the objective
/// \param waited time since the request arrived
/// \return time until the next attempt to place it; zero if it must not wait
///     any longer
[[nodiscard]] duration wait_before_next_placement(routes::route const& route,
                                                  duration waited);

} // namespace medlarstall::dispatch

#endif
