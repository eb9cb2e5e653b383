#include <medlarstall/dispatch/dispatcher.hpp>

#include "unit_fraction.hpp"

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlarstall::dispatch {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

/// Time after which the load that another daemon has reported is ignored.
constexpr std::chrono::milliseconds peer_load_lifetime{1500};
/// Time after which the load that a backend server has reported is ignored.
constexpr std::chrono::milliseconds report_lifetime{1000};
/// Time constant of the decaying average of time spent in prefill of long
/// prompts.
constexpr milliseconds prefill_share_decay{2000.0};
/// Factor by which prefill is assumed to take longer than estimated, before the
/// parts of a prompt can be copied.
constexpr double prefill_time_margin = 1.3;
/// Time after which prefill of a prompt that another daemon has sent is assumed
/// to be done.
constexpr std::chrono::milliseconds peer_prefill_delay{1000};
/// Weight of the newest value in the moving average of the slowness.
constexpr double slowness_weight = 0.15;
/// Weight of the newest value in the moving average of the latency.
constexpr double latency_weight = 0.2;
/// Bounds of a single value of the slowness, so that an outlier has little
/// effect.
constexpr double min_slowness = 0.3;
constexpr double max_slowness = 12.0;

} // namespace

dispatcher::dispatcher(dispatcher_settings settings)
    : settings_{std::move(settings)}
{}

void dispatcher::set_settings(dispatcher_settings settings)
{
    settings_ = std::move(settings);
}

void dispatcher::set_cell(fleet_cell cell)
{
    cell_assignment_valid_ = cell_assignment_valid_ && cell == cell_;
    cell_ = cell;
}

/// Called when backend servers were added or removed, so that the cells may use
/// others than before.
void dispatcher::invalidate_assignments()
{
    cell_assignment_valid_ = false;
    limit_division_.on_servers_changed();
}

void dispatcher::set_routes(std::shared_ptr<routes::route_table const> table)
{
    route_table_ = std::move(table);
}

dispatcher::server_record& dispatcher::ensure_record(std::string_view id)
{
    auto const found = records_.find(id);
    if (found != records_.end()) {
        return found->second;
    }
    auto& record = records_[std::string{id}];
    record.incarnation = ++last_incarnation_;
    return record;
}

dispatcher::server_record const*
dispatcher::find_record(std::string_view id) const
{
    auto const found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

list_change dispatcher::apply(backend_server_entry const& entry, time_point now)
{
    auto const change = server_list_.apply(entry, now);
    if (change == list_change::added || change == list_change::restarted) {
        invalidate_assignments();
        auto& record = ensure_record(entry.id);
        record = {};
        record.incarnation = ++last_incarnation_;
    }
    return change;
}

list_change dispatcher::remove(std::string_view id, time_point now)
{
    auto const change = server_list_.remove(id, now);
    if (change == list_change::removed) {
        invalidate_assignments();
        records_.erase(std::string{id});
    }
    return change;
}

void dispatcher::set_list_readable(bool reachable, time_point returned_at)
{
    server_list_.set_reachable(reachable, returned_at);
}

void dispatcher::on_list_restored(time_point now)
{
    server_list_.on_restored(now);
}

void dispatcher::expire(time_point now,
                        std::function<void(std::string const&)> const& dropped)
{
    server_list_.expire(now, [&](std::string const& id) {
        invalidate_assignments();
        records_.erase(id);
        dropped(id);
    });
    for (auto& [id, record] : records_) {
        std::erase_if(record.peer_loads, [now](auto const& item) {
            return now - item.second.received_at > peer_load_lifetime;
        });
    }
}

server_load dispatcher::total_load(server_record const& record,
                                   time_point now) const
{
    auto total = record.own_load;
    total.long_prefill_share = long_prefill_share_of(record, now);
    for (auto const& [daemon, peer] : record.peer_loads) {
        total.in_flight += peer.load.in_flight;
        total.prefill_tokens += peer.load.prefill_tokens;
        total.memory_tokens += peer.load.memory_tokens;
        total.pause_sensitivity_sum += peer.load.pause_sensitivity_sum;
        total.long_prefill_share += peer.load.long_prefill_share;
    }
    if (now - record.reported_at < report_lifetime) {
        auto const reported = static_cast<double>(record.last_report.running +
                                                  record.last_report.waiting);
        total.in_flight = std::max(total.in_flight, reported);
    }
    return total;
}

double dispatcher::long_prefill_share_of(server_record const& record,
                                         time_point now)
{
    auto const age = milliseconds{now - record.long_prefill_share_updated_at};
    return record.own_load.long_prefill_share *
           std::exp(-(age / prefill_share_decay));
}

load_reservation dispatcher::on_sent(placement_request const& request,
                                     placement const& chosen, time_point now)
{
    load_reservation reservation;
    auto& record = ensure_record(chosen.backend_server);
    record.permits.take(now);
    if (auto const* const entry = find_entry(chosen.backend_server)) {
        record.room.on_sent(
            decide_room(*entry, record, request.urgency_share, now), now);
    }
    reservation.backend_server = chosen.backend_server;
    reservation.service = request.service;
    reservation.incarnation = record.incarnation;
    reservation.sent_at = now;
    reservation.expected_first_event = chosen.expected_first_event;
    if (request.model_prompt) {
        auto const& wanted_prompt = *request.model_prompt;
        reservation.prefill_tokens = static_cast<double>(
            wanted_prompt.tokens -
            std::min(wanted_prompt.tokens,
                     chosen.cached_tokens + chosen.copied_tokens));
        reservation.memory_tokens = static_cast<double>(wanted_prompt.tokens) -
                                    chosen.cached_tokens +
                                    wanted_prompt.output_tokens;
        reservation.pause_sensitivity = request.pause_sensitivity;
        auto const interfering_tokens =
            reservation.prefill_tokens *
            prefill_interference(reservation.prefill_tokens);
        record.own_load.long_prefill_share =
            long_prefill_share_of(record, now) +
            interfering_tokens / prefill_tokens_per_ms /
                prefill_share_decay.count();
        record.long_prefill_share_updated_at = now;
        auto const* const service =
            route_table_ ? route_table_->find_service(request.service)
                         : nullptr;
        if (service != nullptr && service->model) {
            record.cached_parts.set_capacity(service->model->memory_tokens);
        }
        auto const prefill_time = std::chrono::duration_cast<duration>(
            milliseconds{chosen.expected_first_event * prefill_time_margin});
        record.cached_parts.add(wanted_prompt, now + prefill_time, now);
    }
    record.own_load.in_flight += 1;
    record.own_load.prefill_tokens += reservation.prefill_tokens;
    record.own_load.memory_tokens += reservation.memory_tokens;
    record.own_load.pause_sensitivity_sum += reservation.pause_sensitivity;
    return reservation;
}

void dispatcher::on_answer_started(load_reservation& reservation,
                                   time_point now)
{
    auto const found = records_.find(reservation.backend_server);
    if (std::exchange(reservation.answer_started, true) ||
        found == records_.end() ||
        found->second.incarnation != reservation.incarnation) {
        return;
    }
    auto& record = found->second;
    record.health_tracker.on_data_received();
    record.own_load.prefill_tokens -= reservation.prefill_tokens;
    auto const elapsed_ms = milliseconds{now - reservation.sent_at}.count();
    if (reservation.memory_tokens > 0) {
        calibrations_[reservation.service].add_sample(
            milliseconds{reservation.expected_first_event},
            now - reservation.sent_at);
        auto const expected =
            reservation.expected_first_event / record.slowness;
        auto const measured_slowness = std::clamp(
            elapsed_ms / std::max(expected, 1.0), min_slowness, max_slowness);
        record.slowness +=
            slowness_weight * (measured_slowness - record.slowness);
    } else {
        record.latency_ms += latency_weight * (elapsed_ms - record.latency_ms);
    }
}

void dispatcher::on_answer_ended(load_reservation& reservation, time_point now)
{
    if (std::exchange(reservation.answer_ended, true)) {
        return;
    }
    if (auto* const record = record_of_run(reservation)) {
        remove_load(*record, reservation, now);
    }
}

void dispatcher::on_send_ended(load_reservation const& reservation,
                               send_outcome outcome, time_point now)
{
    auto* const record = record_of_run(reservation);
    if (record == nullptr) {
        return;
    }
    if (!reservation.answer_ended) {
        remove_load(*record, reservation, now);
    }
    if (outcome == send_outcome::succeeded || outcome == send_outcome::failed ||
        outcome == send_outcome::rejected) {
        record->health_tracker.on_outcome(outcome == send_outcome::succeeded);
    }
    if (outcome == send_outcome::rejected) {
        record->room.on_rejected(now);
        note_crowding(reservation.service, now);
    }
}

/// \return record of the run of the backend server that a load was added to;
///     null if that run has ended
dispatcher::server_record*
dispatcher::record_of_run(load_reservation const& reservation)
{
    auto const found = records_.find(reservation.backend_server);
    auto const same = found != records_.end() &&
                      found->second.incarnation == reservation.incarnation;
    return same ? &found->second : nullptr;
}

void dispatcher::remove_load(server_record& record,
                             load_reservation const& reservation,
                             time_point now)
{
    record.own_load.in_flight -= 1;
    record.own_load.memory_tokens -= reservation.memory_tokens;
    record.own_load.pause_sensitivity_sum -= reservation.pause_sensitivity;
    if (!reservation.answer_started) {
        record.own_load.prefill_tokens -= reservation.prefill_tokens;
        calibrations_[reservation.service].add_lower_bound(
            milliseconds{reservation.expected_first_event},
            now - reservation.sent_at);
        auto const elapsed_ms = milliseconds{now - reservation.sent_at}.count();
        if (reservation.memory_tokens <= 0 && elapsed_ms > record.latency_ms) {
            record.latency_ms +=
                latency_weight * (elapsed_ms - record.latency_ms);
        }
    }
}

void dispatcher::on_load_report(std::string_view id,
                                server_load_report const& load, time_point now)
{
    auto const found = records_.find(id);
    if (found != records_.end()) {
        found->second.last_report = load;
        found->second.reported_at = now;
    }
}

bool dispatcher::on_leaving(std::string_view id, time_point now)
{
    auto const found = records_.find(id);
    if (found == records_.end()) {
        return false;
    }
    found->second.announced_leaving_at = now;
    return !std::exchange(found->second.leaving, true);
}

bool dispatcher::merge_leave_notice(leave_notice const& notice)
{
    auto const* const entry = find_entry(notice.backend_server);
    auto const found = records_.find(notice.backend_server);
    if (entry == nullptr || found == records_.end() ||
        entry->started_unix_ms != notice.started_unix_ms) {
        return false;
    }
    return !std::exchange(found->second.leaving, true);
}

std::vector<leave_notice>
dispatcher::leave_notices_since(time_point since) const
{
    std::vector<leave_notice> notices;
    for (auto const& [id, record] : records_) {
        if (record.announced_leaving_at <= since) {
            continue;
        }
        if (auto const* const entry = find_entry(id)) {
            notices.push_back({id, entry->started_unix_ms});
        }
    }
    return notices;
}

bool dispatcher::is_leaving(std::string_view id) const
{
    auto const* const record = find_record(id);
    return record != nullptr && record->leaving;
}

void dispatcher::on_pause_requested(std::string_view id, duration wanted,
                                    time_point now)
{
    auto const found = records_.find(id);
    if (found != records_.end()) {
        found->second.pause.extend(wanted, now);
    }
}

server_health* dispatcher::health_tracker_of(std::string_view id)
{
    auto const found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second.health_tracker;
}

health dispatcher::health_of(std::string_view id) const
{
    auto const* const record = find_record(id);
    return record == nullptr ? health::down : record->health_tracker.state();
}

server_load dispatcher::load_of(std::string_view id, time_point now) const
{
    auto const* const record = find_record(id);
    return record == nullptr ? server_load{} : total_load(*record, now);
}

std::vector<backend_server_entry> dispatcher::take_due_probes(time_point now)
{
    std::vector<backend_server_entry> due;
    for (auto& [id, record] : records_) {
        if (record.health_tracker.state() == health::up) {
            continue;
        }
        auto const* const entry = find_entry(id);
        auto const wanted =
            !record.leaving && record.pause.remaining(now) == duration::zero();
        if (entry == nullptr || entry->draining || !wanted) {
            continue;
        }
        add_permits(id, record, now);
        if (has_permit(record, 0, now) &&
            record.health_tracker.start_probe(now)) {
            record.permits.take(now);
            due.push_back(*entry);
        }
    }
    return due;
}

backend_server_entry const* dispatcher::find_entry(std::string_view id) const
{
    auto const found = server_list_.all().find(id);
    return found == server_list_.all().end() ? nullptr : &found->second.entry;
}

bool dispatcher::is_listed_run(std::string_view id,
                               std::int64_t started_unix_ms) const
{
    auto const* const entry = find_entry(id);
    return entry != nullptr && entry->started_unix_ms == started_unix_ms;
}

void dispatcher::merge_loads(std::string const& daemon,
                             std::vector<server_load_entry> const& entries,
                             time_point now)
{
    auto& loaded_servers = servers_loaded_by_peer_[daemon];
    for (auto const& id : loaded_servers) {
        if (auto const found = records_.find(id); found != records_.end()) {
            found->second.peer_loads.erase(daemon);
        }
    }
    loaded_servers.clear();
    for (auto const& entry : entries) {
        auto const found = records_.find(entry.backend_server);
        if (found != records_.end()) {
            found->second.peer_loads[daemon] = {entry.load, now};
            loaded_servers.push_back(entry.backend_server);
        }
    }
    if (loaded_servers.empty()) {
        servers_loaded_by_peer_.erase(daemon);
    }
}

void dispatcher::merge_prompt(std::string_view id, prompt const& sent,
                              time_point now)
{
    auto const found = records_.find(id);
    if (found != records_.end()) {
        found->second.cached_parts.add(sent, now + peer_prefill_delay, now);
    }
}

std::vector<server_prompt_parts>
dispatcher::parts_used_since(time_point since) const
{
    std::vector<server_prompt_parts> found;
    for (auto const& [id, record] : records_) {
        auto parts = record.cached_parts.parts_used_since(since);
        if (!parts.empty()) {
            server_prompt_parts cached{id, std::move(parts)};
            auto const* const entry = find_entry(id);
            if (entry != nullptr && entry->started_unix_ms != 0) {
                cached.started_unix_ms = entry->started_unix_ms;
            }
            found.push_back(std::move(cached));
        }
    }
    return found;
}

void dispatcher::merge_parts(server_prompt_parts const& cached, time_point now)
{
    auto const found = records_.find(cached.backend_server);
    auto const& started = cached.started_unix_ms;
    auto const of_other_run =
        started && !is_listed_run(cached.backend_server, *started);
    if (found != records_.end() && !of_other_run) {
        prompt cached_prompt;
        cached_prompt.parts = cached.parts;
        found->second.cached_parts.add(cached_prompt, now, now);
    }
}

std::vector<server_load_entry> dispatcher::own_loads(time_point now) const
{
    std::vector<server_load_entry> entries;
    for (auto const& [id, record] : records_) {
        if (record.own_load.in_flight > 0) {
            auto load = record.own_load;
            load.long_prefill_share = long_prefill_share_of(record, now);
            entries.push_back({id, load});
        }
    }
    return entries;
}

retry_budget& dispatcher::retry_budget_of(std::string const& service)
{
    auto const found = retry_budgets_.find(service);
    if (found != retry_budgets_.end()) {
        return found->second;
    }
    auto const phase = unit_fraction(hash64(service, settings_.start_seed));
    return retry_budgets_
        .emplace(service, retry_budget{phase, settings_.retry_slack_from})
        .first->second;
}

void dispatcher::on_request(std::string const& service)
{
    retry_budget_of(service).on_request(settings_.retries, retry_sharers_);
}

retry_decision dispatcher::try_retry(std::string const& service, time_point now)
{
    return retry_budget_of(service).try_consume(settings_.retries,
                                                retry_sharers_, now);
}

} // namespace medlarstall::dispatch
