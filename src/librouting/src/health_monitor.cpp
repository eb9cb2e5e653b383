#include <medlarstall/routing/health_monitor.hpp>

#include <algorithm>
#include <cmath>

namespace medlarstall::routing {

namespace {

bool is_unhealthy(health_state state)
{
    return state != health_state::healthy;
}

/// Returns the lower median of all values except one.
/// \param sorted two or more values in ascending order
/// \param own the value that is left out; it must be one of them
double median_of_others(std::vector<double> const& sorted, double own)
{
    auto const middle = (sorted.size() - 2) / 2;
    return own <= sorted[middle] ? sorted[middle + 1] : sorted[middle];
}

} // namespace

void health_monitor::recent_mean::advance(time_point now,
                                          std::chrono::milliseconds bucket)
{
    if (now - bucket_start < bucket) {
        return;
    }
    bool const is_adjacent = now - bucket_start < 2 * bucket;
    previous_sum = is_adjacent ? sum : 0;
    previous_count = is_adjacent ? count : 0;
    sum = 0;
    count = 0;
    bucket_start = now;
}

void health_monitor::recent_mean::add(double sample)
{
    sum += sample;
    ++count;
}

std::uint32_t health_monitor::recent_mean::sample_count() const
{
    return count + previous_count;
}

double health_monitor::recent_mean::mean() const
{
    return (sum + previous_sum) / sample_count();
}

health_monitor::health_monitor(health_settings settings) : settings_{settings}
{}

health_monitor::monitored_server*
health_monitor::find(std::string_view backend_server)
{
    auto const found = servers_.find(backend_server);
    return found == servers_.end() ? nullptr : &found->second;
}

void health_monitor::add(std::string_view backend_server,
                         std::string_view group)
{
    auto& entry = servers_[std::string{backend_server}];
    if (entry.group != group) {
        entry = monitored_server{};
        entry.group = group;
    }
}

void health_monitor::remove(std::string_view backend_server)
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
            static_cast<double>(settings_.base_first_token_time.count()) +
            uncached_tokens / settings_.prefill_tokens_per_ms};
        entry->first_token_time.advance(now, settings_.bucket_duration);
        entry->first_token_time.add(time / expected);
        entry->last_sample_at = now;
    }
}

void health_monitor::record_token_gap(std::string_view backend_server,
                                      std::chrono::microseconds time,
                                      time_point now)
{
    if (auto* entry = find(backend_server)) {
        entry->token_gap.advance(now, settings_.bucket_duration);
        entry->token_gap.add(static_cast<double>(time.count()));
        entry->last_sample_at = now;
    }
}

void health_monitor::record_success(std::string_view backend_server)
{
    if (auto* entry = find(backend_server)) {
        entry->consecutive_failures = 0;
        entry->succeeded_since_probe = true;
    }
}

void health_monitor::record_failure(std::string_view backend_server,
                                    failure_kind kind)
{
    if (auto* entry = find(backend_server)) {
        entry->consecutive_failures +=
            kind == failure_kind::unreachable ? settings_.ejection_failures : 1;
        entry->succeeded_since_probe = false;
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
        entry.second.first_token_time.advance(now, settings_.bucket_duration);
        entry.second.token_gap.advance(now, settings_.bucket_duration);
        entry.second.slowdown = 1.0;
        groups[entry.second.group].push_back(&entry);
    }
    std::vector<health_change> changes;
    for (auto const& [name, members] : groups) {
        update_slowdowns(members, &monitored_server::first_token_time);
        update_slowdowns(members, &monitored_server::token_gap);
        evaluate_group(members, now, changes);
    }
    return changes;
}

void health_monitor::update_slowdowns(
    group_members const& members, recent_mean monitored_server::* metric) const
{
    std::vector<double> sorted_means;
    for (auto const* member : members) {
        auto const& value = member->second.*metric;
        if (value.sample_count() >= settings_.min_samples) {
            sorted_means.push_back(value.mean());
        }
    }
    if (sorted_means.size() <
        std::max<std::size_t>(2, settings_.min_siblings + 1)) {
        return;
    }
    std::ranges::sort(sorted_means);
    for (auto* member : members) {
        auto& own = member->second.*metric;
        if (own.sample_count() < settings_.min_samples) {
            continue;
        }
        double const others = median_of_others(sorted_means, own.mean());
        double const ratio = own.mean() / std::max(1e-9, others);
        member->second.slowdown = std::max(member->second.slowdown, ratio);
    }
}

std::size_t health_monitor::max_unhealthy_members(std::size_t members) const
{
    if (members < 2) {
        return 0;
    }
    auto const limit = std::floor(settings_.max_unhealthy_fraction *
                                  static_cast<double>(members));
    return std::max<std::size_t>(1, static_cast<std::size_t>(limit));
}

void health_monitor::evaluate_group(group_members const& members,
                                    time_point now,
                                    std::vector<health_change>& changes) const
{
    group_members worst_first = members;
    std::ranges::stable_sort(
        worst_first, [](auto const* left, auto const* right) {
            auto const& a = left->second;
            auto const& b = right->second;
            return std::pair{a.consecutive_failures, a.slowdown} >
                   std::pair{b.consecutive_failures, b.slowdown};
        });
    auto unhealthy = static_cast<std::size_t>(
        std::ranges::count_if(worst_first, [](auto const* member) {
            return is_unhealthy(member->second.state);
        }));
    for (auto* member : worst_first) {
        auto& entry = member->second;
        auto const from = entry.state;
        auto const to = next_state(entry, now);
        bool const becomes_unhealthy =
            to && !is_unhealthy(from) && is_unhealthy(*to);
        if (!to || (becomes_unhealthy &&
                    unhealthy >= max_unhealthy_members(members.size()))) {
            continue;
        }
        unhealthy += becomes_unhealthy ? 1 : 0;
        unhealthy -= is_unhealthy(from) && !is_unhealthy(*to) ? 1 : 0;
        enter_state(entry, *to, now);
        changes.push_back({member->first, from, *to, entry.slowdown});
    }
}

std::optional<health_state>
health_monitor::next_state(monitored_server const& entry, time_point now) const
{
    bool const must_be_ejected =
        entry.consecutive_failures >= settings_.ejection_failures;
    switch (entry.state) {
    case health_state::healthy:
        if (must_be_ejected) {
            return health_state::ejected;
        }
        if (entry.slowdown >= settings_.demote_ratio) {
            return health_state::demoted;
        }
        return std::nullopt;
    case health_state::demoted:
        return must_be_ejected ? health_state::ejected
                               : next_state_if_demoted(entry, now);
    case health_state::ejected:
        if (now - entry.state_since >= ejection_time(entry)) {
            return health_state::probing;
        }
        return std::nullopt;
    case health_state::probing:
        return next_state_if_probing(entry, now);
    }
    return std::nullopt;
}

std::optional<health_state>
health_monitor::next_state_if_demoted(monitored_server const& entry,
                                      time_point now) const
{
    bool const is_idle =
        now - entry.last_sample_at >= settings_.idle_recovery_time;
    bool const has_samples =
        entry.token_gap.sample_count() >= settings_.min_samples ||
        entry.first_token_time.sample_count() >= settings_.min_samples;
    if (is_idle || (has_samples && entry.slowdown < settings_.recovery_ratio)) {
        return health_state::healthy;
    }
    return std::nullopt;
}

std::optional<health_state>
health_monitor::next_state_if_probing(monitored_server const& entry,
                                      time_point now) const
{
    if (entry.succeeded_since_probe) {
        return health_state::healthy;
    }
    if (entry.consecutive_failures > 0) {
        return health_state::ejected;
    }
    if (now - entry.state_since >= settings_.probe_timeout) {
        return health_state::probing;
    }
    return std::nullopt;
}

std::chrono::milliseconds
health_monitor::ejection_time(monitored_server const& entry) const
{
    auto time = settings_.initial_ejection_time;
    for (std::uint32_t i = 1;
         i < entry.consecutive_ejections && time < settings_.max_ejection_time;
         ++i) {
        time *= 2;
    }
    return std::min(time, settings_.max_ejection_time);
}

void health_monitor::enter_state(monitored_server& entry, health_state state,
                                 time_point now) const
{
    bool const recovered_long_ago =
        now - entry.last_recovery_at >= 2 * settings_.max_ejection_time;
    if (state == health_state::ejected) {
        bool const first =
            entry.state != health_state::probing && recovered_long_ago;
        entry.consecutive_ejections =
            first ? 1 : entry.consecutive_ejections + 1;
    }
    if (state == health_state::probing) {
        entry.consecutive_failures = 0;
        entry.succeeded_since_probe = false;
    }
    if (entry.state == health_state::probing &&
        state == health_state::healthy) {
        entry.last_recovery_at = now;
    }
    entry.state = state;
    entry.state_since = now;
}

} // namespace medlarstall::routing
