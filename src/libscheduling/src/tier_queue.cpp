#include <medlarstall/scheduling/tier_queue.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::scheduling {

namespace {

/// Most freed slots that a tier can be owed; more would let it catch up in a
/// burst.
constexpr double most_credit = 2.0;

template<std::size_t... Tier>
std::array<fair_queue, max_tiers> make_tiers(double most_lead_tokens,
                                             std::index_sequence<Tier...>)
{
    return {((void)Tier, fair_queue{most_lead_tokens})...};
}

} // namespace

tier_queue::tier_queue(scheduler_settings const& settings)
    : longest_gap_{settings.longest_gap},
      tiers_{make_tiers(settings.most_lead_tokens,
                        std::make_index_sequence<max_tiers>{})}
{}

void tier_queue::set_floor(unsigned tier, double part)
{
    floors_[tier] = std::clamp(part, 0.0, 1.0);
}

std::optional<tier_queue::choice> tier_queue::pick(open_lanes const& lanes,
                                                   time_point now) const
{
    auto const by_priority = pick_by_priority(lanes);
    // At least every second freed slot goes by priority.
    if (!by_priority || floor_served_last_) {
        return by_priority;
    }
    std::optional<choice> longest;
    for (auto tier = by_priority->tier + 1; tier < max_tiers; ++tier) {
        if (!due(tier, now)) {
            continue;
        }
        if (longest && waiting_since_[longest->tier] <= waiting_since_[tier]) {
            continue;
        }
        if (auto const front = tiers_[tier].front(lanes.for_tier(tier))) {
            longest = choice{tier, *front, true};
        }
    }
    return longest ? longest : by_priority;
}

std::optional<tier_queue::choice>
tier_queue::pick_by_priority(open_lanes const& lanes) const
{
    for (unsigned tier = 0; tier < max_tiers; ++tier) {
        if (auto const front = tiers_[tier].front(lanes.for_tier(tier))) {
            return choice{tier, *front, false};
        }
    }
    return std::nullopt;
}

void tier_queue::note_served(unsigned tier, bool by_floor, time_point now)
{
    for (unsigned other = 0; other < max_tiers; ++other) {
        if (waiting_since_[other]) {
            credits_[other] =
                std::min(most_credit, credits_[other] + floors_[other]);
        }
    }
    credits_[tier] = std::max(0.0, credits_[tier] - 1.0);
    if (waiting_since_[tier]) {
        waiting_since_[tier] = now;
    }
    floor_served_last_ = by_floor;
}

void tier_queue::note_waiting(time_point now)
{
    for (unsigned tier = 0; tier < max_tiers; ++tier) {
        if (!tiers_[tier].ready()) {
            waiting_since_[tier].reset();
            credits_[tier] = 0;
        } else if (!waiting_since_[tier]) {
            waiting_since_[tier] = now;
        }
    }
}

std::size_t tier_queue::size() const
{
    std::size_t sum = 0;
    for (auto const& tier : tiers_) {
        sum += tier.size();
    }
    return sum;
}

std::size_t tier_queue::sheddable() const
{
    std::size_t sum = 0;
    for (auto const& tier : tiers_) {
        sum += tier.sheddable();
    }
    return sum;
}

std::optional<unsigned> tier_queue::lowest_sheddable() const
{
    for (auto tier = unsigned(max_tiers); tier > 0; --tier) {
        if (tiers_[tier - 1].sheddable() > 0) {
            return tier - 1;
        }
    }
    return std::nullopt;
}

bool tier_queue::due(unsigned tier, time_point now) const
{
    auto const since = waiting_since_[tier];
    return since && (credits_[tier] >= 1.0 || now - *since >= longest_gap_);
}

} // namespace medlarstall::scheduling
