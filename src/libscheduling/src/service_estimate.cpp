#include "service_estimate.hpp"

#include <chrono>

namespace medlarstall::scheduling {

namespace {

using seconds = std::chrono::duration<double>;

constexpr double learning_rate = 0.05;
/// Over the mean, so that most first tokens come sooner.
constexpr double first_token_margin = 1.5;
constexpr double ms_per_second = 1000;

void learn(double& mean, double value)
{
    mean = mean == 0 ? value : mean + learning_rate * (value - mean);
}

duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(seconds{value});
}

} // namespace

void service_estimate::learn_holding(duration held)
{
    learn(holding_, seconds{held}.count());
}

void service_estimate::learn_first_token(duration latency, double prompt_tokens)
{
    learn(first_token_, seconds{latency}.count());
    learn(prompt_, prompt_tokens);
}

duration service_estimate::slot_interval(std::size_t running) const
{
    return from_seconds(holding_ / double(running == 0 ? 1 : running));
}

duration service_estimate::first_token() const
{
    return from_seconds(first_token_margin * first_token_);
}

double service_estimate::prefill_rate() const
{
    return first_token_ == 0 ? 0 : prompt_ / (first_token_ * ms_per_second);
}

} // namespace medlarstall::scheduling
