#include <medlarstall/dispatch/admission_policy.hpp>

#include <algorithm>

namespace medlarstall::dispatch {

namespace {

using std::chrono::milliseconds;

/// A limit that increases with the urgency of a request.
struct limit_range
{
    double least_urgent;
    double most_urgent;
};

/// Limits of the time to the first event, as multiples of the objective.
constexpr limit_range wait_limits{1.0, 2.0};
/// Limits of the requests in flight in a service, divided by the slots of its
/// batches.
constexpr limit_range slot_load_limits{1.0, 2.0};
/// One in this many requests gets the limits of the most urgent rank whatever
/// its own rank is, so that no rank is starved.
constexpr std::uint64_t exempt_divisor = 5;
/// Lower bound of the time after which a refused caller may retry.
constexpr milliseconds min_retry_delay{250};

/// \param input the request
/// \return its urgency, from 0 for the least urgent rank to 1 for the most
///     urgent one; 0 if there is only one rank
double relative_urgency(admission_input const& input)
{
    if (input.rank_count <= 1) {
        return 0;
    }
    auto const lowest_rank = static_cast<double>(input.rank_count - 1);
    return 1.0 - static_cast<double>(input.urgency_rank) / lowest_rank;
}

/// \param range limits of the least and of the most urgent rank
/// \param input the request
/// \return limit that applies to the request
double limit_for(limit_range const& range, admission_input const& input)
{
    auto const urgency = input.attempt_hash % exempt_divisor == 0
                             ? 1.0
                             : relative_urgency(input);
    return range.least_urgent +
           (range.most_urgent - range.least_urgent) * urgency;
}

/// \param input the request
/// \return true if its first event is expected later than the limit allows
bool would_miss_objective(admission_input const& input)
{
    using fraction_ms = std::chrono::duration<double, std::milli>;
    return fraction_ms{input.waited + input.expected_first_event} >
           fraction_ms{input.objective} * limit_for(wait_limits, input);
}

} // namespace

std::optional<milliseconds> retry_delay_if_refused(admission_input const& input)
{
    auto const overcommitted =
        input.load_per_slot > limit_for(slot_load_limits, input);
    if (!overcommitted && !would_miss_objective(input)) {
        return std::nullopt;
    }
    auto const half_objective = input.objective / 2;
    // Time until the queue has become short enough to be served in half of the
    // objective.
    auto const queue_drain_time = std::chrono::duration_cast<milliseconds>(
        input.expected_first_event - half_objective);
    return std::max({min_retry_delay, queue_drain_time,
                     overcommitted ? half_objective : queue_drain_time});
}

} // namespace medlarstall::dispatch
