#include <medlarstall/dispatch/waiting_policy.hpp>

namespace medlarstall::dispatch {

namespace {

/// Part of the objective for which a request may wait.
constexpr int waiting_part = 8;
/// Between two looks, since what is believed changes meanwhile.
constexpr std::chrono::milliseconds pause{20};

} // namespace

duration pause_before_next_look(routes::route const& route, duration waited)
{
    return waited < route.objective / waiting_part ? pause : duration::zero();
}

} // namespace medlarstall::dispatch
