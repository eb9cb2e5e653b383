#include <medlarstall/routing/quarantine.hpp>

#include <algorithm>

namespace medlarstall::routing {

namespace {

std::chrono::milliseconds age_of(time_point at, time_point now)
{
    auto const age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - at);
    return std::max(age, std::chrono::milliseconds{0});
}

void remove_duplicates(std::vector<request_fingerprint>& fingerprints)
{
    std::ranges::sort(fingerprints);
    auto const repeated = std::ranges::unique(fingerprints);
    fingerprints.erase(repeated.begin(), repeated.end());
}

} // namespace

bool quarantine::crash::suspects(request_fingerprint fingerprint) const
{
    auto const found = requests.find(fingerprint);
    return found != requests.end() && !found->second.cleared;
}

std::size_t quarantine::crash::suspects() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        requests, [](auto const& entry) { return !entry.second.cleared; }));
}

bool quarantine::crash::convicts(request_fingerprint fingerprint) const
{
    auto const found = requests.find(fingerprint);
    return found != requests.end() && found->second.suspected &&
           !found->second.cleared && suspects() == 1;
}

quarantine::quarantine(quarantine_settings settings) : settings_{settings} {}

std::vector<quarantine::crash const*>
quarantine::held_against(request_fingerprint fingerprint, time_point now) const
{
    std::vector<crash const*> held;
    auto const found = by_request_.find(fingerprint);
    if (found == by_request_.end()) {
        return held;
    }
    for (auto const id : found->second) {
        auto const& entry = crashes_.at(id);
        if (entry.suspects(fingerprint) &&
            now - entry.at < settings_.lifetime) {
            held.push_back(&entry);
        }
    }
    return held;
}

suspicion quarantine::judge(request_fingerprint fingerprint,
                            time_point now) const
{
    auto const held = held_against(fingerprint, now);
    if (held.empty()) {
        return suspicion::none;
    }
    bool const convicted = std::ranges::any_of(
        held, [&](auto const* entry) { return entry->convicts(fingerprint); });
    if (held.size() >= settings_.refused_from && convicted) {
        return suspicion::refused;
    }
    return held.size() >= settings_.exclusive_from ? suspicion::exclusive
                                                   : suspicion::isolated;
}

std::vector<std::string>
quarantine::crashed_under(request_fingerprint fingerprint) const
{
    std::vector<std::string> servers;
    auto const found = by_request_.find(fingerprint);
    if (found == by_request_.end()) {
        return servers;
    }
    for (auto const id : found->second) {
        auto const& entry = crashes_.at(id);
        if (entry.suspects(fingerprint) &&
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
    take(report, now);
    return report;
}

std::optional<clearance>
quarantine::record_success(request_fingerprint fingerprint, time_point now)
{
    auto const found = by_request_.find(fingerprint);
    if (found == by_request_.end()) {
        return std::nullopt;
    }
    clearance cleared{fingerprint};
    auto oldest = now;
    for (auto const id : found->second) {
        auto const& entry = crashes_.at(id);
        if (entry.suspects(fingerprint)) {
            cleared.crashes.push_back(id);
            oldest = std::min(oldest, entry.at);
        }
    }
    if (cleared.crashes.empty()) {
        return std::nullopt;
    }
    cleared.age = age_of(oldest, now);
    take(cleared, now);
    return cleared;
}

void quarantine::merge(quarantine_record const& record, time_point now)
{
    std::visit([&](auto const& value) { take(value, now); }, record);
}

quarantine::crash& quarantine::crash_of(crash_id id, time_point at)
{
    auto const found = crashes_.find(id);
    if (found != crashes_.end()) {
        found->second.at = std::min(found->second.at, at);
        return found->second;
    }
    make_room();
    auto& entry = crashes_[id];
    entry.at = at;
    return entry;
}

void quarantine::take(crash_report const& report, time_point now)
{
    if (report.age >= settings_.lifetime) {
        return;
    }
    auto& entry = crash_of(report.crash, now - report.age);
    entry.backend_server = report.backend_server;
    for (auto const fingerprint : report.running) {
        if (entry.requests.size() >= settings_.running) {
            break;
        }
        standing_of(entry, report.crash, fingerprint);
    }
    for (auto const fingerprint : report.suspected) {
        auto const found = entry.requests.find(fingerprint);
        if (found != entry.requests.end()) {
            found->second.suspected = true;
        }
    }
}

void quarantine::take(clearance const& cleared, time_point now)
{
    if (cleared.age >= settings_.lifetime) {
        return;
    }
    for (auto const id : cleared.crashes) {
        auto& entry = crash_of(id, now - cleared.age);
        standing_of(entry, id, cleared.fingerprint).cleared = true;
    }
}

quarantine::standing& quarantine::standing_of(crash& entry, crash_id id,
                                              request_fingerprint fingerprint)
{
    auto const [place, added] = entry.requests.try_emplace(fingerprint);
    if (added) {
        by_request_[fingerprint].push_back(id);
    }
    return place->second;
}

void quarantine::make_room()
{
    if (crashes_.size() < settings_.crashes) {
        return;
    }
    // Crashes without suspects go first, then the oldest.
    auto const least = std::ranges::min_element(
        crashes_, {}, [](crash_table::value_type const& entry) {
            return std::pair{entry.second.suspects() > 0, entry.second.at};
        });
    erase(least);
}

void quarantine::erase(crash_table::iterator place)
{
    for (auto const& request : place->second.requests) {
        auto const found = by_request_.find(request.first);
        std::erase(found->second, place->first);
        if (found->second.empty()) {
            by_request_.erase(found);
        }
    }
    crashes_.erase(place);
}

std::vector<quarantine_record> quarantine::records(time_point now) const
{
    std::vector<quarantine_record> all;
    for (auto const& [id, entry] : crashes_) {
        crash_report report{id, entry.backend_server};
        report.age = age_of(entry.at, now);
        for (auto const& [fingerprint, standing] : entry.requests) {
            report.running.push_back(fingerprint);
            if (standing.suspected) {
                report.suspected.push_back(fingerprint);
            }
            if (standing.cleared) {
                all.emplace_back(clearance{fingerprint, {id}, report.age});
            }
        }
        if (!entry.backend_server.empty()) {
            all.emplace_back(std::move(report));
        }
    }
    return all;
}

void quarantine::expire(time_point now)
{
    for (auto place = crashes_.begin(); place != crashes_.end();) {
        auto const next = std::next(place);
        if (now - place->second.at >= settings_.lifetime) {
            erase(place);
        }
        place = next;
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
