#ifndef MEDLARSTALL_SUPPORT_TIME_HPP
#define MEDLARSTALL_SUPPORT_TIME_HPP

#include <chrono>

namespace medlarstall {

/// Monotonic clock on which deadlines, timeouts and delays are computed. Code
/// that depends on the time is passed a time_point and does not read the clock
/// itself, so that tests and simulations can set the time.
using monotonic_clock = std::chrono::steady_clock;

/// A point in time on monotonic_clock.
using time_point = monotonic_clock::time_point;

/// The time between two points on monotonic_clock.
using duration = monotonic_clock::duration;

} // namespace medlarstall

#endif
