#ifndef MEDLARSTALL_SUPPORT_TIME_HPP
#define MEDLARSTALL_SUPPORT_TIME_HPP

#include <chrono>

namespace medlarstall {

/// Clock of every decision. Decisions take its time as a parameter and never
/// read it themselves.
using decision_clock = std::chrono::steady_clock;

/// A point in time of decision_clock.
using time_point = decision_clock::time_point;

/// A span of decision_clock.
using duration = decision_clock::duration;

} // namespace medlarstall

#endif
