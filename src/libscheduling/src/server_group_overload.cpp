// What a group does when its slots do not suffice: preempt, shed, refuse.
#include "server_group.hpp"

#include <algorithm>

namespace medlarstall::scheduling {

namespace {

/// Part of the queue that an organisation at a limit may fill.
constexpr double blocked_part = 0.25;

} // namespace

void server_group::preempt_for_urgent(time_point now, action_list& actions)
{
    mark_urgent(now);
    mark_late(now);
    for (lane_index lane = 0; lane < replacing_.size(); ++lane) {
        if (lane_kind(lane % kinds) == lane_kind::isolated) {
            continue;
        }
        auto under_way = replacing_[lane];
        for (unsigned tier = 0; tier < max_tiers; ++tier) {
            auto needed = queue_.at(tier).urgent(lane);
            auto const covered = std::min(under_way, needed);
            under_way -= covered;
            needed -= covered;
            while (needed > 0 && preempt_for(tier, lane, now, actions)) {
                --needed;
            }
            if (needed > 0) {
                break; // Less important tiers have fewer victims.
            }
        }
    }
}

std::optional<request_id> server_group::expired(time_point now) const
{
    if (deadlines_.empty() || deadlines_.begin()->at > now) {
        return std::nullopt;
    }
    return deadlines_.begin()->id;
}

std::optional<request_id> server_group::overflow(time_point now,
                                                 action_list& actions)
{
    std::size_t under_way = 0;
    for (auto const count : replacing_) {
        under_way += count;
    }
    auto const bound = shedding_.queue_bound(slots()) + under_way;
    if (queue_.sheddable() <= bound) {
        return std::nullopt;
    }
    auto const tier = *queue_.lowest_sheddable();
    for (lane_index lane = 0; lane < replacing_.size(); ++lane) {
        auto const kind = lane_kind(lane % kinds);
        if (kind != lane_kind::isolated && queue_.at(tier).ready(lane) &&
            preempt_for(tier, lane, now, actions)) {
            return std::nullopt;
        }
    }
    return queue_.at(tier).most_over_entitlement();
}

std::optional<refusal> server_group::hopeless(request_record const& record,
                                              time_point now) const
{
    auto const& value = record.value;
    auto const left = value.deadline - now;
    if (left <= duration::zero()) {
        return refusal::deadline;
    }
    double waiting = 1;
    for (unsigned tier = 0; tier < max_tiers; ++tier) {
        waiting += double(queue_.at(tier).size_of(record.entry.organisation));
    }
    if (organisations_.at_limit(record.entry.organisation, now) &&
        waiting > blocked_part * double(shedding_.queue_bound(slots()))) {
        return refusal::organisation_limit;
    }
    auto const limited = organisations_.time_for(
        record.entry.organisation, waiting, waiting * record.entry.tokens);
    if (shedding_.hopeless(limited, left)) {
        return refusal::organisation_limit;
    }
    if (!shedding_.hopeless(expected_wait(record, now), left) ||
        lower_tier_queued(value.tier) ||
        victim_for(value.tier, record.entry.lane, now)) {
        return std::nullopt;
    }
    return refusal::deadline;
}

std::chrono::milliseconds
server_group::retry_after(request_record const& record) const
{
    auto const tier = record.value.tier;
    auto const wait = expected_wait(tier, queued_above(tier));
    auto const organisation = record.entry.organisation;
    auto const own = double(queue_.at(tier).size_of(organisation)) + 1;
    auto const limited =
        organisations_.time_for(organisation, own, own * record.entry.tokens);
    return shedding_.retry_after(record.value.id, std::max(wait, limited));
}

void server_group::mark_urgent(time_point now)
{
    auto const horizon = now + estimate_.slot_interval(running_.size());
    while (!latest_starts_.empty() && latest_starts_.begin()->at <= horizon) {
        auto& record = *latest_starts_.begin()->record;
        latest_starts_.erase(latest_starts_.begin());
        record.urgent = true;
        urgent_.insert({record.latest_start, record.value.id, &record});
        queue_.at(record.value.tier)
            .count_urgent(record.entry.organisation, record.entry.lane, 1);
    }
}

void server_group::mark_late(time_point now)
{
    while (!urgent_.empty() && urgent_.begin()->at < now) {
        auto& record = *urgent_.begin()->record;
        urgent_.erase(urgent_.begin());
        auto& tier = queue_.at(record.value.tier);
        tier.count_urgent(record.entry.organisation, record.entry.lane, -1);
        tier.erase(record.entry);
        record.entry.position.late = true;
        record.entry.position.due = record.value.deadline;
        tier.push(record.entry);
        tier.count_urgent(record.entry.organisation, record.entry.lane, 1);
    }
}

bool server_group::preempt_for(unsigned tier, lane_index lane, time_point now,
                               action_list& actions)
{
    auto* const victim = victim_for(tier, lane, now);
    if (victim == nullptr) {
        return false;
    }
    victim->state = request_state::preempting;
    victim->replaced_by = lane;
    victim->long_victim = victim->is_long;
    long_victims_ += victim->is_long ? 1 : 0;
    ++replacing_[lane];
    actions.emplace_back(
        preempt{.id = victim->value.id,
                .backend_server = victim->server->description().id});
    return true;
}

request_record* server_group::victim_for(unsigned tier, lane_index lane,
                                         time_point now) const
{
    auto const for_long = lane_kind(lane % kinds) == lane_kind::long_running;
    auto const long_only = for_long && tier >= long_below(now);
    // Long requests beyond their part rank below the others of their tier.
    auto const long_too =
        !for_long && gate_.running() - long_victims_ > gate_.bound(limit(now));
    return preemption_.choose(running_, tier, long_too,
                              [&](request_record const& one) {
                                  return (one.is_long || !long_only) &&
                                         serves_lane(*one.server, lane, now);
                              });
}

duration server_group::expected_wait(unsigned tier, double ahead) const
{
    auto const interval = estimate_.slot_interval(running_.size());
    auto const wait = interval * (ahead + 1);
    auto const floor = queue_.floor(tier);
    if (floor <= 0) {
        return std::chrono::duration_cast<duration>(wait);
    }
    auto const own = double(queue_.at(tier).size()) + 1;
    return std::chrono::duration_cast<duration>(
        std::min(wait, interval * (own / floor)));
}

duration server_group::expected_wait(request_record const& record,
                                     time_point now) const
{
    auto const tier = record.value.tier;
    if (queued_above(tier) == 0 && has_slot(now)) {
        return duration::zero();
    }
    auto const& queue = queue_.at(tier);
    auto const organisation = record.entry.organisation;
    auto const own = double(queue.size_of(organisation));
    auto const above = queued_above(tier) - double(queue.size());
    auto const shared =
        std::min(double(queue.size()), own / queue.part_of(organisation));
    return expected_wait(tier, above + shared);
}

double server_group::queued_above(unsigned tier) const
{
    double sum = 0;
    for (unsigned above = 0; above <= tier; ++above) {
        sum += double(queue_.at(above).size());
    }
    return sum;
}

bool server_group::lower_tier_queued(unsigned tier) const
{
    auto const lowest = queue_.lowest_sheddable();
    return lowest && *lowest > tier;
}

} // namespace medlarstall::scheduling
