#ifndef MEDLARSTALL_STANDINS_RATE_CAP_HPP
#define MEDLARSTALL_STANDINS_RATE_CAP_HPP

#include <medlarstall/support/time.hpp>

#include <algorithm>

namespace medlarstall::standins {

/// A token bucket that holds at most a tenth of a second's worth, or one.
class rate_cap
{
public:
    /// Takes one operation.
    /// \param per_second operations allowed a second
    /// \param now time
    /// \return false if the rate is exceeded
    bool take(double per_second, time_point now)
    {
        constexpr double burst_seconds = 0.1;
        auto const burst = std::max(1.0, per_second * burst_seconds);
        using seconds = std::chrono::duration<double>;
        auto const passed = seconds{now - last_}.count();
        last_ = now;
        available_ = std::min(burst, available_ + (passed * per_second));
        if (available_ < 1.0) {
            return false;
        }
        available_ -= 1.0;
        return true;
    }

private:
    double available_ = 1.0;
    time_point last_;
};

} // namespace medlarstall::standins

#endif
