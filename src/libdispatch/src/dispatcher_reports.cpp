// What the daemons have observed of the backend servers and tell each other.

#include <medlarstall/dispatch/dispatcher.hpp>

#include <algorithm>

namespace medlarstall::dispatch {

namespace {

/// Most observations in one update; older ones are left out. About 1 KB.
constexpr std::size_t max_reports = 32;

} // namespace

bool dispatcher::on_server_failure(std::string_view id,
                                   std::int64_t started_unix_ms,
                                   report_kind kind, time_point now)
{
    auto const found = records_.find(id);
    if (found == records_.end() || !is_listed_run(id, started_unix_ms)) {
        return false;
    }
    auto& reports = found->second.reports;
    auto const is_new = !reports.own_report(now) && !reports.is_doubted(now);
    reports.on_failure(0, kind, now);
    return is_new;
}

void dispatcher::on_server_answer(std::string_view id, time_point now)
{
    auto const found = records_.find(id);
    if (found != records_.end() && !found->second.reports.empty()) {
        found->second.reports.on_answer(0, now);
    }
}

bool dispatcher::merge_server_report(std::uint64_t daemon,
                                     server_report const& report,
                                     time_point now)
{
    auto const found = records_.find(report.backend_server);
    if (found == records_.end() ||
        !is_listed_run(report.backend_server, report.started_unix_ms) ||
        report.age > server_reports::lifetime) {
        return false;
    }
    auto& record = found->second;
    if (report.kind != report_kind::back) {
        record.reports.on_failure(daemon, report.kind, now - report.age);
        return false;
    }
    record.reports.on_answer(daemon, now - report.age);
    auto& tracker = record.health_tracker;
    if (tracker.state() != health::down || !record.reports.take_return(now)) {
        return false;
    }
    tracker.on_data_received();
    return true;
}

std::vector<server_report>
dispatcher::server_reports_to_tell(time_point now) const
{
    std::vector<server_report> told;
    for (auto const& [id, record] : records_) {
        auto report = record.reports.own_report(now);
        auto const* const entry = report ? find_entry(id) : nullptr;
        if (entry != nullptr) {
            report->backend_server = id;
            report->started_unix_ms = entry->started_unix_ms;
            told.push_back(std::move(*report));
        }
    }
    if (told.size() > max_reports) {
        std::ranges::nth_element(told, told.begin() + max_reports, {},
                                 &server_report::age);
        told.resize(max_reports);
    }
    return told;
}

std::map<std::string, dispatcher::failed_elsewhere>
dispatcher::servers_failed_elsewhere(time_point now) const
{
    std::map<std::string, failed_elsewhere> services;
    for (auto const& [id, record] : records_) {
        if (record.reports.failed_elsewhere(now)) {
            if (auto const* const entry = find_entry(id)) {
                services[entry->service].servers.push_back(id);
            }
        }
    }
    if (!services.empty()) {
        for (auto const& [id, listing] : server_list_.all()) {
            auto const found = services.find(listing.entry.service);
            if (found != services.end()) {
                ++found->second.listed;
            }
        }
    }
    return services;
}

std::size_t dispatcher::doubted_server_count(time_point now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(records_, [now](auto const& item) {
            return item.second.reports.is_doubted(now);
        }));
}

} // namespace medlarstall::dispatch
