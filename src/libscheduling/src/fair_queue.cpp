#include <medlarstall/scheduling/fair_queue.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace medlarstall::scheduling {

namespace {

/// While late requests wait, one request in this many is a late one.
constexpr unsigned late_service_interval = 8;
/// A late request is served first if its organisation is this many tokens
/// (for a weight of 1) behind the one with the next request in time.
constexpr double max_late_lag_tokens = 1000;
/// An organisation has low demand if its backlog relative to its weight is
/// below this fraction of another organisation's.
constexpr double low_demand_fraction = 0.2;

/// Changes a key of a set in place, which allocates no memory.
template<class Key>
void move_key(std::set<Key>& keys, Key const& from, Key const& to)
{
    auto node = keys.extract(from);
    node.value() = to;
    keys.insert(std::move(node));
}

} // namespace

fair_queue::fair_queue(double max_lead_tokens)
    : max_lead_tokens_{max_lead_tokens}
{}

void fair_queue::set_weight(organisation_index organisation, double weight)
{
    auto& state = state_of(organisation);
    if (state.weight == weight) {
        return;
    }
    if (state.queued > 0) {
        backlogged_weight_ += weight - state.weight;
    }
    auto const ahead =
        (state.normalised_service - virtual_time_) * state.weight;
    state.weight = weight;
    set_normalised_service(organisation, state, virtual_time_ + ahead / weight);
}

void fair_queue::set_blocked(organisation_index organisation, bool blocked)
{
    auto& state = state_of(organisation);
    if (state.blocked == blocked) {
        return;
    }
    state.blocked = blocked;
    rank const key{state.normalised_service, organisation};
    for (auto const& queue : state.sub_queues) {
        auto& urgent = urgent_of(queue.index / 2);
        urgent = blocked ? urgent - queue.urgent : urgent + queue.urgent;
        if (queue.positions.empty()) {
            continue;
        }
        if (blocked) {
            ready_of(queue.index).erase(key);
        } else {
            ready_of(queue.index).insert(key);
        }
    }
}

void fair_queue::push(queue_entry const& entry)
{
    auto& state = state_of(entry.organisation);
    if (state.queued == 0) {
        clamp_service(state);
        backlogged_weight_ += state.weight;
    }
    ++state.queued;
    ++size_;
    auto const index = sub_queue_index(entry.lane, entry.position.late);
    auto& queue = sub_queue_of(state, index);
    if (queue.positions.empty() && !state.blocked) {
        ready_of(index).insert({state.normalised_service, entry.organisation});
    }
    queue.positions.insert(entry.position);
    state.backlog += entry.expected_tokens;
    if (entry.sheddable) {
        ++sheddable_;
        if (state.sheddable.empty()) {
            state.projected_service =
                state.normalised_service + state.backlog / state.weight;
            by_projected_service_.insert(
                {state.projected_service, entry.organisation});
        }
        state.sheddable.insert(entry.position);
    }
    update_projected_service(entry.organisation, state);
}

void fair_queue::erase(queue_entry const& entry)
{
    auto& state = state_of(entry.organisation);
    auto const index = sub_queue_index(entry.lane, entry.position.late);
    auto& queue = sub_queue_of(state, index);
    if (queue.positions.erase(entry.position) == 0) {
        return;
    }
    --state.queued;
    --size_;
    if (queue.positions.empty() && !state.blocked) {
        ready_of(index).erase({state.normalised_service, entry.organisation});
    }
    state.backlog =
        state.queued == 0 ? 0 : state.backlog - entry.expected_tokens;
    if (state.queued == 0) {
        backlogged_weight_ -= state.weight;
    }
    if (entry.sheddable) {
        --sheddable_;
        state.sheddable.erase(entry.position);
        if (state.sheddable.empty()) {
            by_projected_service_.erase(
                {state.projected_service, entry.organisation});
        }
    }
    update_projected_service(entry.organisation, state);
}

void fair_queue::charge(organisation_index organisation, double tokens)
{
    auto& state = state_of(organisation);
    set_normalised_service(organisation, state,
                           state.normalised_service + tokens / state.weight);
}

void fair_queue::charge_remote(organisation_index organisation, double tokens)
{
    auto& state = state_of(organisation);
    auto const limit =
        std::max(state.normalised_service,
                 virtual_time_ + max_lead_tokens_ / state.weight);
    set_normalised_service(
        organisation, state,
        std::min(limit, state.normalised_service + tokens / state.weight));
}

std::optional<fair_queue::candidate>
fair_queue::front(std::span<lane_index const> lanes) const
{
    auto const in_time = front(lanes, false);
    auto const late = front(lanes, true);
    if (!in_time || !late) {
        return in_time ? in_time : late;
    }
    // An organisation with a much smaller backlog than the other one must not
    // wait longer because its requests are late.
    auto const& behind = organisations_[late->organisation];
    auto const& ahead = organisations_[in_time->organisation];
    auto const low_demand = behind.backlog / behind.weight <
                            low_demand_fraction * ahead.backlog / ahead.weight;
    auto const allowed_lag =
        low_demand ? 0.0 : max_late_lag_tokens / behind.weight;
    bool const late_first =
        served_since_late_ + 1 >= late_service_interval ||
        late->normalised_service + allowed_lag <= in_time->normalised_service;
    return late_first ? late : in_time;
}

std::optional<fair_queue::candidate>
fair_queue::front(std::span<lane_index const> lanes, bool late) const
{
    std::optional<candidate> best;
    rank best_rank;
    for (auto const lane : lanes) {
        auto const index = sub_queue_index(lane, late);
        if (index >= ready_organisations_.size() ||
            ready_organisations_[index].empty()) {
            continue;
        }
        auto const first = *ready_organisations_[index].begin();
        auto const& position =
            *queued_positions(first.organisation, lane, late)->begin();
        if (!best || first < best_rank ||
            (first == best_rank && position < best->position)) {
            best_rank = first;
            best = {first.organisation, lane, position, first.service};
        }
    }
    return best;
}

std::set<queue_position> const*
fair_queue::queued_positions(organisation_index organisation, lane_index lane,
                             bool late) const
{
    if (organisation >= organisations_.size()) {
        return nullptr;
    }
    auto const index = sub_queue_index(lane, late);
    for (auto const& queue : organisations_[organisation].sub_queues) {
        if (queue.index == index && !queue.positions.empty()) {
            return &queue.positions;
        }
    }
    return nullptr;
}

void fair_queue::begin_service(queue_entry const& entry)
{
    virtual_time_ = std::max(virtual_time_,
                             state_of(entry.organisation).normalised_service);
    served_since_late_ = entry.position.late ? 0 : served_since_late_ + 1;
}

std::optional<request_id> fair_queue::shed_candidate() const
{
    if (by_projected_service_.empty()) {
        return std::nullopt;
    }
    auto const& state =
        organisations_[by_projected_service_.rbegin()->organisation];
    return state.sheddable.rbegin()->id;
}

bool fair_queue::has_ready(lane_index lane) const
{
    return std::ranges::any_of(std::array{false, true}, [&](bool late) {
        auto const index = sub_queue_index(lane, late);
        return index < ready_organisations_.size() &&
               !ready_organisations_[index].empty();
    });
}

bool fair_queue::has_ready() const
{
    return std::ranges::any_of(
        ready_organisations_, [](auto const& ranks) { return !ranks.empty(); });
}

void fair_queue::adjust_urgent(organisation_index organisation, lane_index lane,
                               int change)
{
    auto& state = state_of(organisation);
    sub_queue_of(state, sub_queue_index(lane, false)).urgent +=
        unsigned(change);
    if (!state.blocked) {
        urgent_of(lane) += unsigned(change);
    }
}

unsigned fair_queue::urgent_count(lane_index lane) const
{
    return lane < urgent_by_lane_.size() ? urgent_by_lane_[lane] : 0;
}

std::size_t fair_queue::queued_of(organisation_index organisation) const
{
    return organisation < organisations_.size()
               ? organisations_[organisation].queued
               : 0;
}

double fair_queue::weight_fraction(organisation_index organisation) const
{
    if (organisation >= organisations_.size()) {
        return 1.0 / (1.0 + backlogged_weight_);
    }
    auto const& state = organisations_[organisation];
    auto const others =
        backlogged_weight_ - (state.queued > 0 ? state.weight : 0);
    return state.weight / (std::max(0.0, others) + state.weight);
}

fair_queue::organisation_state&
fair_queue::state_of(organisation_index organisation)
{
    if (organisation >= organisations_.size()) {
        organisations_.resize(organisation + 1);
    }
    return organisations_[organisation];
}

void fair_queue::clamp_service(organisation_state& state) const
{
    // An idle organisation earns no credit for unused service, and its past
    // usage puts it ahead of the others by a bounded amount only.
    state.normalised_service =
        std::clamp(state.normalised_service, virtual_time_,
                   virtual_time_ + max_lead_tokens_ / state.weight);
}

void fair_queue::set_normalised_service(organisation_index organisation,
                                        organisation_state& state,
                                        double service)
{
    rank const from{state.normalised_service, organisation};
    state.normalised_service = service;
    if (!state.blocked) {
        for (auto const& queue : state.sub_queues) {
            if (!queue.positions.empty()) {
                move_key(ready_of(queue.index), from, {service, organisation});
            }
        }
    }
    update_projected_service(organisation, state);
}

void fair_queue::update_projected_service(organisation_index organisation,
                                          organisation_state& state)
{
    if (state.sheddable.empty()) {
        return;
    }
    auto const projected =
        state.normalised_service + state.backlog / state.weight;
    move_key(by_projected_service_, {state.projected_service, organisation},
             {projected, organisation});
    state.projected_service = projected;
}

lane_index fair_queue::sub_queue_index(lane_index lane, bool late)
{
    return 2 * lane + (late ? 1 : 0);
}

fair_queue::sub_queue& fair_queue::sub_queue_of(organisation_state& state,
                                                lane_index index)
{
    for (auto& each : state.sub_queues) {
        if (each.index == index) {
            return each;
        }
    }
    return state.sub_queues.emplace_back(sub_queue{index, 0, {}});
}

std::set<fair_queue::rank>& fair_queue::ready_of(lane_index index)
{
    if (index >= ready_organisations_.size()) {
        ready_organisations_.resize(index + 1);
    }
    return ready_organisations_[index];
}

unsigned& fair_queue::urgent_of(lane_index lane)
{
    if (lane >= urgent_by_lane_.size()) {
        urgent_by_lane_.resize(lane + 1);
    }
    return urgent_by_lane_[lane];
}

} // namespace medlarstall::scheduling
