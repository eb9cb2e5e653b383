#include <medlarstall/dispatch/return_schedule.hpp>

#include <algorithm>
#include <chrono>

namespace medlarstall::dispatch {

namespace {

/// Longest time after which a caller is told to come back. The limits may have
/// ended by then.
constexpr std::chrono::seconds max_delay{10};

} // namespace

duration return_schedule::book(std::uint32_t urgency_rank, duration earliest,
                               double requests_per_second, time_point now)
{
    auto const latest = now + max_delay;
    auto start = std::min<time_point>(now + earliest, latest);
    for (auto const& [rank, next] : next_free_) {
        if (rank <= urgency_rank) {
            start = std::max(start, std::min<time_point>(next, latest));
        }
    }
    auto const interval =
        std::chrono::duration<double>{1.0 / requests_per_second};
    next_free_[urgency_rank] =
        start +
        std::chrono::duration_cast<duration>(
            std::min<std::chrono::duration<double>>(interval, max_delay));
    return start - now;
}

} // namespace medlarstall::dispatch
