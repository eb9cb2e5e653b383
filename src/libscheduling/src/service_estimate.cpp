#include "service_estimate.hpp"

#include <chrono>

namespace medlarstall::scheduling {

namespace {

using seconds = std::chrono::duration<double>;

/// Weight of a new observation in a moving average.
constexpr double smoothing_factor = 0.05;
/// Factor above the mean latency, so that most first tokens come sooner.
constexpr double first_token_margin = 1.5;
constexpr double ms_per_second = 1000;

void update_mean(double& mean, double value)
{
    mean = mean == 0 ? value : mean + smoothing_factor * (value - mean);
}

duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(seconds{value});
}

} // namespace

void service_estimate::observe_slot_time(duration held)
{
    update_mean(slot_seconds_, seconds{held}.count());
}

void service_estimate::observe_first_token(duration latency,
                                           double prompt_tokens)
{
    update_mean(first_token_seconds_, seconds{latency}.count());
    update_mean(prompt_tokens_, prompt_tokens);
}

duration service_estimate::slot_interval(std::size_t running) const
{
    return from_seconds(slot_seconds_ / double(running == 0 ? 1 : running));
}

duration service_estimate::first_token_bound() const
{
    return from_seconds(first_token_margin * first_token_seconds_);
}

double service_estimate::prefill_tokens_per_ms() const
{
    return first_token_seconds_ == 0
               ? 0
               : prompt_tokens_ / (first_token_seconds_ * ms_per_second);
}

} // namespace medlarstall::scheduling
