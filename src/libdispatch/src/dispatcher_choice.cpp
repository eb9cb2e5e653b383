// The part of the dispatcher that compares the backend servers for a request.

#include <medlarstall/dispatch/dispatcher.hpp>

#include "unit_fraction.hpp"

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace medlarstall::dispatch {

namespace {

/// Number of prompt tokens from which on a copy is worth its cost.
constexpr std::uint32_t min_copied_tokens = 1000;
/// Share of failures above the mean of the service that is not penalised.
constexpr double tolerated_failures = 0.1;
/// Number of backend servers that are preferred for a new prompt.
constexpr std::size_t max_preferred_servers = 3;

/// Hashes two numbers into one that looks random.
/// \param left first number
/// \param right second number
/// \return the same hash at all daemons
std::uint64_t mix_hashes(std::uint64_t left, std::uint64_t right)
{
    auto value = left ^ (right * 0x9e3779b97f4a7c15ULL);
    value ^= value >> 31U;
    value *= 0xbf58476d1ce4e5b9ULL;
    return value ^ (value >> 29U);
}

} // namespace

/// Divides the backend servers of each service among the cells of the fleet,
/// unless the present division is still valid.
void dispatcher::assign_servers_to_cell()
{
    if (std::exchange(cell_assignment_valid_, true)) {
        return;
    }
    services_.clear();
    std::map<std::string, std::vector<std::string>> ids;
    for (auto const& [id, listing] : server_list_.all()) {
        ids[listing.entry.service].push_back(id);
    }
    for (auto& [service, all] : ids) {
        auto in_cell = names_in_cell(all, service_cell(cell_, all.size()));
        std::ranges::sort(in_cell);
        auto& servers = services_[service];
        for (auto const& id : all) {
            auto const record = records_.find(id);
            auto const listing = server_list_.all().find(id);
            if (record == records_.end()) {
                continue;
            }
            known_server const known{&listing->second, &record->second,
                                     hash64(id)};
            servers.all.push_back(known);
            if (std::ranges::binary_search(in_cell, id)) {
                servers.in_cell.push_back(known);
            }
        }
    }
}

/// Finds the mean share of failures, the backend servers that have most of the
/// prompt in their cache, and the preferred ones for a prompt that none has.
/// The preference is by rendezvous hashing of the first part.
dispatcher::comparison dispatcher::compare(known_servers const& servers,
                                           placement_request const& request,
                                           health worst_health,
                                           time_point now) const
{
    comparison result;
    for (auto const& server : servers) {
        result.mean_failure_share +=
            server.record->health_tracker.failure_share() /
            static_cast<double>(servers.size());
    }
    if (!request.model_prompt || request.model_prompt->parts.empty()) {
        return result;
    }
    auto const first_part = request.model_prompt->parts.front().id;
    std::vector<std::pair<std::uint64_t, server_record const*>> ranked_servers;
    for (auto const& server : servers) {
        if (!is_eligible(server, request, worst_health, now)) {
            continue;
        }
        auto const& parts = server.record->cached_parts;
        result.max_cached_tokens =
            std::max(result.max_cached_tokens,
                     parts.cached_tokens(*request.model_prompt));
        auto const ready = parts.ready_tokens(*request.model_prompt, now);
        if (ready > result.max_ready_tokens) {
            result.max_ready_tokens = ready;
            result.copy_source_address = server.listing->entry.address;
        }
        ranked_servers.emplace_back(mix_hashes(first_part, server.id_hash),
                                    server.record);
    }
    auto const preferred_count =
        std::min(ranked_servers.size(), max_preferred_servers);
    std::ranges::partial_sort(ranked_servers,
                              ranked_servers.begin() +
                                  static_cast<long>(preferred_count),
                              std::greater<>{});
    for (std::size_t rank = 0; rank < preferred_count; ++rank) {
        result.preferred_servers.push_back(ranked_servers[rank].second);
    }
    return result;
}

/// Sets how many prompt tokens a backend server can copy from the one that has
/// most of them ready, and how fast. Sets nothing if the service does not
/// support copies or if the copy is too short to be worth its cost.
void dispatcher::set_copied_tokens(candidate& evaluated,
                                   comparison const& others,
                                   routes::service const* service)
{
    auto const can_copy = service != nullptr && service->model &&
                          service->model->bytes_per_token > 0 &&
                          service->model->link_mbps > 0;
    auto const missing_tokens =
        others.max_ready_tokens > evaluated.cached_tokens
            ? others.max_ready_tokens - evaluated.cached_tokens
            : 0;
    if (!can_copy || missing_tokens < min_copied_tokens) {
        return;
    }
    constexpr double bits_per_mbit = 1e6;
    constexpr double bits_per_byte = 8.0;
    constexpr double ms_per_s = 1e3;
    evaluated.copied_tokens = missing_tokens;
    evaluated.copy_tokens_per_ms =
        service->model->link_mbps * bits_per_mbit /
        (service->model->bytes_per_token * bits_per_byte * ms_per_s);
}

candidate dispatcher::evaluate(listed_servers::listing const& listing,
                               server_record const& record,
                               placement_request const& request,
                               comparison const& others, time_point now) const
{
    candidate evaluated;
    evaluated.load = total_load(record, now);
    evaluated.slots = std::max(listing.entry.slots, 1U);
    evaluated.slowness = record.slowness;
    evaluated.latency_ms = record.latency_ms;
    evaluated.other_data_centre =
        listing.entry.data_centre != settings_.data_centre;
    evaluated.excess_failures =
        std::max(0.0, record.health_tracker.failure_share() -
                          others.mean_failure_share - tolerated_failures);
    auto const* const service =
        route_table_ ? route_table_->find_service(request.service) : nullptr;
    if (service != nullptr && service->model) {
        evaluated.memory_capacity_tokens = service->model->memory_tokens;
    }
    if (request.model_prompt && !request.model_prompt->parts.empty()) {
        evaluated.cached_tokens =
            record.cached_parts.cached_tokens(*request.model_prompt);
        evaluated.longer_prefix_elsewhere =
            others.max_cached_tokens > evaluated.cached_tokens;
        set_copied_tokens(evaluated, others, service);
        evaluated.preference_rank = static_cast<std::size_t>(
            std::ranges::find(others.preferred_servers, &record) -
            others.preferred_servers.begin());
        if (evaluated.preference_rank == others.preferred_servers.size()) {
            evaluated.preference_rank = max_preferred_servers;
        }
    }
    apply_disabled_mechanisms(evaluated);
    return evaluated;
}

/// Resets the values of a candidate that belong to disabled mechanisms.
void dispatcher::apply_disabled_mechanisms(candidate& evaluated) const
{
    if (settings_.disabled_mechanisms.empty()) {
        return;
    }
    if (!is_enabled(mechanism::homes)) {
        evaluated.preference_rank = max_preferred_servers;
    }
    if (!is_enabled(mechanism::copies)) {
        evaluated.copied_tokens = 0;
    }
    if (!is_enabled(mechanism::affinity)) {
        evaluated.longer_prefix_elsewhere = false;
    }
    if (!is_enabled(mechanism::sensitivity)) {
        evaluated.load.pause_sensitivity_sum = 0;
        evaluated.load.long_prefill_share = 0;
    }
    if (!is_enabled(mechanism::slowness)) {
        evaluated.slowness = 1.0;
    }
    if (!is_enabled(mechanism::failures)) {
        evaluated.excess_failures = 0;
    }
    if (!is_enabled(mechanism::memory)) {
        evaluated.memory_capacity_tokens = 0;
    }
}

/// \return true if the request may be sent to a backend server as far as its
///     state tells, except for its rate limit
bool dispatcher::is_usable(known_server const& server,
                           placement_request const& request,
                           health worst_health, time_point now)
{
    auto const& entry = server.listing->entry;
    auto const& record = *server.record;
    // What several daemons cannot reach is tried last.
    auto const state = record.reports.is_doubted(now)
                           ? health::down
                           : record.health_tracker.state();
    auto const fits = !request.software_version ||
                      *request.software_version == entry.software_version;
    return fits && !entry.draining && !record.leaving &&
           state <= worst_health &&
           record.pause.admits(record.own_load.in_flight, now) &&
           std::ranges::find(request.excluded_servers, entry.id) ==
               request.excluded_servers.end();
}

bool dispatcher::is_eligible(known_server const& server,
                             placement_request const& request,
                             health worst_health, time_point now) const
{
    return is_usable(server, request, worst_health, now) &&
           may_send(server, request.urgency_share, now);
}

std::optional<placement>
dispatcher::choose_from(known_servers const& servers,
                        placement_request const& request, health worst_health,
                        time_point now) const
{
    std::optional<placement> best;
    std::size_t candidates = 0;
    std::size_t withheld = 0;
    double in_flight = 0;
    double slots = 0;
    auto const others = compare(servers, request, worst_health, now);
    for (auto const& server : servers) {
        if (!is_usable(server, request, worst_health, now)) {
            continue;
        }
        if (!may_send(server, request.urgency_share, now)) {
            ++withheld;
            continue;
        }
        ++candidates;
        auto const& listing = *server.listing;
        auto const& record = *server.record;
        auto const evaluated = evaluate(listing, record, request, others, now);
        in_flight += evaluated.load.in_flight;
        slots += evaluated.slots;
        auto const cost = request.model_prompt
                              ? prompt_cost(evaluated, *request.model_prompt,
                                            request.pause_sensitivity)
                              : plain_cost(evaluated);
        auto const tie_break =
            mix_hashes(request.tie_break_hash, server.id_hash);
        constexpr cost_ms tie_break_range = 3.0;
        auto const adjusted_cost =
            cost + unit_fraction(tie_break) * tie_break_range;
        if (best && best->cost <= adjusted_cost) {
            continue;
        }
        best = placement{
            listing.entry.id,
            listing.entry.address,
            listing.entry.software_version,
            listing.entry.started_unix_ms,
            0,
            0,
            adjusted_cost,
            request.model_prompt
                ? expected_first_event(evaluated, *request.model_prompt)
                : cost,
            1.0,
            0.0,
            evaluated.cached_tokens,
            evaluated.copied_tokens,
            evaluated.copied_tokens > 0 ? others.copy_source_address : "",
            evaluated.load.in_flight,
            record.health_tracker.state(),
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now - listing.updated_at)};
    }
    if (best) {
        best->candidate_count = candidates;
        best->withheld_count = withheld;
        best->load_per_slot = in_flight / slots;
    }
    return best;
}

std::optional<placement> dispatcher::choose(placement_request const& request,
                                            time_point now)
{
    assign_servers_to_cell();
    auto const found = services_.find(request.service);
    if (found == services_.end()) {
        return std::nullopt;
    }
    auto const& [all, in_cell] = found->second;
    for (auto const& server : all) {
        add_permits(server.listing->entry.id, *server.record, now);
        update_room(server.listing->entry, *server.record, now);
    }
    update_crowding(request.service, all, now);
    for (auto const worst_health :
         {health::up, health::suspect, health::down}) {
        if (worst_health == health::down && has_withheld(all, request, now)) {
            break; // Waiting for one of them is better than a server that is
                   // down.
        }
        for (auto const* const servers : {&in_cell, &all}) {
            if (auto chosen =
                    choose_from(*servers, request, worst_health, now)) {
                chosen->estimate_factor =
                    calibrations_[request.service].factor();
                return chosen;
            }
        }
    }
    note_crowding(request.service, now);
    return std::nullopt;
}

} // namespace medlarstall::dispatch
