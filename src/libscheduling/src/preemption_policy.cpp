#include "preemption_policy.hpp"

#include <tuple>

namespace medlarstall::scheduling {

bool preemption_policy::displaceable(request_record const& record) const
{
    // What a floor gave is kept, except by a request that grows long.
    if (record.state != request_state::running ||
        (record.by_floor && !record.is_long)) {
        return false;
    }
    auto const made = record.tokens - record.tokens_before;
    if (record.preemptions > 0 && made < least_run_tokens_) {
        return false;
    }
    auto const& value = record.value;
    return value.resumable ||
           (value.repeatable && record.tokens == 0 && !record.first_seen);
}

bool preemption_policy::better(request_record const& left,
                               request_record const& right)
{
    auto const waste = [](request_record const& record) {
        auto const& value = record.value;
        // Smaller is better; tiers count the other way round.
        return std::tuple{-int(value.tier), !value.resumable,
                          value.prompt_tokens + record.tokens, value.id};
    };
    return waste(left) < waste(right);
}

} // namespace medlarstall::scheduling
