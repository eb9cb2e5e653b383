#include <medlarstall/scheduling/fair_queue.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::scheduling {

namespace {

/// Moves a key within a set without allocating.
template<class Key>
void move_key(std::set<Key>& keys, Key const& from, Key const& to)
{
    auto node = keys.extract(from);
    node.value() = to;
    keys.insert(std::move(node));
}

} // namespace

fair_queue::fair_queue(double most_lead_tokens)
    : most_lead_tokens_{most_lead_tokens}
{}

void fair_queue::set_weight(organisation_index organisation, double weight)
{
    auto& member = at(organisation);
    if (member.weight == weight) {
        return;
    }
    if (member.queued > 0) {
        waiting_weight_ += weight - member.weight;
    }
    auto const ahead = (member.served - virtual_time_) * member.weight;
    member.weight = weight;
    set_served(organisation, member, virtual_time_ + ahead / weight);
}

void fair_queue::set_blocked(organisation_index organisation, bool blocked)
{
    auto& member = at(organisation);
    if (member.blocked == blocked) {
        return;
    }
    member.blocked = blocked;
    rank const key{member.served, organisation};
    for (auto const& line : member.lines) {
        if (line.positions.empty()) {
            continue;
        }
        if (blocked) {
            ready_of(line.lane).erase(key);
            urgent_of(line.lane) -= line.urgent;
        } else {
            ready_of(line.lane).insert(key);
            urgent_of(line.lane) += line.urgent;
        }
    }
}

void fair_queue::push(queue_entry const& entry)
{
    auto& member = at(entry.organisation);
    if (member.queued == 0) {
        begin_waiting(member);
        waiting_weight_ += member.weight;
    }
    ++member.queued;
    ++size_;
    auto& line = line_of(member, entry.lane);
    if (line.positions.empty() && !member.blocked) {
        ready_of(entry.lane).insert({member.served, entry.organisation});
    }
    line.positions.insert(entry.position);
    member.backlog += entry.tokens;
    if (entry.sheddable) {
        ++sheddable_;
        if (member.sheddable.empty()) {
            member.over = member.served + member.backlog / member.weight;
            over_.insert({member.over, entry.organisation});
        }
        member.sheddable.insert(entry.position);
    }
    update_over(entry.organisation, member);
}

void fair_queue::erase(queue_entry const& entry)
{
    auto& member = at(entry.organisation);
    auto& line = line_of(member, entry.lane);
    if (line.positions.erase(entry.position) == 0) {
        return;
    }
    --member.queued;
    --size_;
    if (line.positions.empty() && !member.blocked) {
        ready_of(entry.lane).erase({member.served, entry.organisation});
    }
    member.backlog = member.queued == 0 ? 0 : member.backlog - entry.tokens;
    if (member.queued == 0) {
        waiting_weight_ -= member.weight;
    }
    if (entry.sheddable) {
        --sheddable_;
        member.sheddable.erase(entry.position);
        if (member.sheddable.empty()) {
            over_.erase({member.over, entry.organisation});
        }
    }
    update_over(entry.organisation, member);
}

void fair_queue::charge(organisation_index organisation, double tokens)
{
    auto& member = at(organisation);
    set_served(organisation, member, member.served + tokens / member.weight);
}

void fair_queue::charge_remote(organisation_index organisation, double tokens)
{
    auto& member = at(organisation);
    auto const most = std::max(
        member.served, virtual_time_ + most_lead_tokens_ / member.weight);
    set_served(organisation, member,
               std::min(most, member.served + tokens / member.weight));
}

std::optional<fair_queue::candidate>
fair_queue::front(std::span<lane_index const> lanes) const
{
    std::optional<candidate> best;
    rank best_rank;
    for (auto const lane : lanes) {
        if (!ready(lane)) {
            continue;
        }
        auto const first = *ready_[lane].begin();
        auto const& position = *line(first.organisation, lane)->begin();
        if (!best || first < best_rank ||
            (first == best_rank && position < best->position)) {
            best_rank = first;
            best = {first.organisation, lane, position, first.tokens};
        }
    }
    return best;
}

std::set<queue_position> const*
fair_queue::line(organisation_index organisation, lane_index lane) const
{
    if (organisation >= accounts_.size()) {
        return nullptr;
    }
    for (auto const& line : accounts_[organisation].lines) {
        if (line.lane == lane && !line.positions.empty()) {
            return &line.positions;
        }
    }
    return nullptr;
}

void fair_queue::advance(organisation_index organisation)
{
    virtual_time_ = std::max(virtual_time_, at(organisation).served);
}

std::optional<request_id> fair_queue::most_over_entitlement() const
{
    if (over_.empty()) {
        return std::nullopt;
    }
    auto const& member = accounts_[over_.rbegin()->organisation];
    return member.sheddable.rbegin()->id;
}

bool fair_queue::ready(lane_index lane) const
{
    return lane < ready_.size() && !ready_[lane].empty();
}

bool fair_queue::ready() const
{
    return std::ranges::any_of(
        ready_, [](auto const& members) { return !members.empty(); });
}

void fair_queue::count_urgent(organisation_index organisation, lane_index lane,
                              int change)
{
    auto& member = at(organisation);
    line_of(member, lane).urgent += unsigned(change);
    if (!member.blocked) {
        urgent_of(lane) += unsigned(change);
    }
}

unsigned fair_queue::urgent(lane_index lane) const
{
    return lane < urgent_.size() ? urgent_[lane] : 0;
}

std::size_t fair_queue::size_of(organisation_index organisation) const
{
    return organisation < accounts_.size() ? accounts_[organisation].queued : 0;
}

double fair_queue::part_of(organisation_index organisation) const
{
    if (organisation >= accounts_.size()) {
        return 1.0 / (1.0 + waiting_weight_);
    }
    auto const& member = accounts_[organisation];
    auto const others =
        waiting_weight_ - (member.queued > 0 ? member.weight : 0);
    return member.weight / (std::max(0.0, others) + member.weight);
}

fair_queue::account& fair_queue::at(organisation_index organisation)
{
    if (organisation >= accounts_.size()) {
        accounts_.resize(organisation + 1);
    }
    return accounts_[organisation];
}

void fair_queue::begin_waiting(account& member) const
{
    // Time without demand earns no credit, and former use is bounded.
    member.served =
        std::clamp(member.served, virtual_time_,
                   virtual_time_ + most_lead_tokens_ / member.weight);
}

void fair_queue::set_served(organisation_index organisation, account& member,
                            double served)
{
    rank const from{member.served, organisation};
    member.served = served;
    if (!member.blocked) {
        for (auto const& line : member.lines) {
            if (!line.positions.empty()) {
                move_key(ready_of(line.lane), from, {served, organisation});
            }
        }
    }
    update_over(organisation, member);
}

void fair_queue::update_over(organisation_index organisation, account& member)
{
    if (member.sheddable.empty()) {
        return;
    }
    auto const over = member.served + member.backlog / member.weight;
    move_key(over_, {member.over, organisation}, {over, organisation});
    member.over = over;
}

fair_queue::lane_line& fair_queue::line_of(account& member, lane_index lane)
{
    for (auto& line : member.lines) {
        if (line.lane == lane) {
            return line;
        }
    }
    return member.lines.emplace_back(lane_line{lane, 0, {}});
}

std::set<fair_queue::rank>& fair_queue::ready_of(lane_index lane)
{
    if (lane >= ready_.size()) {
        ready_.resize(lane + 1);
    }
    return ready_[lane];
}

unsigned& fair_queue::urgent_of(lane_index lane)
{
    if (lane >= urgent_.size()) {
        urgent_.resize(lane + 1);
    }
    return urgent_[lane];
}

} // namespace medlarstall::scheduling
