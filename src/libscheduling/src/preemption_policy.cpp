#include "preemption_policy.hpp"

#include <tuple>

namespace medlarstall::scheduling {

bool preemption_policy::preemptible(request_record const& record) const
{
    // A request that got its slot through the floor of its tier keeps it,
    // unless it has become long.
    if (record.state != request_state::running ||
        (record.by_floor && !record.is_long)) {
        return false;
    }
    auto const generated = record.tokens - record.tokens_before_dispatch;
    if (record.preemptions > 0 && generated < min_tokens_between_preemptions_) {
        return false;
    }
    auto const& value = record.value;
    return value.resumable ||
           (value.repeatable && record.tokens == 0 && !record.first_token_seen);
}

bool preemption_policy::wastes_less(request_record const& left,
                                    request_record const& right)
{
    auto const waste_key = [](request_record const& record) {
        auto const& value = record.value;
        // The smaller key wastes less. The tier is negated, since the least
        // important tier has the largest number.
        return std::tuple{-int(value.tier), !value.resumable,
                          value.prompt_tokens + record.tokens, value.id};
    };
    return waste_key(left) < waste_key(right);
}

} // namespace medlarstall::scheduling
