#include <medlarstall/dispatch/crash_tracker.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>

namespace medlarstall::dispatch {

namespace {

/// Bounds on the memory that the tracker itself uses.
constexpr std::size_t max_losses = 512;
constexpr std::size_t max_suspects = 1024;

/// Computes the id of a crash, which is the same at all daemons. A start of a
/// backend server ends with at most one crash.
/// \param backend_server id of the backend server that crashed
/// \param started_unix_ms when it had started
/// \return id of the crash
std::uint64_t crash_id_for(std::string_view backend_server,
                           std::int64_t started_unix_ms)
{
    return hash64(backend_server, static_cast<std::uint64_t>(started_unix_ms));
}

} // namespace

crash_tracker::crash_tracker(crash_settings settings) : settings_{settings} {}

void crash_tracker::on_connection_lost(crash_suspect const& request,
                                       std::string_view backend_server,
                                       std::int64_t started_unix_ms,
                                       time_point now)
{
    losses_.push_back(
        {request, std::string{backend_server}, started_unix_ms, now});
    while (losses_.size() > max_losses ||
           (!losses_.empty() &&
            now - losses_.front().at > settings_.loss_window)) {
        losses_.pop_front();
    }
}

std::vector<crash_report>
crash_tracker::on_server_down(std::string_view backend_server,
                              std::int64_t last_started_unix_ms, time_point now)
{
    std::vector<crash_report> reports;
    std::erase_if(losses_, [&](connection_loss const& item) {
        if (item.backend_server != backend_server ||
            item.started_unix_ms > last_started_unix_ms ||
            now - item.at > settings_.loss_window) {
            return false;
        }
        reports.push_back(
            {item.request.request, item.backend_server,
             crash_id_for(backend_server, item.started_unix_ms),
             item.request.parts,
             std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                                   item.at)});
        return true;
    });
    for (auto const& report : reports) {
        merge(report, now);
    }
    return reports;
}

void crash_tracker::merge(crash_report const& report, time_point now)
{
    add_crash(report.request, report.crash_id, now);
    parts_.on_crash(report.crash_id, report.parts, now - report.age, now);
}

void crash_tracker::on_success(crash_suspect const& request, time_point now)
{
    suspects_.erase(request.request);
    parts_.on_success(request.parts, now);
}

void crash_tracker::add_crash(fingerprint request, std::uint64_t crash_id,
                              time_point now)
{
    if (suspects_.size() >= max_suspects) {
        suspects_.erase(
            std::ranges::min_element(suspects_, {}, [](auto const& item) {
                return item.second.last_crash;
            }));
    }
    auto& entry = suspects_[request];
    entry.last_crash = now;
    if (std::ranges::find(entry.crash_ids, crash_id) == entry.crash_ids.end()) {
        entry.crash_ids.push_back(crash_id);
    }
}

bool crash_tracker::is_quarantined(fingerprint request, time_point now) const
{
    auto const found = suspects_.find(request);
    return found != suspects_.end() &&
           now - found->second.last_crash < settings_.quarantine_time &&
           found->second.crash_ids.size() >= settings_.crash_threshold;
}

} // namespace medlarstall::dispatch
