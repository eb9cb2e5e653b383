#include <medlarstall/dispatch/server_paths.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlarstall::dispatch {

void server_paths::on_contact(std::string_view service, time_point now)
{
    auto& known = services_[std::string{service}];
    known.last_contact = now;
    known.failures.clear();
}

void server_paths::on_failure(std::string_view service, std::string_view server,
                              time_point now)
{
    auto& known = services_[std::string{service}];
    auto& failures = known.failures;
    std::erase_if(failures, [&](auto const& item) {
        return now - item.second > settings_.failure_lifetime;
    });
    if (failures.empty()) {
        known.failing_since = now;
    }
    failures.insert_or_assign(std::string{server}, now);
}

std::size_t server_paths::recent_failures(service_paths const& service,
                                          time_point now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(service.failures, [&](auto const& item) {
            return now - item.second <= settings_.failure_lifetime &&
                   !std::ranges::binary_search(service.failed_elsewhere,
                                               item.first);
        }));
}

void server_paths::set_failed_elsewhere(std::string_view service,
                                        std::vector<std::string> servers,
                                        std::size_t listed)
{
    auto& known = services_[std::string{service}];
    known.down_share = listed > 0 ? static_cast<double>(servers.size()) /
                                        static_cast<double>(listed)
                                  : 0.0;
    known.failed_elsewhere = std::move(servers);
}

void server_paths::clear_failed_elsewhere()
{
    for (auto& [name, service] : services_) {
        service.failed_elsewhere.clear();
        service.down_share = 0;
    }
}

bool server_paths::is_chance(std::size_t failures, double down_share,
                             bool early) const
{
    auto const share = early ? std::max(down_share, settings_.largest_crash)
                             : std::min(down_share, settings_.largest_crash);
    auto const likelihood = std::pow(share, static_cast<double>(failures));
    return likelihood > (early ? settings_.early_chance : settings_.chance);
}

/// \return true if the paths to another service are lost by their own evidence
bool server_paths::loses_another(std::string_view service, time_point now) const
{
    return std::ranges::any_of(services_, [&](auto const& item) {
        return item.first != service && recent_failures(item.second, now) >=
                                            settings_.min_failed_servers;
    });
}

path_evidence server_paths::examine(std::string_view service,
                                    time_point now) const
{
    path_evidence evidence;
    auto const found = services_.find(service);
    if (found == services_.end()) {
        return evidence;
    }
    auto const& known = found->second;
    if (known.last_contact) {
        evidence.contact_age = now - *known.last_contact;
    }
    evidence.failed_servers = recent_failures(known, now);
    // A cut seldom ends at one service: less evidence is needed for a second.
    auto const needed = loses_another(service, now)
                            ? std::size_t{1}
                            : settings_.min_failed_servers;
    evidence.down_share = known.down_share;
    auto const early = known.last_contact &&
                       now - known.failing_since < settings_.min_failing_time;
    evidence.lost =
        evidence.failed_servers >= needed &&
        !is_chance(evidence.failed_servers, known.down_share, early);
    return evidence;
}

char const*
server_paths::reason_to_forward(path_evidence const& evidence,
                                connection_failures const& failures) const
{
    constexpr std::uint32_t min_failures = 2;
    if (evidence.lost) {
        return "paths_lost";
    }
    if (failures.no_server_left &&
        failures.refused + failures.failed >= min_failures) {
        return "no_server_left";
    }
    auto const many_refused =
        failures.refused >= min_failures &&
        !is_chance(failures.refused, evidence.down_share, true);
    auto const many_failed =
        failures.failed >= min_failures &&
        !is_chance(failures.failed, evidence.down_share, false);
    return many_refused || many_failed ? "connections_refused" : nullptr;
}

std::vector<std::string> server_paths::take_due_checks(time_point now)
{
    std::vector<std::string> due;
    for (auto& [name, service] : services_) {
        if (now >= service.next_check && examine(name, now).lost) {
            service.next_check = now + settings_.check_interval;
            due.push_back(name);
        }
    }
    return due;
}

bool server_paths::has_failed(std::string_view service,
                              std::string_view server) const
{
    auto const found = services_.find(service);
    return found != services_.end() && found->second.failures.contains(server);
}

bool server_paths::had_contact_since(std::string_view service,
                                     time_point since) const
{
    auto const found = services_.find(service);
    return found != services_.end() && found->second.last_contact &&
           *found->second.last_contact >= since;
}

std::vector<std::string> server_paths::reached_services(time_point now) const
{
    std::vector<std::string> reached;
    for (auto const& [name, service] : services_) {
        auto const contact = service.last_contact;
        if (contact && now - *contact < settings_.contact_lifetime &&
            recent_failures(service, now) == 0) {
            reached.push_back(name);
        }
    }
    return reached;
}

} // namespace medlarstall::dispatch
