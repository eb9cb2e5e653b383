#include <medlarstall/scheduling/concurrency_limiter.hpp>

#include <algorithm>
#include <chrono>

namespace medlarstall::scheduling {

namespace {

constexpr double most_decrease = 0.5;
constexpr double least_decrease = 0.9;
constexpr double fast_increase = 1.5;
constexpr double refusal_ratio = 1.25;

double ratio_of(duration latency, duration target)
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
      limit_{std::max(1.0, slots_ * settings.initial_part)},
      former_limit_{slots_}
{}

void concurrency_limiter::set_slots(unsigned slots)
{
    slots_ = std::max(1.0, double(slots));
    former_limit_ = std::min(former_limit_, slots_);
    limit_ = std::clamp(limit_, least(), most());
}

void concurrency_limiter::confirm()
{
    if (confirmed_) {
        return;
    }
    confirmed_ = true;
    if (limit_ >= std::max(1.0, slots_ * settings_.initial_part)) {
        limit_ = slots_;
    }
}

void concurrency_limiter::observe_first_token(duration latency, duration target,
                                              time_point now)
{
    observe(ratio_of(latency, target) / settings_.first_token_part, now);
}

void concurrency_limiter::observe_between_tokens(duration latency,
                                                 duration target,
                                                 time_point now)
{
    observe(ratio_of(latency, target), now);
}

void concurrency_limiter::observe_refusal(time_point now)
{
    if (now < refusal_end_) {
        return;
    }
    refusal_end_ = now + settings_.window;
    decrease(1.0 / refusal_ratio);
    begin_window(now);
}

void concurrency_limiter::observe_running(unsigned running)
{
    most_running_ = std::max(most_running_, running);
}

unsigned concurrency_limiter::limit() const
{
    return static_cast<unsigned>(limit_);
}

void concurrency_limiter::observe(double ratio, time_point now)
{
    ++seen_;
    ratio_sum_ += ratio;
    if (ratio > 1.0) {
        ++missed_;
    }
    if (now < window_end_) {
        return;
    }
    end_window();
    begin_window(now);
}

void concurrency_limiter::end_window()
{
    auto const ratio = ratio_sum_ / seen_;
    if (missed_ > settings_.tolerated_misses * seen_) {
        good_windows_ = 0;
        decrease(ratio > 1.0 ? 1.0 / ratio : least_decrease);
        return;
    }
    ++good_windows_;
    if (good_windows_ >= settings_.windows_to_confirm) {
        confirmed_ = true;
    }
    increase(ratio);
}

void concurrency_limiter::begin_window(time_point now)
{
    window_end_ = now + settings_.window;
    seen_ = 0;
    missed_ = 0;
    ratio_sum_ = 0;
    most_running_ = 0;
}

void concurrency_limiter::decrease(double factor)
{
    former_limit_ = std::max(limit_, former_limit_ * least_decrease);
    limit_ *= std::clamp(factor, most_decrease, least_decrease);
    limit_ = std::clamp(limit_, least(), most());
}

void concurrency_limiter::increase(double ratio)
{
    if (most_running_ + 1 < limit()) {
        return;
    }
    // Latency grows about as the limit does: go no further than the target.
    auto const room = limit_ * std::min(fast_increase, 1.0 / ratio);
    auto const slow = limit_ + 1;
    auto const grown = limit_ < former_limit_ ? room : std::min(room, slow);
    limit_ = std::clamp(grown, least(), most());
}

double concurrency_limiter::least() const
{
    return std::min(most(), std::max(1.0, slots_ * settings_.least_part));
}

double concurrency_limiter::most() const
{
    return confirmed_ ? slots_ : std::max(1.0, slots_ * settings_.initial_part);
}

} // namespace medlarstall::scheduling
