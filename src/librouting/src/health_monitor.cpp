#include <medlarstall/routing/health_monitor.hpp>

#include <algorithm>
#include <cmath>

namespace medlarstall::routing {

namespace {

bool is_out(health_state state)
{
    return state != health_state::healthy;
}

/// \return the lower median of all values but one
/// \param sorted two or more values in ascending order
/// \param own one of them
double median_of_others(std::vector<double> const& sorted, double own)
{
    auto const middle = (sorted.size() - 2) / 2;
    return own <= sorted[middle] ? sorted[middle + 1] : sorted[middle];
}

} // namespace

void health_monitor::meter::roll(time_point now,
                                 std::chrono::milliseconds bucket)
{
    if (now - begin < bucket) {
        return;
    }
    bool const fresh = now - begin < 2 * bucket;
    last_sum = fresh ? sum : 0;
    last_count = fresh ? count : 0;
    sum = 0;
    count = 0;
    begin = now;
}

void health_monitor::meter::add(double sample)
{
    sum += sample;
    ++count;
}

std::uint32_t health_monitor::meter::samples() const
{
    return count + last_count;
}

double health_monitor::meter::mean() const
{
    return (sum + last_sum) / samples();
}

health_monitor::health_monitor(health_settings settings) : settings_{settings}
{}

health_monitor::server* health_monitor::find(std::string_view backend_server)
{
    auto const found = servers_.find(backend_server);
    return found == servers_.end() ? nullptr : &found->second;
}

void health_monitor::add(std::string_view backend_server,
                         std::string_view group)
{
    auto& entry = servers_[std::string{backend_server}];
    if (entry.group != group) {
        entry = server{};
        entry.group = group;
    }
}

void health_monitor::forget(std::string_view backend_server)
{
    auto const found = servers_.find(backend_server);
    if (found != servers_.end()) {
        servers_.erase(found);
    }
}

void health_monitor::record_first_token(std::string_view backend_server,
                                        std::chrono::microseconds time,
                                        std::uint32_t uncached_tokens,
                                        time_point now)
{
    if (auto* entry = find(backend_server)) {
        auto const expected = std::chrono::duration<double, std::milli>{
            static_cast<double>(settings_.prefill_base.count()) +
            uncached_tokens / settings_.prefill_tokens_per_ms};
        entry->first_token.roll(now, settings_.bucket);
        entry->first_token.add(time / expected);
        entry->last_sample = now;
    }
}

void health_monitor::record_token_gap(std::string_view backend_server,
                                      std::chrono::microseconds time,
                                      time_point now)
{
    if (auto* entry = find(backend_server)) {
        entry->between_tokens.roll(now, settings_.bucket);
        entry->between_tokens.add(static_cast<double>(time.count()));
        entry->last_sample = now;
    }
}

void health_monitor::record_success(std::string_view backend_server)
{
    if (auto* entry = find(backend_server)) {
        entry->failures = 0;
        entry->succeeded = true;
    }
}

void health_monitor::record_failure(std::string_view backend_server,
                                    failure_kind kind)
{
    if (auto* entry = find(backend_server)) {
        entry->failures +=
            kind == failure_kind::unreachable ? settings_.failures : 1;
        entry->succeeded = false;
    }
}

health_state health_monitor::state_of(std::string_view backend_server) const
{
    auto const found = servers_.find(backend_server);
    return found == servers_.end() ? health_state::healthy
                                   : found->second.state;
}

std::vector<health_change> health_monitor::evaluate(time_point now)
{
    std::map<std::string_view, group_members> groups;
    for (auto& entry : servers_) {
        entry.second.first_token.roll(now, settings_.bucket);
        entry.second.between_tokens.roll(now, settings_.bucket);
        entry.second.slowdown = 1.0;
        groups[entry.second.group].push_back(&entry);
    }
    std::vector<health_change> changes;
    for (auto const& [name, members] : groups) {
        compare(members, &server::first_token);
        compare(members, &server::between_tokens);
        evaluate_group(members, now, changes);
    }
    return changes;
}

void health_monitor::compare(group_members const& members,
                             meter server::* meter) const
{
    std::vector<double> means;
    for (auto const* member : members) {
        auto const& value = member->second.*meter;
        if (value.samples() >= settings_.least_samples) {
            means.push_back(value.mean());
        }
    }
    if (means.size() < std::max<std::size_t>(2, settings_.least_siblings + 1)) {
        return;
    }
    std::ranges::sort(means);
    for (auto* member : members) {
        auto& own = member->second.*meter;
        if (own.samples() < settings_.least_samples) {
            continue;
        }
        double const others = median_of_others(means, own.mean());
        double const ratio = own.mean() / std::max(1e-9, others);
        member->second.slowdown = std::max(member->second.slowdown, ratio);
    }
}

std::size_t health_monitor::allowed_out(std::size_t members) const
{
    if (members < 2) {
        return 0;
    }
    auto const part =
        std::floor(settings_.largest_part * static_cast<double>(members));
    return std::max<std::size_t>(1, static_cast<std::size_t>(part));
}

void health_monitor::evaluate_group(group_members const& members,
                                    time_point now,
                                    std::vector<health_change>& changes) const
{
    group_members order = members;
    std::ranges::stable_sort(order, [](auto const* left, auto const* right) {
        auto const& a = left->second;
        auto const& b = right->second;
        return std::pair{a.failures, a.slowdown} >
               std::pair{b.failures, b.slowdown};
    });
    auto out = static_cast<std::size_t>(std::ranges::count_if(
        order, [](auto const* m) { return is_out(m->second.state); }));
    for (auto* member : order) {
        auto& entry = member->second;
        auto const from = entry.state;
        auto const to = next_state(entry, now);
        bool const leaves = to && !is_out(from) && is_out(*to);
        if (!to || (leaves && out >= allowed_out(members.size()))) {
            continue;
        }
        out += leaves ? 1 : 0;
        out -= is_out(from) && !is_out(*to) ? 1 : 0;
        enter(entry, *to, now);
        changes.push_back({member->first, from, *to, entry.slowdown});
    }
}

std::optional<health_state> health_monitor::next_state(server const& entry,
                                                       time_point now) const
{
    bool const failing = entry.failures >= settings_.failures;
    switch (entry.state) {
    case health_state::healthy:
        if (failing) {
            return health_state::ejected;
        }
        if (entry.slowdown >= settings_.demote_ratio) {
            return health_state::demoted;
        }
        return std::nullopt;
    case health_state::demoted:
        return failing ? health_state::ejected : next_of_demoted(entry, now);
    case health_state::ejected:
        if (now - entry.since >= ejection_time(entry)) {
            return health_state::probing;
        }
        return std::nullopt;
    case health_state::probing:
        return next_of_probing(entry, now);
    }
    return std::nullopt;
}

std::optional<health_state>
health_monitor::next_of_demoted(server const& entry, time_point now) const
{
    bool const quiet = now - entry.last_sample >= settings_.quiet_return;
    bool const measured =
        entry.between_tokens.samples() >= settings_.least_samples ||
        entry.first_token.samples() >= settings_.least_samples;
    if (quiet || (measured && entry.slowdown < settings_.return_ratio)) {
        return health_state::healthy;
    }
    return std::nullopt;
}

std::optional<health_state>
health_monitor::next_of_probing(server const& entry, time_point now) const
{
    if (entry.succeeded) {
        return health_state::healthy;
    }
    if (entry.failures > 0) {
        return health_state::ejected;
    }
    if (now - entry.since >= settings_.probe_timeout) {
        return health_state::probing;
    }
    return std::nullopt;
}

std::chrono::milliseconds
health_monitor::ejection_time(server const& entry) const
{
    auto time = settings_.first_ejection;
    for (std::uint32_t i = 1;
         i < entry.ejections && time < settings_.longest_ejection; ++i) {
        time *= 2;
    }
    return std::min(time, settings_.longest_ejection);
}

void health_monitor::enter(server& entry, health_state state,
                           time_point now) const
{
    bool const returned_long_ago =
        now - entry.last_return >= 2 * settings_.longest_ejection;
    if (state == health_state::ejected) {
        bool const first =
            entry.state != health_state::probing && returned_long_ago;
        entry.ejections = first ? 1 : entry.ejections + 1;
    }
    if (state == health_state::probing) {
        entry.failures = 0;
        entry.succeeded = false;
    }
    if (entry.state == health_state::probing &&
        state == health_state::healthy) {
        entry.last_return = now;
    }
    entry.state = state;
    entry.since = now;
}

} // namespace medlarstall::routing
