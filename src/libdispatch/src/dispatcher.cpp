#include <medlarstall/dispatch/dispatcher.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlarstall::dispatch {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::chrono::milliseconds peer_load_lifetime{1500};
constexpr std::chrono::milliseconds report_lifetime{1000};
/// Time over which the reading of long prompts is averaged.
constexpr milliseconds reading_memory{2000.0};
constexpr double slower_than_expected = 1.3;
/// Until parts that another daemon has sent are taken as read.
constexpr std::chrono::milliseconds peer_reading{1000};
constexpr double slowness_weight = 0.15;
constexpr double latency_weight = 0.2;
constexpr double least_slowness = 0.3;
constexpr double most_slowness = 12.0;

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
    divided_ = divided_ && cell == cell_;
    cell_ = cell;
}

void dispatcher::set_routes(std::shared_ptr<routes::route_table const> table)
{
    table_ = std::move(table);
}

dispatcher::server_record& dispatcher::record_of(std::string_view id)
{
    auto const found = records_.find(id);
    if (found != records_.end()) {
        return found->second;
    }
    auto& made = records_[std::string{id}];
    made.start = ++starts_;
    return made;
}

dispatcher::server_record const*
dispatcher::find_record(std::string_view id) const
{
    auto const found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

list_change dispatcher::apply(backend_server_entry const& entry, time_point now)
{
    auto const change = list_.apply(entry, now);
    if (change == list_change::added || change == list_change::restarted) {
        divided_ = false;
        auto& record = record_of(entry.id);
        record = {};
        record.start = ++starts_;
    }
    return change;
}

list_change dispatcher::remove(std::string_view id, time_point now)
{
    auto const change = list_.remove(id, now);
    if (change == list_change::removed) {
        divided_ = false;
        records_.erase(std::string{id});
    }
    return change;
}

void dispatcher::set_list_reachable(bool reachable, time_point now)
{
    list_.set_reachable(reachable, now);
}

void dispatcher::note_list_restored(time_point now)
{
    list_.note_restored(now);
}

void dispatcher::expire(time_point now,
                        std::function<void(std::string const&)> const& dropped)
{
    list_.expire(now, [&](std::string const& id) {
        divided_ = false;
        records_.erase(id);
        dropped(id);
    });
    for (auto& [id, record] : records_) {
        std::erase_if(record.peers, [now](auto const& item) {
            return now - item.second.at > peer_load_lifetime;
        });
    }
}

server_load dispatcher::total_load(server_record const& record,
                                   time_point now) const
{
    auto total = record.own;
    total.reading_share = reading_share(record, now);
    for (auto const& [daemon, peer] : record.peers) {
        total.in_flight += peer.load.in_flight;
        total.prefill_tokens += peer.load.prefill_tokens;
        total.memory_tokens += peer.load.memory_tokens;
        total.sensitive += peer.load.sensitive;
        total.reading_share += peer.load.reading_share;
    }
    if (now - record.reported < report_lifetime) {
        auto const told =
            static_cast<double>(record.report.running + record.report.waiting);
        total.in_flight = std::max(total.in_flight, told);
    }
    return total;
}

double dispatcher::reading_share(server_record const& record, time_point now)
{
    auto const age = milliseconds{now - record.reading_updated};
    return record.own.reading_share * std::exp(-(age / reading_memory));
}

ticket dispatcher::note_sent(work const& wanted, placement const& chosen,
                             time_point now)
{
    ticket held;
    auto& record = record_of(chosen.backend_server);
    held.backend_server = chosen.backend_server;
    held.service = wanted.service;
    held.start = record.start;
    held.sent = now;
    held.expected_first_event = chosen.expected_first_event;
    if (wanted.asked) {
        auto const& asked = *wanted.asked;
        held.prefill_tokens = static_cast<double>(
            asked.tokens - std::min(asked.tokens, chosen.cached_tokens +
                                                      chosen.copied_tokens));
        held.memory_tokens = static_cast<double>(asked.tokens) -
                             chosen.cached_tokens + asked.output_tokens;
        held.sensitivity = wanted.sensitivity;
        auto const disturbing =
            held.prefill_tokens * disturbance(held.prefill_tokens);
        record.own.reading_share =
            reading_share(record, now) +
            disturbing / tokens_per_ms / reading_memory.count();
        record.reading_updated = now;
        auto const* const service =
            table_ ? table_->find_service(wanted.service) : nullptr;
        if (service != nullptr && service->model) {
            record.parts.set_capacity(service->model->memory_tokens);
        }
        auto const wait = std::chrono::duration_cast<duration>(
            milliseconds{chosen.expected_first_event * slower_than_expected});
        record.parts.note(asked, now + wait, now);
    }
    record.own.in_flight += 1;
    record.own.prefill_tokens += held.prefill_tokens;
    record.own.memory_tokens += held.memory_tokens;
    record.own.sensitive += held.sensitivity;
    return held;
}

void dispatcher::note_answer(ticket& held, time_point now)
{
    auto const found = records_.find(held.backend_server);
    if (std::exchange(held.answered, true) || found == records_.end() ||
        found->second.start != held.start) {
        return;
    }
    auto& record = found->second;
    record.state.on_alive();
    record.own.prefill_tokens -= held.prefill_tokens;
    auto const took = milliseconds{now - held.sent}.count();
    if (held.memory_tokens > 0) {
        estimates_[held.service].note(milliseconds{held.expected_first_event},
                                      now - held.sent);
        auto const expected = held.expected_first_event / record.slowness;
        auto const factor = std::clamp(took / std::max(expected, 1.0),
                                       least_slowness, most_slowness);
        record.slowness += slowness_weight * (factor - record.slowness);
    } else {
        record.latency_ms += latency_weight * (took - record.latency_ms);
    }
}

void dispatcher::note_end(ticket const& held, send_outcome outcome,
                          time_point now)
{
    auto const found = records_.find(held.backend_server);
    if (found == records_.end() || found->second.start != held.start) {
        return;
    }
    auto& record = found->second;
    record.own.in_flight -= 1;
    record.own.memory_tokens -= held.memory_tokens;
    record.own.sensitive -= held.sensitivity;
    if (!held.answered) {
        record.own.prefill_tokens -= held.prefill_tokens;
        estimates_[held.service].note_at_least(
            milliseconds{held.expected_first_event}, now - held.sent);
        auto const took = milliseconds{now - held.sent}.count();
        if (held.memory_tokens <= 0 && took > record.latency_ms) {
            record.latency_ms += latency_weight * (took - record.latency_ms);
        }
    }
    if (outcome == send_outcome::good || outcome == send_outcome::failed ||
        outcome == send_outcome::turned_away) {
        record.state.on_outcome(outcome == send_outcome::good);
    }
}

void dispatcher::note_report(std::string_view id, reported_load const& load,
                             time_point now)
{
    auto const found = records_.find(id);
    if (found != records_.end()) {
        found->second.report = load;
        found->second.reported = now;
    }
}

bool dispatcher::note_leaving(std::string_view id, time_point now)
{
    auto const found = records_.find(id);
    if (found == records_.end()) {
        return false;
    }
    found->second.said_leaving = now;
    return !std::exchange(found->second.leaving, true);
}

bool dispatcher::merge_leaving(leaving_note const& note)
{
    auto const* const entry = find(note.backend_server);
    auto const found = records_.find(note.backend_server);
    if (entry == nullptr || found == records_.end() ||
        entry->started_unix_ms != note.started_unix_ms) {
        return false;
    }
    return !std::exchange(found->second.leaving, true);
}

std::vector<leaving_note> dispatcher::leaving_since(time_point since) const
{
    std::vector<leaving_note> notes;
    for (auto const& [id, record] : records_) {
        if (record.said_leaving <= since) {
            continue;
        }
        if (auto const* const entry = find(id)) {
            notes.push_back({id, entry->started_unix_ms});
        }
    }
    return notes;
}

bool dispatcher::is_leaving(std::string_view id) const
{
    auto const* const record = find_record(id);
    return record != nullptr && record->leaving;
}

void dispatcher::note_pause(std::string_view id, duration wanted,
                            time_point now)
{
    auto const found = records_.find(id);
    if (found != records_.end()) {
        found->second.pause.note(wanted, now);
    }
}

duration dispatcher::pause_left(std::string_view service, time_point now) const
{
    std::optional<duration> least;
    for (auto const& [id, belief] : list_.all()) {
        auto const* const record = find_record(id);
        if (belief.entry.service == service && !belief.entry.draining &&
            record != nullptr && !record->leaving) {
            auto const left = record->pause.left(now);
            least = std::min(left, least.value_or(left));
        }
    }
    return least.value_or(duration::zero());
}

server_health* dispatcher::health_of(std::string_view id)
{
    auto const found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second.state;
}

health dispatcher::state_of(std::string_view id) const
{
    auto const* const record = find_record(id);
    return record == nullptr ? health::down : record->state.state();
}

server_load dispatcher::load_of(std::string_view id, time_point now) const
{
    auto const* const record = find_record(id);
    return record == nullptr ? server_load{} : total_load(*record, now);
}

std::vector<backend_server_entry> dispatcher::due_probes(time_point now)
{
    std::vector<backend_server_entry> due;
    for (auto& [id, record] : records_) {
        if (record.state.state() == health::up) {
            continue;
        }
        auto const* const entry = find(id);
        auto const wanted =
            !record.leaving && record.pause.left(now) == duration::zero();
        if (entry != nullptr && !entry->draining && wanted &&
            record.state.take_probe(now)) {
            due.push_back(*entry);
        }
    }
    return due;
}

backend_server_entry const* dispatcher::find(std::string_view id) const
{
    auto const found = list_.all().find(id);
    return found == list_.all().end() ? nullptr : &found->second.entry;
}

void dispatcher::merge_loads(std::string const& daemon,
                             std::vector<load_note> const& notes,
                             time_point now)
{
    auto& told = told_loads_[daemon];
    for (auto const& id : told) {
        if (auto const found = records_.find(id); found != records_.end()) {
            found->second.peers.erase(daemon);
        }
    }
    told.clear();
    for (auto const& note : notes) {
        auto const found = records_.find(note.backend_server);
        if (found != records_.end()) {
            found->second.peers[daemon] = {note.load, now};
            told.push_back(note.backend_server);
        }
    }
    if (told.empty()) {
        told_loads_.erase(daemon);
    }
}

void dispatcher::merge_prompt(std::string_view id, prompt const& sent,
                              time_point now)
{
    auto const found = records_.find(id);
    if (found != records_.end()) {
        found->second.parts.note(sent, now + peer_reading, now);
    }
}

std::vector<kept_parts> dispatcher::parts_used_since(time_point since) const
{
    std::vector<kept_parts> found;
    for (auto const& [id, record] : records_) {
        auto parts = record.parts.used_since(since);
        if (!parts.empty()) {
            found.push_back({id, std::move(parts)});
        }
    }
    return found;
}

void dispatcher::merge_parts(kept_parts const& kept, time_point now)
{
    auto const found = records_.find(kept.backend_server);
    if (found != records_.end()) {
        prompt known;
        known.parts = kept.parts;
        found->second.parts.note(known, now, now);
    }
}

std::vector<load_note> dispatcher::own_loads(time_point now) const
{
    std::vector<load_note> notes;
    for (auto const& [id, record] : records_) {
        if (record.own.in_flight > 0) {
            auto load = record.own;
            load.reading_share = reading_share(record, now);
            notes.push_back({id, load});
        }
    }
    return notes;
}

void dispatcher::note_request(std::string const& service, time_point now)
{
    retries_[service].note_request(now);
}

bool dispatcher::try_retry(std::string const& service, std::size_t daemons,
                           time_point now)
{
    return retries_[service].try_draw(settings_.retries, daemons, now);
}

} // namespace medlarstall::dispatch
