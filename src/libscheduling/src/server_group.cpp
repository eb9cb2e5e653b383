#include "server_group.hpp"

#include <algorithm>
#include <utility>

namespace medlarstall::scheduling {

namespace {

/// Number of queued requests that are searched for one whose prefix cache is
/// on the free backend server.
constexpr unsigned affinity_search_depth = 4;
/// Number of times that the request at the front may be passed over for one
/// with a cache match.
constexpr unsigned max_times_passed_over = 4;

} // namespace

server_group::server_group(scheduler_settings const& settings,
                           organisation_table& organisations)
    : settings_{settings}, organisations_{organisations},
      shed_policy_{settings},
      preemption_policy_{settings.min_tokens_between_preemptions},
      long_requests_{settings}, queue_{settings}
{}

void server_group::set_slots_and_floors(
    unsigned slots, std::array<double, max_tiers> const& floors)
{
    slots_per_server_ = slots;
    for (auto const& [id, server] : servers_) {
        server->set_slots(slots);
    }
    for (unsigned tier = 0; tier < max_tiers; ++tier) {
        queue_.set_floor(tier, floors[tier]);
    }
}

void server_group::add_or_update_server(
    backend_server_description const& description)
{
    auto& server = servers_[description.id];
    if (server) {
        server->set_description(description);
    } else {
        server = std::make_unique<backend_server>(settings_, description,
                                                  slots_per_server_);
    }
}

backend_server* server_group::find_server(std::string_view id)
{
    auto const found = servers_.find(id);
    return found == servers_.end() ? nullptr : found->second.get();
}

backend_server* server_group::find_removable() const
{
    for (auto const& [id, server] : servers_) {
        if (server->removable()) {
            return server.get();
        }
    }
    return nullptr;
}

void server_group::erase_server(backend_server const& server)
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
    record.entry.expected_tokens = value.expected_output_tokens > 0
                                       ? value.expected_output_tokens
                                       : long_requests_.typical_output_tokens();
    record.preferred = find_server(value.preferred_backend_server);
    assign_lane(record);
    auto const time_to_first_token =
        service_estimate_.first_token_bound() + settings_.preemption_latency;
    record.latest_start =
        std::min(value.arrived + value.targets.first_token,
                 value.deadline - settings_.preemption_latency) -
        time_to_first_token;
    record.entry.position = {
        .due = record.latest_start, .id = value.id, .record = &record};
}

void server_group::enqueue(request_record& record)
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
    record.in_queue = true;
    ++record.usage->queued;
    if (record.has_run) {
        return;
    }
    deadlines_.insert({record.value.deadline, record.value.id, &record});
    latest_starts_.insert({record.latest_start, record.value.id, &record});
}

void server_group::dequeue(request_record& record)
{
    auto& tier = queue_.at(record.value.tier);
    if (record.urgent) {
        tier.adjust_urgent(record.entry.organisation, record.entry.lane, -1);
        record.urgent = false;
    }
    tier.erase(record.entry);
    record.in_queue = false;
    --record.usage->queued;
    if (!record.entry.sheddable) {
        return;
    }
    deadlines_.erase({record.value.deadline, record.value.id, &record});
    latest_starts_.erase({record.latest_start, record.value.id, &record});
    urgent_.erase({record.latest_start, record.value.id, &record});
}

request_record* server_group::dispatch_next(time_point now,
                                            action_list& actions)
{
    if (queue_.size() == 0) {
        return nullptr;
    }
    tried_servers_.clear();
    for (auto* server = least_utilised_free_server(now); server;
         server = least_utilised_free_server(now)) {
        tried_servers_.push_back(server);
        auto const choice = queue_.pick(find_eligible_lanes(*server, now), now);
        if (!choice) {
            continue;
        }
        auto* const record = choose_by_affinity(*choice, *server);
        start_request(*record, preferred_or_fallback(*record, *server, now),
                      choice->by_floor, now, actions);
        queue_.record_service(choice->tier, choice->by_floor, now);
        return record;
    }
    return nullptr;
}

request_record* server_group::dispatch_to_freed_slot(backend_server& server,
                                                     unsigned tier,
                                                     time_point now,
                                                     action_list& actions)
{
    if (!server.accepts_requests(now)) {
        return nullptr;
    }
    auto const choice =
        queue_.pick_by_priority(find_eligible_lanes(server, now));
    if (!choice || choice->tier > tier) {
        return nullptr;
    }
    auto* const record = choose_by_affinity(*choice, server);
    start_request(*record, server, false, now, actions);
    return record;
}

void server_group::release_slot(request_record& record, time_point now)
{
    if (record.state == request_state::preempting) {
        --preempting_by_lane_[record.successor_lane];
        preempting_long_ -= record.preempted_as_long ? 1 : 0;
    }
    record.server->count_stop(record, now);
    record.server = nullptr;
    record.by_floor = false;
    if (record.is_long) {
        long_requests_.count_stop();
        record.is_long = false;
    }
    organisations_.count_stop(record.entry.organisation);
    --record.usage->running;
    running_.back()->running_index = record.running_index;
    std::swap(running_[record.running_index], running_.back());
    running_.pop_back();
}

void server_group::requeue(request_record& record, bool ran, time_point now)
{
    if (!ran) {
        record.has_run = record.ran_before_dispatch;
    }
    reconcile_charge(record, now);
    auto const generated = double(record.tokens);
    auto const estimate =
        std::max<double>(record.value.expected_output_tokens,
                         long_requests_.typical_output_tokens());
    record.entry.expected_tokens =
        std::max(1.0, estimate - generated) + generated;
    assign_lane(record);
    enqueue(record);
}

void server_group::observe_first_token(request_record& record, time_point now)
{
    record.first_token_seen = true;
    record.last_token_at = now;
    auto const latency = now - record.dispatched_at;
    service_estimate_.observe_first_token(latency, record.value.prompt_tokens);
    record.server->observe_first_token(latency, now);
}

bool server_group::observe_tokens(request_record& record, std::uint32_t count,
                                  time_point now)
{
    auto const was_long = record.is_long;
    auto const was_victim = preemption_policy_.preemptible(record);
    record.tokens += count;
    record.usage->served_tokens += count;
    if (double(record.tokens) > record.charged_tokens) {
        charge(record, double(record.tokens) - record.charged_tokens, now);
    }
    if (record.server == nullptr) {
        return false;
    }
    if (!was_long && !record.value.isolated &&
        long_requests_.is_long(record.tokens)) {
        record.is_long = true;
        long_requests_.count_start();
    }
    if (count > 0 && now > record.last_token_at) {
        record.server->observe_between_tokens(
            (now - record.last_token_at) / count, now);
        record.last_token_at = now;
    }
    return was_long != record.is_long ||
           (!was_victim && preemption_policy_.preemptible(record));
}

void server_group::charge(request_record& record, double tokens, time_point now)
{
    auto const organisation = record.entry.organisation;
    queue_.at(record.value.tier).charge(organisation, tokens);
    organisations_.charge(organisation, tokens, now);
    record.charged_tokens += tokens;
}

void server_group::observe_slot_time(request_record const& record,
                                     time_point now)
{
    service_estimate_.observe_slot_time(now - record.dispatched_at);
}

void server_group::observe_output(request_record const& record)
{
    if (record.tokens > 0) {
        long_requests_.observe_output(record.tokens);
    }
}

void server_group::reconcile_charge(request_record& record, time_point now)
{
    charge(record, double(record.tokens) - record.charged_tokens, now);
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

lane_index server_group::model_index(std::string_view model)
{
    auto const found = std::ranges::find(models_, model);
    if (found == models_.end()) {
        models_.emplace_back(model);
        preempting_by_lane_.resize(models_.size() * lane_kind_count);
        return lane_index(models_.size() - 1);
    }
    return lane_index(found - models_.begin());
}

void server_group::assign_lane(request_record& record)
{
    auto kind = lane_kind::ordinary;
    if (record.value.isolated) {
        kind = lane_kind::isolated;
    } else if (long_requests_.is_long(std::max<std::uint64_t>(
                   record.tokens, record.value.expected_output_tokens))) {
        kind = lane_kind::long_running;
    }
    record.entry.lane =
        model_index(record.value.model) * lane_kind_count + lane_index(kind);
}

eligible_lanes server_group::find_eligible_lanes(backend_server const& server,
                                                 time_point now)
{
    lanes_buffer_.clear();
    auto const add = [&](lane_kind kind) {
        for (lane_index model = 0; model < models_.size(); ++model) {
            if (server.serves(models_[model])) {
                lanes_buffer_.push_back(model * lane_kind_count +
                                        lane_index(kind));
            }
        }
    };
    add(lane_kind::ordinary);
    if (!server.runs_isolated()) {
        add(lane_kind::isolated);
    }
    auto const not_long_count = lanes_buffer_.size();
    add(lane_kind::long_running);
    return {lanes_buffer_, not_long_count, long_allowed_below(now)};
}

bool server_group::serves_lane(backend_server const& server, lane_index lane,
                               time_point now) const
{
    auto const kind = lane_kind(lane % lane_kind_count);
    return server.accepts_requests(now) &&
           server.serves(models_[lane / lane_kind_count]) &&
           (kind != lane_kind::isolated || !server.runs_isolated());
}

unsigned server_group::long_allowed_below(time_point now) const
{
    if (long_requests_.has_capacity(limit(now))) {
        return max_tiers;
    }
    for (unsigned tier = 0; tier < max_tiers; ++tier) {
        for (lane_index model = 0; model < models_.size(); ++model) {
            if (queue_.at(tier).has_ready(model * lane_kind_count)) {
                return tier;
            }
        }
    }
    return max_tiers;
}

bool server_group::has_free_slot(time_point now) const
{
    return std::ranges::any_of(servers_, [now](auto const& each) {
        return each.second->has_free_slot(now);
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

request_record*
server_group::choose_by_affinity(tier_queue::choice const& choice,
                                 backend_server& server) const
{
    auto* const head = choice.front.position.record;
    if (head->urgent || head->has_run || head->preferred == nullptr ||
        head->preferred == &server ||
        head->times_passed_over >= max_times_passed_over) {
        return head;
    }
    auto const& front = choice.front;
    auto const* const positions =
        queue_.at(choice.tier)
            .queued_positions(front.organisation, front.lane,
                              front.position.late);
    unsigned depth = 0;
    for (auto const& position : *positions) {
        if (position.record->preferred == &server) {
            ++head->times_passed_over;
            return position.record;
        }
        if (++depth == affinity_search_depth) {
            break;
        }
    }
    return head;
}

backend_server&
server_group::preferred_or_fallback(request_record const& record,
                                    backend_server& fallback,
                                    time_point now) const
{
    auto* const preferred = record.preferred;
    if (preferred != nullptr && preferred->has_free_slot(now) &&
        (!preferred->description().demoted || fallback.description().demoted) &&
        serves_lane(*preferred, record.entry.lane, now)) {
        return *preferred;
    }
    return fallback;
}

backend_server* server_group::least_utilised_free_server(time_point now)
{
    backend_server* best = nullptr;
    auto const rank = [now](backend_server const& server) {
        return std::pair{server.description().demoted, server.utilisation(now)};
    };
    for (auto const& [id, server] : servers_) {
        if (!server->has_free_slot(now) ||
            std::ranges::find(tried_servers_, server.get()) !=
                tried_servers_.end()) {
            continue;
        }
        if (!best || rank(*server) < rank(*best)) {
            best = server.get();
        }
    }
    return best;
}

void server_group::start_request(request_record& record, backend_server& server,
                                 bool by_floor, time_point now,
                                 action_list& actions)
{
    auto const organisation = record.entry.organisation;
    queue_.at(record.value.tier).begin_service(record.entry);
    dequeue(record);
    record.state = request_state::running;
    record.server = &server;
    record.preferred = &server;
    record.by_floor = by_floor;
    record.first_token_seen = false;
    record.tokens_before_dispatch = record.tokens;
    record.dispatched_at = now;
    record.last_token_at = now;
    record.running_index = running_.size();
    running_.push_back(&record);
    server.count_start(record, now);
    organisations_.count_start(organisation, !record.counted_as_started, now);
    ++record.usage->running;
    if (!record.counted_as_started) {
        ++record.usage->dispatched;
        auto const target = record.value.targets.first_token;
        record.usage->delayed += now > record.value.arrived + target ? 1 : 0;
        record.counted_as_started = true;
    }
    if (lane_kind(record.entry.lane % lane_kind_count) ==
        lane_kind::long_running) {
        long_requests_.count_start();
        record.is_long = true;
    }
    charge(record,
           std::max(0.0, record.entry.expected_tokens - record.charged_tokens),
           now);
    actions.emplace_back(dispatch{.id = record.value.id,
                                  .backend_server = server.description().id,
                                  .priority = record.value.tier,
                                  .resume_from = record.tokens,
                                  .by_floor = by_floor});
    record.ran_before_dispatch = record.has_run;
    record.has_run = true;
}

} // namespace medlarstall::scheduling
