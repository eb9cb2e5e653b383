#ifndef MEDLARSTALL_PLATFORM_JITTERED_BACKOFF_HPP
#define MEDLARSTALL_PLATFORM_JITTERED_BACKOFF_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace medlarstall::platform {

/// Bounds of the delays between tries.
struct backoff_bounds
{
    std::chrono::milliseconds first{20};
    std::chrono::milliseconds longest{1'000};
};

/// Delays that double with each try, drawn from the upper half of their span
/// so that many clients do not return at the same time.
class jittered_backoff
{
public:
    /// \param bounds first and longest delay
    /// \param seed seed of the jitter
    jittered_backoff(backoff_bounds bounds, std::uint64_t seed)
        : bounds_{bounds}, span_{bounds.first}, random_{seed}
    {}

    /// \return delay before the next try
    std::chrono::milliseconds next()
    {
        std::uniform_int_distribution<std::int64_t> spread{span_.count() / 2,
                                                           span_.count()};
        std::chrono::milliseconds const delay{spread(random_)};
        span_ = std::min(span_ * 2, bounds_.longest);
        return delay;
    }

    /// Starts again from the first delay, after a success.
    void reset() { span_ = bounds_.first; }

private:
    backoff_bounds bounds_;
    std::chrono::milliseconds span_;
    std::mt19937_64 random_;
};

} // namespace medlarstall::platform

#endif
