// Observations of backend servers that the daemons tell each other.

#include <medlarstall/gateway/gateway.hpp>

#include <medlarstall/support/digest.hpp>

#include <utility>

namespace medlarstall::gateway {

void gateway::note_server_failure(std::string const& id,
                                  std::int64_t started_unix_ms,
                                  dispatch::report_kind kind)
{
    auto const now = monotonic_clock::now();
    if (dispatcher_.on_server_failure(id, started_unix_ms, kind, now)) {
        report_to_announce_ = true;
    }
}

void gateway::merge_server_reports(peer_update const& update, time_point now)
{
    auto const daemon = hash64(update.daemon) | 1U; // 0 is this daemon.
    for (auto const& report : update.server_reports) {
        auto const before = dispatcher_.health_of(report.backend_server);
        if (dispatcher_.merge_server_report(daemon, report, now)) {
            metrics_.count_state_change("told_back");
            log_health_change(report.backend_server, before,
                              dispatcher_.health_of(report.backend_server),
                              "told_back");
        }
    }
}

/// Failures are not told while the paths of this daemon are lost: they are then
/// no observations of the servers.
std::vector<dispatch::server_report>
gateway::reports_to_tell(time_point now) const
{
    auto told = dispatcher_.server_reports_to_tell(now);
    std::erase_if(told, [&](dispatch::server_report const& report) {
        auto const* const entry = dispatcher_.find_entry(report.backend_server);
        return report.kind != dispatch::report_kind::back &&
               (entry == nullptr || paths_.examine(entry->service, now).lost);
    });
    return told;
}

void gateway::update_failed_elsewhere(time_point now)
{
    auto services = dispatcher_.servers_failed_elsewhere(now);
    if (std::exchange(has_failed_elsewhere_, !services.empty())) {
        paths_.clear_failed_elsewhere();
    }
    for (auto& [service, failed] : services) {
        paths_.set_failed_elsewhere(service, std::move(failed.servers),
                                    failed.listed);
    }
}

} // namespace medlarstall::gateway
