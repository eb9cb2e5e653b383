#include <medlarstall/scheduling/long_request_limiter.hpp>

#include <algorithm>

namespace medlarstall::scheduling {

namespace {

/// Weight of a new observation in the moving average.
constexpr double smoothing_factor = 0.02;

} // namespace

long_request_limiter::long_request_limiter(scheduler_settings const& settings)
    : fraction_{settings.long_request_fraction},
      factor_{settings.long_request_factor},
      min_tokens_{double(settings.long_request_min_tokens)},
      typical_output_tokens_{double(settings.initial_output_estimate)}
{}

void long_request_limiter::observe_output(std::uint64_t output_tokens)
{
    // A long request counts as one at the threshold, so that a few very long
    // requests do not raise the threshold until they no longer count as long.
    auto const bounded =
        std::min(double(output_tokens),
                 std::max(min_tokens_, factor_ * typical_output_tokens_));
    typical_output_tokens_ +=
        smoothing_factor * (bounded - typical_output_tokens_);
}

bool long_request_limiter::is_long(std::uint64_t output_tokens) const
{
    return double(output_tokens) >=
           std::max(min_tokens_, factor_ * typical_output_tokens_);
}

unsigned long_request_limiter::max_long_requests(unsigned limit) const
{
    return std::max(1U, static_cast<unsigned>(fraction_ * limit));
}

bool long_request_limiter::has_capacity(unsigned limit) const
{
    return running_ < max_long_requests(limit);
}

} // namespace medlarstall::scheduling
