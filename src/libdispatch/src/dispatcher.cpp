#include <medlarstall/dispatch/dispatcher.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace medlarstall::dispatch {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::chrono::milliseconds peer_load_lifetime{1500};
constexpr std::chrono::milliseconds report_lifetime{1000};
/// Time over which the reading of long prompts is averaged.
constexpr milliseconds reading_memory{2000.0};
/// Shortest part of a prompt that is worth copying.
constexpr std::uint32_t least_copied = 1000;
constexpr double slower_than_expected = 1.3;
/// Until parts that another daemon has sent are taken as read.
constexpr std::chrono::milliseconds peer_reading{1000};
constexpr double slowness_weight = 0.15;
constexpr double latency_weight = 0.2;
constexpr double least_slowness = 0.3;
constexpr double most_slowness = 12.0;
constexpr double tolerated_failures = 0.1; ///< Above the siblings' mean.

/// Mixes two numbers into one that looks random.
std::uint64_t mix(std::uint64_t left, std::uint64_t right)
{
    auto value = left ^ (right * 0x9e3779b97f4a7c15ULL);
    value ^= value >> 31U;
    value *= 0xbf58476d1ce4e5b9ULL;
    return value ^ (value >> 29U);
}

/// \return 0 to 1, the same at all daemons
double fraction(std::uint64_t value)
{
    constexpr double range = 18446744073709551616.0;
    return static_cast<double>(value) / range;
}

} // namespace

dispatcher::dispatcher(dispatcher_settings settings)
    : settings_{std::move(settings)}
{}

void dispatcher::set_settings(dispatcher_settings settings)
{
    settings_ = std::move(settings);
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
        records_.erase(std::string{id});
    }
    return change;
}

void dispatcher::set_list_reachable(bool reachable, time_point now)
{
    list_.set_reachable(reachable, now);
}

void dispatcher::expire(time_point now,
                        std::function<void(std::string const&)> const& dropped)
{
    list_.expire(now, [&](std::string const& id) {
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

/// Finds how often sends fail, who keeps the prompt, and the order of homes for
/// one that nobody keeps.
dispatcher::comparison dispatcher::compare(work const& wanted, health worst,
                                           time_point now) const
{
    comparison view;
    view.mean_failures = mean_failures(wanted.service);
    if (!wanted.asked || wanted.asked->parts.empty()) {
        return view;
    }
    auto const first = wanted.asked->parts.front().id;
    std::vector<std::pair<std::uint64_t, std::string_view>> homes;
    for (auto const& [id, belief] : list_.all()) {
        if (!may_use(belief, wanted, worst)) {
            continue;
        }
        auto const cached = find_record(id)->parts.cached_tokens(*wanted.asked);
        view.most_cached = std::max(view.most_cached, cached);
        auto const ready =
            find_record(id)->parts.ready_tokens(*wanted.asked, now);
        if (ready > view.most_ready) {
            view.most_ready = ready;
            view.holder = belief.entry.address;
        }
        homes.emplace_back(mix(first, std::hash<std::string>{}(id)), id);
    }
    std::ranges::sort(homes, std::greater<>{});
    for (std::size_t rank = 0; rank < homes.size(); ++rank) {
        view.home_ranks[homes[rank].second] = rank;
    }
    return view;
}

double dispatcher::mean_failures(std::string_view service) const
{
    double sum = 0;
    double count = 0;
    for (auto const& [id, belief] : list_.all()) {
        auto const* const record = find_record(id);
        if (belief.entry.service == service && record != nullptr) {
            sum += record->state.failure_share();
            count += 1;
        }
    }
    return count > 0 ? sum / count : 0.0;
}

/// Notes what a backend server can copy of the prompt from the holder.
void dispatcher::copy_where_possible(candidate& judged,
                                     comparison const& others,
                                     routes::service const* service)
{
    auto const able = service != nullptr && service->model &&
                      service->model->bytes_per_token > 0 &&
                      service->model->link_mbps > 0;
    auto const more = others.most_ready > judged.cached_tokens
                          ? others.most_ready - judged.cached_tokens
                          : 0;
    if (!able || more < least_copied) {
        return;
    }
    constexpr double bits_per_mbit = 1e6;
    constexpr double bits_per_byte = 8.0;
    constexpr double ms_per_s = 1e3;
    judged.copied_tokens = more;
    judged.copy_tokens_per_ms =
        service->model->link_mbps * bits_per_mbit /
        (service->model->bytes_per_token * bits_per_byte * ms_per_s);
}

candidate dispatcher::judge(listed_servers::belief const& belief,
                            server_record const& record, work const& wanted,
                            comparison const& others, time_point now) const
{
    candidate judged;
    judged.load = total_load(record, now);
    judged.slots = std::max(belief.entry.slots, 1U);
    judged.slowness = record.slowness;
    judged.latency_ms = record.latency_ms;
    judged.other_data_centre =
        belief.entry.data_centre != settings_.data_centre;
    judged.excess_failures =
        std::max(0.0, record.state.failure_share() - others.mean_failures -
                          tolerated_failures);
    auto const* const service =
        table_ ? table_->find_service(wanted.service) : nullptr;
    if (service != nullptr && service->model) {
        judged.memory_tokens = service->model->memory_tokens;
    }
    if (wanted.asked && !wanted.asked->parts.empty()) {
        judged.cached_tokens = record.parts.cached_tokens(*wanted.asked);
        judged.cached_elsewhere = others.most_cached > judged.cached_tokens;
        copy_where_possible(judged, others, service);
        judged.home_rank = others.home_ranks.at(belief.entry.id);
    }
    return judged;
}

bool dispatcher::may_use(listed_servers::belief const& belief,
                         work const& wanted, health worst) const
{
    auto const& entry = belief.entry;
    if (entry.service != wanted.service || entry.draining) {
        return false;
    }
    auto const* const record = find_record(entry.id);
    if (record == nullptr || record->state.state() > worst) {
        return false;
    }
    return std::ranges::find(wanted.excluded, entry.id) ==
           wanted.excluded.end();
}

std::optional<placement>
dispatcher::choose_among(work const& wanted, health worst, time_point now) const
{
    std::optional<placement> best;
    std::size_t candidates = 0;
    auto const others = compare(wanted, worst, now);
    for (auto const& [id, belief] : list_.all()) {
        if (!may_use(belief, wanted, worst)) {
            continue;
        }
        ++candidates;
        auto const& record = *find_record(id);
        auto const judged = judge(belief, record, wanted, others, now);
        auto const cost = wanted.asked ? prompt_cost(judged, *wanted.asked,
                                                     wanted.sensitivity)
                                       : plain_cost(judged);
        auto const salt = mix(wanted.hash, std::hash<std::string>{}(id));
        constexpr cost_ms tie_width = 3.0;
        auto const jittered = cost + fraction(salt) * tie_width;
        if (best && best->cost <= jittered) {
            continue;
        }
        best = placement{
            id,
            belief.entry.address,
            0,
            jittered,
            wanted.asked ? expected_first_event(judged, *wanted.asked) : cost,
            judged.cached_tokens,
            judged.copied_tokens,
            judged.copied_tokens > 0 ? others.holder : "",
            judged.load.in_flight,
            record.state.state(),
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now - belief.updated)};
    }
    if (best) {
        best->candidates = candidates;
    }
    return best;
}

std::optional<placement> dispatcher::choose(work const& wanted,
                                            time_point now) const
{
    for (auto const worst : {health::up, health::suspect, health::down}) {
        if (auto found = choose_among(wanted, worst, now)) {
            return found;
        }
    }
    return std::nullopt;
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
        auto const* const entry = find(id);
        if (entry != nullptr && !entry->draining &&
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
    for (auto& [id, record] : records_) {
        record.peers.erase(daemon);
    }
    for (auto const& note : notes) {
        auto const found = records_.find(note.backend_server);
        if (found != records_.end()) {
            found->second.peers[daemon] = {note.load, now};
        }
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
