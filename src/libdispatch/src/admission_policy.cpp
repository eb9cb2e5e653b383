#include <medlarstall/dispatch/admission_policy.hpp>

#include <algorithm>

namespace medlarstall::dispatch {

namespace {

using std::chrono::milliseconds;

/// A limit that grows with the urgency of a request.
struct limit_range
{
    double least_urgent;
    double most_urgent;
};

/// Of the time to the first event, in objectives.
constexpr limit_range objectives{1.0, 2.0};
/// Of the requests in flight in a service, in batches.
constexpr limit_range batches{1.0, 2.0};
/// One in so many requests has the limits of the most urgent ones.
constexpr std::uint64_t floor_part = 5;
constexpr milliseconds least_return{250};

/// \return 0 for the least urgent rank to 1 for the most urgent one
double urgency_share(admission_facts const& facts)
{
    if (facts.urgencies <= 1) {
        return 0;
    }
    auto const last = static_cast<double>(facts.urgencies - 1);
    return 1.0 - static_cast<double>(facts.urgency) / last;
}

double limit_for(limit_range const& range, admission_facts const& facts)
{
    auto const share =
        facts.hash % floor_part == 0 ? 1.0 : urgency_share(facts);
    return range.least_urgent +
           (range.most_urgent - range.least_urgent) * share;
}

bool comes_too_late(admission_facts const& facts)
{
    using fraction_ms = std::chrono::duration<double, std::milli>;
    return fraction_ms{facts.waited + facts.expected_first} >
           fraction_ms{facts.objective} * limit_for(objectives, facts);
}

} // namespace

std::optional<milliseconds> refusal_of(admission_facts const& facts)
{
    auto const crowded = facts.mean_batches > limit_for(batches, facts);
    if (!crowded && !comes_too_late(facts)) {
        return std::nullopt;
    }
    auto const half = facts.objective / 2;
    // When the queue will have been served but for half of the objective.
    auto const room =
        std::chrono::duration_cast<milliseconds>(facts.expected_first - half);
    return std::max({least_return, room, crowded ? half : room});
}

} // namespace medlarstall::dispatch
