#include <medlarstall/gateway/suspension_watch.hpp>

#include <time.h>

namespace medlarstall::gateway {

namespace {

using std::chrono::nanoseconds;

/// Clocks that are read one after the other, or adjusted slowly, differ by
/// less. A lease ends 300 ms before others may take it.
constexpr std::chrono::milliseconds min_difference{100};

nanoseconds read_clock(clockid_t clock)
{
    timespec reading{};
    ::clock_gettime(clock, &reading);
    return std::chrono::seconds{reading.tv_sec} + nanoseconds{reading.tv_nsec};
}

} // namespace

clock_readings clock_readings::now()
{
    return {read_clock(CLOCK_MONOTONIC), read_clock(CLOCK_BOOTTIME),
            read_clock(CLOCK_REALTIME)};
}

bool suspension_watch::check(clock_readings const& readings)
{
    auto const before = last_.value_or(readings);
    last_ = readings;
    auto const steady = readings.steady - before.steady;
    return readings.boot - before.boot - steady >= min_difference ||
           readings.wall - before.wall - steady >= min_difference;
}

} // namespace medlarstall::gateway
