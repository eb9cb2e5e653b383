#include <medlarstall/scheduling/fair_queue.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace medlarstall::scheduling {

namespace {

/// One request in this many is a late one, if any wait.
constexpr unsigned late_turn = 8;
/// An organisation with a weight of 1 that is this many tokens behind is
/// served although its requests are late.
constexpr double most_behind_tokens = 1000;
/// An organisation asks for much less below this part of another's backlog.
constexpr double modest_part = 0.2;

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
        auto& urgent = urgent_of(line.lane / 2);
        urgent = blocked ? urgent - line.urgent : urgent + line.urgent;
        if (line.positions.empty()) {
            continue;
        }
        if (blocked) {
            ready_of(line.lane).erase(key);
        } else {
            ready_of(line.lane).insert(key);
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
    auto const index = line_index(entry.lane, entry.position.late);
    auto& line = line_of(member, index);
    if (line.positions.empty() && !member.blocked) {
        ready_of(index).insert({member.served, entry.organisation});
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
    auto const index = line_index(entry.lane, entry.position.late);
    auto& line = line_of(member, index);
    if (line.positions.erase(entry.position) == 0) {
        return;
    }
    --member.queued;
    --size_;
    if (line.positions.empty() && !member.blocked) {
        ready_of(index).erase({member.served, entry.organisation});
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
    auto const in_time = front(lanes, false);
    auto const late = front(lanes, true);
    if (!in_time || !late) {
        return in_time ? in_time : late;
    }
    // An organisation that asks for much less than the other one does not
    // wait longer for being late.
    auto const& behind = accounts_[late->organisation];
    auto const& ahead = accounts_[in_time->organisation];
    auto const modest = behind.backlog / behind.weight <
                        modest_part * ahead.backlog / ahead.weight;
    auto const slack = modest ? 0.0 : most_behind_tokens / behind.weight;
    bool const late_first =
        turns_ + 1 >= late_turn || late->served + slack <= in_time->served;
    return late_first ? late : in_time;
}

std::optional<fair_queue::candidate>
fair_queue::front(std::span<lane_index const> lanes, bool late) const
{
    std::optional<candidate> best;
    rank best_rank;
    for (auto const lane : lanes) {
        auto const index = line_index(lane, late);
        if (index >= ready_.size() || ready_[index].empty()) {
            continue;
        }
        auto const first = *ready_[index].begin();
        auto const& position = *line(first.organisation, lane, late)->begin();
        if (!best || first < best_rank ||
            (first == best_rank && position < best->position)) {
            best_rank = first;
            best = {first.organisation, lane, position, first.tokens};
        }
    }
    return best;
}

std::set<queue_position> const*
fair_queue::line(organisation_index organisation, lane_index lane,
                 bool late) const
{
    if (organisation >= accounts_.size()) {
        return nullptr;
    }
    auto const index = line_index(lane, late);
    for (auto const& line : accounts_[organisation].lines) {
        if (line.lane == index && !line.positions.empty()) {
            return &line.positions;
        }
    }
    return nullptr;
}

void fair_queue::advance(queue_entry const& entry)
{
    virtual_time_ = std::max(virtual_time_, at(entry.organisation).served);
    turns_ = entry.position.late ? 0 : turns_ + 1;
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
    return std::ranges::any_of(std::array{false, true}, [&](bool late) {
        auto const index = line_index(lane, late);
        return index < ready_.size() && !ready_[index].empty();
    });
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
    line_of(member, line_index(lane, false)).urgent += unsigned(change);
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

lane_index fair_queue::line_index(lane_index lane, bool late)
{
    return 2 * lane + (late ? 1 : 0);
}

fair_queue::lane_line& fair_queue::line_of(account& member, lane_index line)
{
    for (auto& each : member.lines) {
        if (each.lane == line) {
            return each;
        }
    }
    return member.lines.emplace_back(lane_line{line, 0, {}});
}

std::set<fair_queue::rank>& fair_queue::ready_of(lane_index line)
{
    if (line >= ready_.size()) {
        ready_.resize(line + 1);
    }
    return ready_[line];
}

unsigned& fair_queue::urgent_of(lane_index lane)
{
    if (lane >= urgent_.size()) {
        urgent_.resize(lane + 1);
    }
    return urgent_[lane];
}

} // namespace medlarstall::scheduling
