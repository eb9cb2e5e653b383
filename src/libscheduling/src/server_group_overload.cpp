// How a server_group handles more requests than it has slots for: preemption,
// load shedding and early refusal.
#include "server_group.hpp"

#include <algorithm>

namespace medlarstall::scheduling {

namespace {

/// Fraction of the maximum queue length that an organisation at a limit may
/// use.
constexpr double blocked_queue_fraction = 0.25;

} // namespace

void server_group::preempt_for_urgent(time_point now, action_list& actions)
{
    mark_urgent(now);
    mark_late(now);
    for (lane_index lane = 0; lane < preempting_by_lane_.size(); ++lane) {
        if (lane_kind(lane % lane_kind_count) == lane_kind::isolated) {
            continue;
        }
        auto preempting = preempting_by_lane_[lane];
        for (unsigned tier = 0; tier < max_tiers; ++tier) {
            auto needed = queue_.at(tier).urgent_count(lane);
            auto const covered = std::min(preempting, needed);
            preempting -= covered;
            needed -= covered;
            while (needed > 0 && preempt_one(tier, lane, now, actions)) {
                --needed;
            }
            if (needed > 0) {
                break; // Less important tiers have even fewer victims.
            }
        }
    }
}

std::optional<request_id> server_group::first_expired(time_point now) const
{
    if (deadlines_.empty() || deadlines_.begin()->at > now) {
        return std::nullopt;
    }
    return deadlines_.begin()->id;
}

std::optional<request_id> server_group::relieve_overflow(time_point now,
                                                         action_list& actions)
{
    std::size_t preempting = 0;
    for (auto const count : preempting_by_lane_) {
        preempting += count;
    }
    auto const bound = shed_policy_.max_queued(slots()) + preempting;
    if (queue_.sheddable() <= bound) {
        return std::nullopt;
    }
    auto const tier = *queue_.least_important_sheddable();
    for (lane_index lane = 0; lane < preempting_by_lane_.size(); ++lane) {
        auto const kind = lane_kind(lane % lane_kind_count);
        if (kind != lane_kind::isolated && queue_.at(tier).has_ready(lane) &&
            preempt_one(tier, lane, now, actions)) {
            return std::nullopt;
        }
    }
    return queue_.at(tier).shed_candidate();
}

std::optional<refusal> server_group::early_refusal(request_record const& record,
                                                   time_point now) const
{
    auto const& value = record.value;
    auto const time_left = value.deadline - now;
    if (time_left <= duration::zero()) {
        return refusal::deadline;
    }
    double waiting = 1;
    for (unsigned tier = 0; tier < max_tiers; ++tier) {
        waiting += double(queue_.at(tier).queued_of(record.entry.organisation));
    }
    if (organisations_.at_limit(record.entry.organisation, now) &&
        waiting >
            blocked_queue_fraction * double(shed_policy_.max_queued(slots()))) {
        return refusal::organisation_limit;
    }
    auto const rate_limit_wait = organisations_.min_time_to_start(
        record.entry.organisation, waiting,
        waiting * record.entry.expected_tokens);
    if (shed_policy_.wait_exceeds_deadline(rate_limit_wait, time_left)) {
        return refusal::organisation_limit;
    }
    if (!shed_policy_.wait_exceeds_deadline(expected_wait(record, now),
                                            time_left) ||
        less_important_sheddable(value.tier) ||
        find_victim(value.tier, record.entry.lane, now)) {
        return std::nullopt;
    }
    return refusal::deadline;
}

std::chrono::milliseconds
server_group::retry_after(request_record const& record) const
{
    auto const tier = record.value.tier;
    auto const wait = expected_wait(tier, queued_at_or_above(tier));
    auto const organisation = record.entry.organisation;
    auto const own_queued = double(queue_.at(tier).queued_of(organisation)) + 1;
    auto const rate_limit_wait = organisations_.min_time_to_start(
        organisation, own_queued, own_queued * record.entry.expected_tokens);
    return shed_policy_.retry_after(record.value.id,
                                    std::max(wait, rate_limit_wait));
}

void server_group::mark_urgent(time_point now)
{
    auto const horizon = now + service_estimate_.slot_interval(running_.size());
    while (!latest_starts_.empty() && latest_starts_.begin()->at <= horizon) {
        auto& record = *latest_starts_.begin()->record;
        latest_starts_.erase(latest_starts_.begin());
        record.urgent = true;
        urgent_.insert({record.latest_start, record.value.id, &record});
        queue_.at(record.value.tier)
            .adjust_urgent(record.entry.organisation, record.entry.lane, 1);
    }
}

void server_group::mark_late(time_point now)
{
    while (!urgent_.empty() && urgent_.begin()->at < now) {
        auto& record = *urgent_.begin()->record;
        urgent_.erase(urgent_.begin());
        auto& tier = queue_.at(record.value.tier);
        tier.adjust_urgent(record.entry.organisation, record.entry.lane, -1);
        tier.erase(record.entry);
        record.entry.position.late = true;
        record.entry.position.due = record.value.deadline;
        tier.push(record.entry);
        tier.adjust_urgent(record.entry.organisation, record.entry.lane, 1);
    }
}

bool server_group::preempt_one(unsigned tier, lane_index lane, time_point now,
                               action_list& actions)
{
    auto* const victim = find_victim(tier, lane, now);
    if (victim == nullptr) {
        return false;
    }
    victim->state = request_state::preempting;
    victim->successor_lane = lane;
    victim->preempted_as_long = victim->is_long;
    preempting_long_ += victim->is_long ? 1 : 0;
    ++preempting_by_lane_[lane];
    actions.emplace_back(
        preempt{.id = victim->value.id,
                .backend_server = victim->server->description().id});
    return true;
}

request_record* server_group::find_victim(unsigned tier, lane_index lane,
                                          time_point now) const
{
    auto const for_long =
        lane_kind(lane % lane_kind_count) == lane_kind::long_running;
    auto const long_only = for_long && tier >= long_allowed_below(now);
    // While more long requests run than their fraction allows, requests of the
    // same tier that are not long may preempt them.
    auto const include_long =
        !for_long && long_requests_.running() - preempting_long_ >
                         long_requests_.max_long_requests(limit(now));
    return preemption_policy_.choose_victim(
        running_, tier, include_long, [&](request_record const& record) {
            return (record.is_long || !long_only) &&
                   serves_lane(*record.server, lane, now);
        });
}

duration server_group::expected_wait(unsigned tier, double ahead) const
{
    auto const interval = service_estimate_.slot_interval(running_.size());
    auto const wait = interval * (ahead + 1);
    auto const floor = queue_.floor(tier);
    if (floor <= 0) {
        return std::chrono::duration_cast<duration>(wait);
    }
    auto const own_queued = double(queue_.at(tier).size()) + 1;
    return std::chrono::duration_cast<duration>(
        std::min(wait, interval * (own_queued / floor)));
}

duration server_group::expected_wait(request_record const& record,
                                     time_point now) const
{
    auto const tier = record.value.tier;
    if (queued_at_or_above(tier) == 0 && has_free_slot(now)) {
        return duration::zero();
    }
    auto const& queue = queue_.at(tier);
    auto const organisation = record.entry.organisation;
    auto const own_queued = double(queue.queued_of(organisation));
    auto const above = queued_at_or_above(tier) - double(queue.size());
    auto const shared = std::min(
        double(queue.size()), own_queued / queue.weight_fraction(organisation));
    return expected_wait(tier, above + shared);
}

double server_group::queued_at_or_above(unsigned tier) const
{
    double sum = 0;
    for (unsigned above = 0; above <= tier; ++above) {
        sum += double(queue_.at(above).size());
    }
    return sum;
}

bool server_group::less_important_sheddable(unsigned tier) const
{
    auto const lowest = queue_.least_important_sheddable();
    return lowest && *lowest > tier;
}

} // namespace medlarstall::scheduling
