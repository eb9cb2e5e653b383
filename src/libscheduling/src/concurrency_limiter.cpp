#include <medlarstall/scheduling/concurrency_limiter.hpp>

#include <algorithm>
#include <chrono>

namespace medlarstall::scheduling {

namespace {

/// Bounds of the factor that a decrease multiplies the limit by.
constexpr double min_decrease_factor = 0.5;
constexpr double max_decrease_factor = 0.9;
/// Largest growth per window below the limit before the last decrease.
constexpr double fast_increase_factor = 1.5;
/// A rejection counts as a latency of this multiple of the target.
constexpr double rejection_ratio = 1.25;

double latency_ratio(duration latency, duration target)
{
    using seconds = std::chrono::duration<double>;
    return target <= duration::zero()
               ? 0.0
               : seconds{latency}.count() / seconds{target}.count();
}

} // namespace

concurrency_limiter::concurrency_limiter(limiter_settings const& settings,
                                         unsigned slots)
    : settings_{settings}, slots_{std::max(1.0, double(slots))},
      limit_{std::max(1.0, slots_ * settings.initial_fraction)},
      limit_before_decrease_{slots_}
{}

void concurrency_limiter::set_slots(unsigned slots)
{
    slots_ = std::max(1.0, double(slots));
    limit_before_decrease_ = std::min(limit_before_decrease_, slots_);
    limit_ = std::clamp(limit_, min_limit(), max_limit());
}

void concurrency_limiter::confirm_load()
{
    if (load_confirmed_) {
        return;
    }
    load_confirmed_ = true;
    if (limit_ >= std::max(1.0, slots_ * settings_.initial_fraction)) {
        limit_ = slots_;
    }
}

void concurrency_limiter::observe_first_token(duration latency, duration target,
                                              time_point now)
{
    observe(latency_ratio(latency, target) / settings_.first_token_fraction,
            now);
}

void concurrency_limiter::observe_between_tokens(duration latency,
                                                 duration target,
                                                 time_point now)
{
    observe(latency_ratio(latency, target), now);
}

void concurrency_limiter::observe_rejection(time_point now)
{
    if (now < rejections_ignored_until_) {
        return;
    }
    rejections_ignored_until_ = now + settings_.adjustment_window;
    decrease(1.0 / rejection_ratio);
    begin_window(now);
}

void concurrency_limiter::observe_running(unsigned running)
{
    max_running_ = std::max(max_running_, running);
}

unsigned concurrency_limiter::limit() const
{
    return static_cast<unsigned>(limit_);
}

void concurrency_limiter::observe(double ratio, time_point now)
{
    ++observations_;
    ratio_sum_ += ratio;
    if (ratio > 1.0) {
        ++misses_;
    }
    if (now < window_end_) {
        return;
    }
    end_window();
    begin_window(now);
}

void concurrency_limiter::end_window()
{
    auto const ratio = ratio_sum_ / observations_;
    if (misses_ > settings_.tolerated_miss_fraction * observations_) {
        windows_within_target_ = 0;
        decrease(ratio > 1.0 ? 1.0 / ratio : max_decrease_factor);
        return;
    }
    ++windows_within_target_;
    if (windows_within_target_ >= settings_.windows_to_confirm) {
        load_confirmed_ = true;
    }
    increase(ratio);
}

void concurrency_limiter::begin_window(time_point now)
{
    window_end_ = now + settings_.adjustment_window;
    observations_ = 0;
    misses_ = 0;
    ratio_sum_ = 0;
    max_running_ = 0;
}

void concurrency_limiter::decrease(double factor)
{
    limit_before_decrease_ =
        std::max(limit_, limit_before_decrease_ * max_decrease_factor);
    limit_ *= std::clamp(factor, min_decrease_factor, max_decrease_factor);
    limit_ = std::clamp(limit_, min_limit(), max_limit());
}

void concurrency_limiter::increase(double ratio)
{
    if (max_running_ + 1 < limit()) {
        return;
    }
    // Latency is roughly proportional to the limit, so this is the limit at
    // which the target would be reached.
    auto const to_target = limit_ * std::min(fast_increase_factor, 1.0 / ratio);
    auto const additive = limit_ + 1;
    auto const increased = limit_ < limit_before_decrease_
                               ? to_target
                               : std::min(to_target, additive);
    limit_ = std::clamp(increased, min_limit(), max_limit());
}

double concurrency_limiter::min_limit() const
{
    return std::min(max_limit(),
                    std::max(1.0, slots_ * settings_.min_fraction));
}

double concurrency_limiter::max_limit() const
{
    return load_confirmed_ ? slots_
                           : std::max(1.0, slots_ * settings_.initial_fraction);
}

} // namespace medlarstall::scheduling
