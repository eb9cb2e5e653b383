#include <medlarstall/dispatch/estimate_calibration.hpp>

#include <algorithm>

namespace medlarstall::dispatch {

namespace {

/// Shorter estimates are ignored: the real time depends on the steps of the
/// engine rather than on its queue then.
constexpr estimate_calibration::milliseconds min_calibrating_estimate{300.0};
/// Factor by which both sums decay with each sample.
constexpr double decay = 0.97;
/// Upper bound of the ratio of one sample, so that an outlier has little
/// effect.
constexpr double max_factor = 4.0;

} // namespace

void estimate_calibration::add_sample(milliseconds expected,
                                      milliseconds actual)
{
    if (expected < min_calibrating_estimate) {
        return;
    }
    expected_ = expected_ * decay + expected.count();
    actual_ = actual_ * decay + std::min(actual, expected * max_factor).count();
}

void estimate_calibration::add_lower_bound(milliseconds expected,
                                           milliseconds waited)
{
    if (waited > expected * factor()) {
        add_sample(expected, waited);
    }
}

} // namespace medlarstall::dispatch
