#include <medlarstall/routing/quarantine.hpp>

#include <algorithm>

namespace medlarstall::routing {

namespace {

std::chrono::milliseconds age_of(time_point since, time_point now)
{
    auto const age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - since);
    return std::max(age, std::chrono::milliseconds{0});
}

void remove_duplicates(std::vector<request_fingerprint>& fingerprints)
{
    std::ranges::sort(fingerprints);
    auto const duplicates = std::ranges::unique(fingerprints);
    fingerprints.erase(duplicates.begin(), duplicates.end());
}

} // namespace

bool quarantine::crash_entry::is_suspect(request_fingerprint fingerprint) const
{
    auto const found = requests.find(fingerprint);
    return found != requests.end() && !found->second.cleared;
}

std::size_t quarantine::crash_entry::suspect_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        requests, [](auto const& entry) { return !entry.second.cleared; }));
}

bool quarantine::crash_entry::identifies_cause(
    request_fingerprint fingerprint) const
{
    auto const found = requests.find(fingerprint);
    return found != requests.end() && found->second.suspected_at_start &&
           !found->second.cleared && suspect_count() == 1;
}

quarantine::quarantine(quarantine_settings settings) : settings_{settings} {}

std::vector<quarantine::crash_entry const*>
quarantine::active_crashes_of(request_fingerprint fingerprint,
                              time_point now) const
{
    std::vector<crash_entry const*> active;
    auto const found = crashes_by_request_.find(fingerprint);
    if (found == crashes_by_request_.end()) {
        return active;
    }
    for (auto const id : found->second) {
        auto const& entry = crashes_.at(id);
        if (entry.is_suspect(fingerprint) &&
            now - entry.crashed_at < settings_.crash_lifetime) {
            active.push_back(&entry);
        }
    }
    return active;
}

suspicion quarantine::suspicion_of(request_fingerprint fingerprint,
                                   time_point now) const
{
    auto const active = active_crashes_of(fingerprint, now);
    if (active.empty()) {
        return suspicion::none;
    }
    bool const cause_identified =
        std::ranges::any_of(active, [&](auto const* entry) {
            return entry->identifies_cause(fingerprint);
        });
    if (active.size() >= settings_.refused_threshold && cause_identified) {
        return suspicion::refused;
    }
    return active.size() >= settings_.exclusive_threshold ? suspicion::exclusive
                                                          : suspicion::isolated;
}

std::vector<std::string>
quarantine::crashed_backend_servers(request_fingerprint fingerprint) const
{
    std::vector<std::string> servers;
    auto const found = crashes_by_request_.find(fingerprint);
    if (found == crashes_by_request_.end()) {
        return servers;
    }
    for (auto const id : found->second) {
        auto const& entry = crashes_.at(id);
        if (entry.is_suspect(fingerprint) &&
            std::ranges::find(servers, entry.backend_server) == servers.end()) {
            servers.push_back(entry.backend_server);
        }
    }
    return servers;
}

crash_report quarantine::record_crash(crash_id crash,
                                      std::string_view backend_server,
                                      std::span<running_request const> running,
                                      time_point now)
{
    crash_report report{crash, std::string{backend_server}};
    for (auto const& request : running) {
        report.running.push_back(request.fingerprint);
        if (request.level != suspicion::none) {
            report.suspected.push_back(request.fingerprint);
        }
    }
    remove_duplicates(report.running);
    remove_duplicates(report.suspected);
    apply(report, now);
    return report;
}

std::optional<clearance>
quarantine::record_success(request_fingerprint fingerprint, time_point now)
{
    auto const found = crashes_by_request_.find(fingerprint);
    if (found == crashes_by_request_.end()) {
        return std::nullopt;
    }
    clearance cleared{fingerprint};
    auto oldest = now;
    for (auto const id : found->second) {
        auto const& entry = crashes_.at(id);
        if (entry.is_suspect(fingerprint)) {
            cleared.crash_ids.push_back(id);
            oldest = std::min(oldest, entry.crashed_at);
        }
    }
    if (cleared.crash_ids.empty()) {
        return std::nullopt;
    }
    cleared.age = age_of(oldest, now);
    apply(cleared, now);
    return cleared;
}

void quarantine::merge(quarantine_record const& record, time_point now)
{
    std::visit([&](auto const& value) { apply(value, now); }, record);
}

quarantine::crash_entry& quarantine::find_or_add_crash(crash_id id,
                                                       time_point crashed_at)
{
    auto const found = crashes_.find(id);
    if (found != crashes_.end()) {
        found->second.crashed_at =
            std::min(found->second.crashed_at, crashed_at);
        return found->second;
    }
    evict_if_full();
    auto& entry = crashes_[id];
    entry.crashed_at = crashed_at;
    return entry;
}

void quarantine::apply(crash_report const& report, time_point now)
{
    if (report.age >= settings_.crash_lifetime) {
        return;
    }
    auto& entry = find_or_add_crash(report.id, now - report.age);
    entry.backend_server = report.backend_server;
    for (auto const fingerprint : report.running) {
        if (entry.requests.size() >= settings_.max_requests_per_crash) {
            break;
        }
        find_or_add_status(entry, report.id, fingerprint);
    }
    for (auto const fingerprint : report.suspected) {
        auto const found = entry.requests.find(fingerprint);
        if (found != entry.requests.end()) {
            found->second.suspected_at_start = true;
        }
    }
}

void quarantine::apply(clearance const& cleared, time_point now)
{
    if (cleared.age >= settings_.crash_lifetime) {
        return;
    }
    for (auto const id : cleared.crash_ids) {
        auto& entry = find_or_add_crash(id, now - cleared.age);
        find_or_add_status(entry, id, cleared.fingerprint).cleared = true;
    }
}

quarantine::request_status&
quarantine::find_or_add_status(crash_entry& entry, crash_id id,
                               request_fingerprint fingerprint)
{
    auto const [position, added] = entry.requests.try_emplace(fingerprint);
    if (added) {
        crashes_by_request_[fingerprint].push_back(id);
    }
    return position->second;
}

void quarantine::evict_if_full()
{
    if (crashes_.size() < settings_.max_crashes) {
        return;
    }
    // Evict the oldest crash without suspects, or else the oldest crash.
    auto const victim = std::ranges::min_element(
        crashes_, {}, [](crash_table::value_type const& entry) {
            return std::pair{entry.second.suspect_count() > 0,
                             entry.second.crashed_at};
        });
    erase(victim);
}

void quarantine::erase(crash_table::iterator position)
{
    for (auto const& request : position->second.requests) {
        auto const found = crashes_by_request_.find(request.first);
        std::erase(found->second, position->first);
        if (found->second.empty()) {
            crashes_by_request_.erase(found);
        }
    }
    crashes_.erase(position);
}

std::vector<quarantine_record> quarantine::records(time_point now) const
{
    std::vector<quarantine_record> all;
    for (auto const& [id, entry] : crashes_) {
        crash_report report{id, entry.backend_server};
        report.age = age_of(entry.crashed_at, now);
        for (auto const& [fingerprint, status] : entry.requests) {
            report.running.push_back(fingerprint);
            if (status.suspected_at_start) {
                report.suspected.push_back(fingerprint);
            }
            if (status.cleared) {
                all.emplace_back(clearance{fingerprint, {id}, report.age});
            }
        }
        if (!entry.backend_server.empty()) {
            all.emplace_back(std::move(report));
        }
    }
    return all;
}

void quarantine::remove_expired(time_point now)
{
    for (auto position = crashes_.begin(); position != crashes_.end();) {
        auto const next = std::next(position);
        if (now - position->second.crashed_at >= settings_.crash_lifetime) {
            erase(position);
        }
        position = next;
    }
}

char const* name_of(suspicion level)
{
    switch (level) {
    case suspicion::none:
        return "none";
    case suspicion::isolated:
        return "isolated";
    case suspicion::exclusive:
        return "exclusive";
    case suspicion::refused:
        return "refused";
    }
    return "unknown";
}

} // namespace medlarstall::routing
