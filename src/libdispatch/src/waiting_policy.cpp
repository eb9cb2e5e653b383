#include <medlarstall/dispatch/waiting_policy.hpp>

#include <algorithm>

namespace medlarstall::dispatch {

namespace {

/// Part of the objective for which a request may wait.
constexpr int waiting_part = 8;
/// Between two looks, since what is believed changes meanwhile.
constexpr std::chrono::milliseconds longest_pause{20};

} // namespace

duration pause_before_next_look(routes::route const& route, duration waited,
                                std::optional<placement> const& found,
                                time_point now)
{
    if (waited >= route.objective / waiting_part) {
        return duration::zero();
    }
    if (!found) {
        return longest_pause;
    }
    return std::clamp<duration>(found->parts_ready - now, duration::zero(),
                                longest_pause);
}

} // namespace medlarstall::dispatch
