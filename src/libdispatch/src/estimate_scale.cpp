#include <medlarstall/dispatch/estimate_scale.hpp>

#include <algorithm>

namespace medlarstall::dispatch {

namespace {

/// Estimates below this tell of the engine's steps rather than of its queue.
constexpr estimate_scale::milliseconds least_telling{300.0};
/// What is left of the sums at each estimate that is taken in.
constexpr double decay = 0.97;
constexpr double most_factor = 4.0;

} // namespace

void estimate_scale::note(milliseconds expected, milliseconds took)
{
    if (expected < least_telling) {
        return;
    }
    expected_ = expected_ * decay + expected.count();
    took_ = took_ * decay + std::min(took, expected * most_factor).count();
}

void estimate_scale::note_at_least(milliseconds expected, milliseconds waited)
{
    if (waited > expected * factor()) {
        note(expected, waited);
    }
}

} // namespace medlarstall::dispatch
