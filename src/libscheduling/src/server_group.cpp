#include "server_group.hpp"

#include <algorithm>
#include <utility>

namespace medlarstall::scheduling {

namespace {

constexpr unsigned affinity_depth = 4;
constexpr unsigned most_passed_over = 4;

} // namespace

server_group::server_group(scheduler_settings const& settings,
                           organisation_table& organisations)
    : settings_{settings}, organisations_{organisations}, shedding_{settings},
      preemption_{settings.least_run_tokens}, gate_{settings}, queue_{settings}
{}

void server_group::set_policy(unsigned slots,
                              std::array<double, max_tiers> const& floors)
{
    slots_per_server_ = slots;
    for (auto const& [id, server] : servers_) {
        server->set_slots(slots);
    }
    for (unsigned tier = 0; tier < max_tiers; ++tier) {
        queue_.set_floor(tier, floors[tier]);
    }
}

void server_group::add(backend_server_description const& description)
{
    auto& server = servers_[description.id];
    if (server) {
        server->describe(description);
    } else {
        server = std::make_unique<backend_server>(settings_, description,
                                                  slots_per_server_);
    }
}

backend_server* server_group::find(std::string_view id)
{
    auto const found = servers_.find(id);
    return found == servers_.end() ? nullptr : found->second.get();
}

backend_server* server_group::removable() const
{
    for (auto const& [id, server] : servers_) {
        if (server->removable()) {
            return server.get();
        }
    }
    return nullptr;
}

void server_group::forget(backend_server const& server)
{
    servers_.erase(servers_.find(server.description().id));
}

bool server_group::can_run(std::string_view model) const
{
    return std::ranges::any_of(servers_, [&](auto const& each) {
        return !each.second->leaving() && each.second->serves(model);
    });
}

void server_group::prepare(request_record& record)
{
    auto const& value = record.value;
    record.entry.tokens = value.expected_output_tokens > 0
                              ? value.expected_output_tokens
                              : gate_.usual_output_tokens();
    record.preferred = find(value.preferred_backend_server);
    assign_lane(record);
    auto const to_start = estimate_.first_token() + settings_.preemption_time;
    record.latest_start = std::min(value.arrived + value.targets.first_token,
                                   value.deadline - settings_.preemption_time) -
                          to_start;
    record.entry.position = {
        .due = record.latest_start, .id = value.id, .record = &record};
}

void server_group::push(request_record& record)
{
    auto& tier = queue_.at(record.value.tier);
    auto& entry = record.entry;
    record.state = request_state::queued;
    entry.sheddable = !record.has_run;
    entry.position.late = false;
    entry.position.due = record.latest_start;
    tier.set_weight(entry.organisation,
                    organisations_.weight(entry.organisation));
    tier.push(entry);
    record.entry_queued = true;
    ++record.usage->queued;
    if (record.has_run) {
        return;
    }
    deadlines_.insert({record.value.deadline, record.value.id, &record});
    latest_starts_.insert({record.latest_start, record.value.id, &record});
}

void server_group::erase(request_record& record)
{
    auto& tier = queue_.at(record.value.tier);
    if (record.urgent) {
        tier.count_urgent(record.entry.organisation, record.entry.lane, -1);
        record.urgent = false;
    }
    tier.erase(record.entry);
    record.entry_queued = false;
    --record.usage->queued;
    if (!record.entry.sheddable) {
        return;
    }
    deadlines_.erase({record.value.deadline, record.value.id, &record});
    latest_starts_.erase({record.latest_start, record.value.id, &record});
    urgent_.erase({record.latest_start, record.value.id, &record});
}

request_record* server_group::dispatch_one(time_point now, action_list& actions)
{
    if (queue_.size() == 0) {
        return nullptr;
    }
    free_.clear();
    for (auto* server = next_free(now); server; server = next_free(now)) {
        free_.push_back(server);
        auto const choice = queue_.pick(lanes_of(*server, now), now);
        if (!choice) {
            continue;
        }
        auto* const record = affine(*choice, *server);
        start(*record, best_server(*record, *server, now), choice->by_floor,
              now, actions);
        queue_.note_served(choice->tier, choice->by_floor, now);
        return record;
    }
    return nullptr;
}

request_record* server_group::dispatch_instead(backend_server& slot,
                                               unsigned tier, time_point now,
                                               action_list& actions)
{
    if (!slot.accepts(now)) {
        return nullptr;
    }
    auto const choice = queue_.pick_by_priority(lanes_of(slot, now));
    if (!choice || choice->tier > tier) {
        return nullptr;
    }
    auto* const record = affine(*choice, slot);
    start(*record, slot, false, now, actions);
    return record;
}

void server_group::release(request_record& record, time_point now)
{
    if (record.state == request_state::preempting) {
        --replacing_[record.replaced_by];
        long_victims_ -= record.long_victim ? 1 : 0;
    }
    record.server->stop(record, now);
    record.server = nullptr;
    record.by_floor = false;
    if (record.is_long) {
        gate_.leave();
        record.is_long = false;
    }
    organisations_.stop(record.entry.organisation);
    --record.usage->running;
    running_.back()->running_at = record.running_at;
    std::swap(running_[record.running_at], running_.back());
    running_.pop_back();
}

void server_group::requeue(request_record& record, bool ran, time_point now)
{
    if (!ran) {
        record.has_run = record.had_run;
    }
    settle_charge(record, now);
    auto const done = double(record.tokens);
    auto const estimate = std::max<double>(record.value.expected_output_tokens,
                                           gate_.usual_output_tokens());
    record.entry.tokens = std::max(1.0, estimate - done) + done;
    assign_lane(record);
    push(record);
}

void server_group::observe_first_token(request_record& record, time_point now)
{
    record.first_seen = true;
    record.last_token_at = now;
    auto const latency = now - record.dispatched_at;
    estimate_.learn_first_token(latency, record.value.prompt_tokens);
    record.server->observe_first_token(latency, now);
}

bool server_group::observe_tokens(request_record& record, std::uint32_t count,
                                  time_point now)
{
    auto const was_long = record.is_long;
    auto const was_victim = preemption_.displaceable(record);
    record.tokens += count;
    record.usage->served_tokens += count;
    if (double(record.tokens) > record.charged) {
        charge(record, double(record.tokens) - record.charged, now);
    }
    if (record.server == nullptr) {
        return false;
    }
    if (!was_long && !record.value.isolated && gate_.is_long(record.tokens)) {
        record.is_long = true;
        gate_.enter();
    }
    if (count > 0 && now > record.last_token_at) {
        record.server->observe_between_tokens(
            (now - record.last_token_at) / count, now);
        record.last_token_at = now;
    }
    return was_long != record.is_long ||
           (!was_victim && preemption_.displaceable(record));
}

void server_group::charge(request_record& record, double tokens, time_point now)
{
    auto const organisation = record.entry.organisation;
    queue_.at(record.value.tier).charge(organisation, tokens);
    organisations_.charge(organisation, tokens, now);
    record.charged += tokens;
}

void server_group::learn_holding(request_record const& record, time_point now)
{
    estimate_.learn_holding(now - record.dispatched_at);
}

void server_group::learn_output(request_record const& record)
{
    if (record.tokens > 0) {
        gate_.learn(record.tokens);
    }
}

void server_group::settle_charge(request_record& record, time_point now)
{
    charge(record, double(record.tokens) - record.charged, now);
}

void server_group::set_blocked(organisation_index organisation, bool blocked)
{
    for (unsigned tier = 0; tier < max_tiers; ++tier) {
        queue_.at(tier).set_blocked(organisation, blocked);
    }
}

void server_group::charge_remote(organisation_index organisation, unsigned tier,
                                 double tokens)
{
    queue_.at(tier).charge_remote(organisation, tokens);
}

lane_index server_group::model_of(std::string_view model)
{
    auto const found = std::ranges::find(models_, model);
    if (found == models_.end()) {
        models_.emplace_back(model);
        replacing_.resize(models_.size() * kinds);
        return lane_index(models_.size() - 1);
    }
    return lane_index(found - models_.begin());
}

void server_group::assign_lane(request_record& record)
{
    auto kind = lane_kind::ordinary;
    if (record.value.isolated) {
        kind = lane_kind::isolated;
    } else if (gate_.is_long(std::max<std::uint64_t>(
                   record.tokens, record.value.expected_output_tokens))) {
        kind = lane_kind::long_running;
    }
    record.entry.lane = model_of(record.value.model) * kinds + lane_index(kind);
}

open_lanes server_group::lanes_of(backend_server const& server, time_point now)
{
    lanes_.clear();
    auto const add = [&](lane_kind kind) {
        for (lane_index model = 0; model < models_.size(); ++model) {
            if (server.serves(models_[model])) {
                lanes_.push_back(model * kinds + lane_index(kind));
            }
        }
    };
    add(lane_kind::ordinary);
    if (!server.runs_isolated()) {
        add(lane_kind::isolated);
    }
    auto const not_long = lanes_.size();
    add(lane_kind::long_running);
    return {lanes_, not_long, long_below(now)};
}

bool server_group::serves_lane(backend_server const& server, lane_index lane,
                               time_point now) const
{
    auto const kind = lane_kind(lane % kinds);
    return server.accepts(now) && server.serves(models_[lane / kinds]) &&
           (kind != lane_kind::isolated || !server.runs_isolated());
}

unsigned server_group::long_below(time_point now) const
{
    if (gate_.has_room(limit(now))) {
        return max_tiers;
    }
    for (unsigned tier = 0; tier < max_tiers; ++tier) {
        for (lane_index model = 0; model < models_.size(); ++model) {
            if (queue_.at(tier).ready(model * kinds)) {
                return tier;
            }
        }
    }
    return max_tiers;
}

bool server_group::has_slot(time_point now) const
{
    return std::ranges::any_of(servers_, [now](auto const& each) {
        return each.second->has_slot(now);
    });
}

unsigned server_group::limit(time_point now) const
{
    unsigned sum = 0;
    for (auto const& [id, server] : servers_) {
        sum += server->leaving() ? 0 : server->limit(now);
    }
    return sum;
}

unsigned server_group::slots() const
{
    unsigned sum = 0;
    for (auto const& [id, server] : servers_) {
        sum += server->leaving() ? 0 : server->slots();
    }
    return sum;
}

request_record* server_group::affine(tier_queue::choice const& choice,
                                     backend_server& server) const
{
    auto* const head = choice.request.position.record;
    if (head->urgent || head->has_run || head->preferred == nullptr ||
        head->preferred == &server || head->passed_over >= most_passed_over) {
        return head;
    }
    auto const& first = choice.request;
    auto const* const line =
        queue_.at(choice.tier)
            .line(first.organisation, first.lane, first.position.late);
    unsigned depth = 0;
    for (auto const& position : *line) {
        if (position.record->preferred == &server) {
            ++head->passed_over;
            return position.record;
        }
        if (++depth == affinity_depth) {
            break;
        }
    }
    return head;
}

backend_server& server_group::best_server(request_record const& record,
                                          backend_server& otherwise,
                                          time_point now) const
{
    auto* const preferred = record.preferred;
    if (preferred != nullptr && preferred->has_slot(now) &&
        (!preferred->description().demoted ||
         otherwise.description().demoted) &&
        serves_lane(*preferred, record.entry.lane, now)) {
        return *preferred;
    }
    return otherwise;
}

backend_server* server_group::next_free(time_point now)
{
    backend_server* best = nullptr;
    auto const rank = [now](backend_server const& server) {
        return std::pair{server.description().demoted, server.utilisation(now)};
    };
    for (auto const& [id, server] : servers_) {
        if (!server->has_slot(now) ||
            std::ranges::find(free_, server.get()) != free_.end()) {
            continue;
        }
        if (!best || rank(*server) < rank(*best)) {
            best = server.get();
        }
    }
    return best;
}

void server_group::start(request_record& record, backend_server& server,
                         bool by_floor, time_point now, action_list& actions)
{
    auto const organisation = record.entry.organisation;
    queue_.at(record.value.tier).advance(record.entry);
    erase(record);
    record.state = request_state::running;
    record.server = &server;
    record.preferred = &server;
    record.by_floor = by_floor;
    record.first_seen = false;
    record.tokens_before = record.tokens;
    record.dispatched_at = now;
    record.last_token_at = now;
    record.running_at = running_.size();
    running_.push_back(&record);
    server.start(record, now);
    organisations_.start(organisation, !record.counted, now);
    ++record.usage->running;
    if (!record.counted) {
        ++record.usage->dispatched;
        auto const target = record.value.targets.first_token;
        record.usage->delayed += now > record.value.arrived + target ? 1 : 0;
        record.counted = true;
    }
    if (lane_kind(record.entry.lane % kinds) == lane_kind::long_running) {
        gate_.enter();
        record.is_long = true;
    }
    charge(record, std::max(0.0, record.entry.tokens - record.charged), now);
    actions.emplace_back(dispatch{.id = record.value.id,
                                  .backend_server = server.description().id,
                                  .priority = record.value.tier,
                                  .resume_from = record.tokens,
                                  .by_floor = by_floor});
    record.had_run = record.has_run;
    record.has_run = true;
}

} // namespace medlarstall::scheduling
