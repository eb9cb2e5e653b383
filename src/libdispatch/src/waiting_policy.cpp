#include <medlarstall/dispatch/waiting_policy.hpp>

namespace medlarstall::dispatch {

namespace {

/// A request may wait for its objective divided by this.
constexpr int objective_divisor = 8;
/// Time between two attempts to place a request. The known state of the backend
/// servers changes in between.
constexpr std::chrono::milliseconds retry_interval{20};

} // namespace

duration wait_before_next_placement(routes::route const& route, duration waited)
{
    return waited < route.objective / objective_divisor ? retry_interval
                                                        : duration::zero();
}

} // namespace medlarstall::dispatch
