// How a dispatcher compares the backend servers for a request.

#include <medlarstall/dispatch/dispatcher.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace medlarstall::dispatch {

namespace {

/// Shortest part of a prompt that is worth copying.
constexpr std::uint32_t least_copied = 1000;
constexpr double tolerated_failures = 0.1; ///< Above the siblings' mean.
/// Homes of a prompt that have an advantage.
constexpr std::size_t most_homes = 3;

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

/// Divides the backend servers of each service among the cells of the fleet.
void dispatcher::divide_servers()
{
    if (std::exchange(divided_, true)) {
        return;
    }
    services_.clear();
    std::map<std::string, std::vector<std::string>> ids;
    for (auto const& [id, belief] : list_.all()) {
        ids[belief.entry.service].push_back(id);
    }
    for (auto& [service, all] : ids) {
        auto own = part_of(all, cell_of_service(cell_, all.size()));
        std::ranges::sort(own);
        auto& divided = services_[service];
        for (auto const& id : all) {
            auto const record = records_.find(id);
            auto const belief = list_.all().find(id);
            if (record == records_.end()) {
                continue;
            }
            known_server const known{&belief->second, &record->second,
                                     hash64(id)};
            divided.all.push_back(known);
            if (std::ranges::binary_search(own, id)) {
                divided.in_cell.push_back(known);
            }
        }
    }
}

/// Finds how often sends fail, who keeps the prompt, and the first homes for
/// one that nobody keeps.
dispatcher::comparison dispatcher::compare(known_servers const& among,
                                           work const& wanted, health worst,
                                           time_point now)
{
    comparison view;
    for (auto const& server : among) {
        view.mean_failures += server.record->state.failure_share() /
                              static_cast<double>(among.size());
    }
    if (!wanted.asked || wanted.asked->parts.empty()) {
        return view;
    }
    auto const first = wanted.asked->parts.front().id;
    std::vector<std::pair<std::uint64_t, server_record const*>> homes;
    for (auto const& server : among) {
        if (!may_use(server, wanted, worst, now)) {
            continue;
        }
        auto const& parts = server.record->parts;
        view.most_cached =
            std::max(view.most_cached, parts.cached_tokens(*wanted.asked));
        auto const ready = parts.ready_tokens(*wanted.asked, now);
        if (ready > view.most_ready) {
            view.most_ready = ready;
            view.holder = server.belief->entry.address;
        }
        homes.emplace_back(mix(first, server.id_hash), server.record);
    }
    auto const few = std::min(homes.size(), most_homes);
    std::ranges::partial_sort(homes, homes.begin() + static_cast<long>(few),
                              std::greater<>{});
    for (std::size_t rank = 0; rank < few; ++rank) {
        view.homes.push_back(homes[rank].second);
    }
    return view;
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
        judged.home_rank = static_cast<std::size_t>(
            std::ranges::find(others.homes, &record) - others.homes.begin());
        if (judged.home_rank == others.homes.size()) {
            judged.home_rank = most_homes;
        }
    }
    leave_out(judged);
    return judged;
}

/// Forgets what the mechanisms that are left out would tell of a candidate.
void dispatcher::leave_out(candidate& judged) const
{
    if (settings_.without.empty()) {
        return;
    }
    if (!uses(mechanism::homes)) {
        judged.home_rank = most_homes;
    }
    if (!uses(mechanism::copies)) {
        judged.copied_tokens = 0;
    }
    if (!uses(mechanism::affinity)) {
        judged.cached_elsewhere = false;
    }
    if (!uses(mechanism::sensitivity)) {
        judged.load.sensitive = 0;
        judged.load.reading_share = 0;
    }
    if (!uses(mechanism::slowness)) {
        judged.slowness = 1.0;
    }
    if (!uses(mechanism::failures)) {
        judged.excess_failures = 0;
    }
    if (!uses(mechanism::memory)) {
        judged.memory_tokens = 0;
    }
}

bool dispatcher::may_use(known_server const& server, work const& wanted,
                         health worst, time_point now)
{
    auto const& entry = server.belief->entry;
    auto const& record = *server.record;
    return !entry.draining && !record.leaving &&
           record.state.state() <= worst &&
           record.pause.admits(record.own.in_flight, now) &&
           std::ranges::find(wanted.excluded, entry.id) ==
               wanted.excluded.end();
}

std::optional<placement> dispatcher::choose_among(known_servers const& among,
                                                  work const& wanted,
                                                  health worst,
                                                  time_point now) const
{
    std::optional<placement> best;
    std::size_t candidates = 0;
    double in_flight = 0;
    double slots = 0;
    auto const others = compare(among, wanted, worst, now);
    for (auto const& server : among) {
        if (!may_use(server, wanted, worst, now)) {
            continue;
        }
        ++candidates;
        auto const& belief = *server.belief;
        auto const& record = *server.record;
        auto const judged = judge(belief, record, wanted, others, now);
        in_flight += judged.load.in_flight;
        slots += judged.slots;
        auto const cost = wanted.asked ? prompt_cost(judged, *wanted.asked,
                                                     wanted.sensitivity)
                                       : plain_cost(judged);
        auto const salt = mix(wanted.hash, server.id_hash);
        constexpr cost_ms tie_width = 3.0;
        auto const jittered = cost + fraction(salt) * tie_width;
        if (best && best->cost <= jittered) {
            continue;
        }
        best = placement{
            belief.entry.id,
            belief.entry.address,
            0,
            jittered,
            wanted.asked ? expected_first_event(judged, *wanted.asked) : cost,
            1.0,
            0.0,
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
        best->mean_batches = in_flight / slots;
    }
    return best;
}

std::optional<placement> dispatcher::choose(work const& wanted, time_point now)
{
    divide_servers();
    auto const found = services_.find(wanted.service);
    if (found == services_.end()) {
        return std::nullopt;
    }
    auto const& [all, in_cell] = found->second;
    for (auto const worst : {health::up, health::suspect, health::down}) {
        for (auto const* const among : {&in_cell, &all}) {
            if (auto chosen = choose_among(*among, wanted, worst, now)) {
                chosen->estimate_factor = estimates_[wanted.service].factor();
                return chosen;
            }
        }
    }
    return std::nullopt;
}

} // namespace medlarstall::dispatch
