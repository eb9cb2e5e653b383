#include "preemption_policy.hpp"

#include <tuple>

namespace medlarstall::scheduling {

bool preemption_policy::displaceable(request_record const& record) const
{
    if (record.state != request_state::running || record.by_floor ||
        record.preemptions >= most_preemptions_) {
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
