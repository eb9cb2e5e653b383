#include <medlarstall/scheduling/tier_queue.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::scheduling {

namespace {

/// Maximum number of freed slots that a tier can be owed. A larger value would
/// let it catch up in a burst.
constexpr double max_floor_credit = 2.0;

template<std::size_t... Tier>
std::array<fair_queue, max_tiers> make_tiers(double max_lead_tokens,
                                             std::index_sequence<Tier...>)
{
    return {((void)Tier, fair_queue{max_lead_tokens})...};
}

} // namespace

tier_queue::tier_queue(scheduler_settings const& settings)
    : max_tier_wait_{settings.max_tier_wait},
      tiers_{make_tiers(settings.max_lead_tokens,
                        std::make_index_sequence<max_tiers>{})}
{}

void tier_queue::set_floor(unsigned tier, double fraction)
{
    floors_[tier] = std::clamp(fraction, 0.0, 1.0);
}

std::optional<tier_queue::choice> tier_queue::pick(eligible_lanes const& lanes,
                                                   time_point now) const
{
    auto const by_priority = pick_by_priority(lanes);
    // At least every second freed slot is given by priority.
    if (!by_priority || floor_served_last_) {
        return by_priority;
    }
    std::optional<choice> longest_waiting;
    for (auto tier = by_priority->tier + 1; tier < max_tiers; ++tier) {
        if (!floor_due(tier, now)) {
            continue;
        }
        if (longest_waiting &&
            waiting_since_[longest_waiting->tier] <= waiting_since_[tier]) {
            continue;
        }
        if (auto const front = tiers_[tier].front(lanes.for_tier(tier))) {
            longest_waiting = choice{tier, *front, true};
        }
    }
    return longest_waiting ? longest_waiting : by_priority;
}

std::optional<tier_queue::choice>
tier_queue::pick_by_priority(eligible_lanes const& lanes) const
{
    for (unsigned tier = 0; tier < max_tiers; ++tier) {
        if (auto const front = tiers_[tier].front(lanes.for_tier(tier))) {
            return choice{tier, *front, false};
        }
    }
    return std::nullopt;
}

void tier_queue::record_service(unsigned tier, bool by_floor, time_point now)
{
    for (unsigned other = 0; other < max_tiers; ++other) {
        if (waiting_since_[other]) {
            floor_credits_[other] = std::min(
                max_floor_credit, floor_credits_[other] + floors_[other]);
        }
    }
    floor_credits_[tier] = std::max(0.0, floor_credits_[tier] - 1.0);
    if (waiting_since_[tier]) {
        waiting_since_[tier] = now;
    }
    floor_served_last_ = by_floor;
}

void tier_queue::update_waiting(time_point now)
{
    for (unsigned tier = 0; tier < max_tiers; ++tier) {
        if (!tiers_[tier].has_ready()) {
            waiting_since_[tier].reset();
            floor_credits_[tier] = 0;
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

std::optional<unsigned> tier_queue::least_important_sheddable() const
{
    for (auto tier = unsigned(max_tiers); tier > 0; --tier) {
        if (tiers_[tier - 1].sheddable() > 0) {
            return tier - 1;
        }
    }
    return std::nullopt;
}

bool tier_queue::floor_due(unsigned tier, time_point now) const
{
    auto const since = waiting_since_[tier];
    return since &&
           (floor_credits_[tier] >= 1.0 || now - *since >= max_tier_wait_);
}

} // namespace medlarstall::scheduling
