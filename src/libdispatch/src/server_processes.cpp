#include <medlarstall/dispatch/server_processes.hpp>

#include <algorithm>
#include <chrono>

namespace medlarstall::dispatch {

namespace {

/// Processes of one backend server that are remembered. Streams of an earlier
/// one may break off after a later one is known.
constexpr std::size_t max_processes = 3;
/// A backend server without an entry or an answer for this long is forgotten.
constexpr std::chrono::seconds server_lifetime{60};

} // namespace

/// \return the process with that start; nullptr if it is an earlier one than
///     those that are known, and not certainly the present one
server_processes::known_process*
server_processes::ensure_process(known_server& server,
                                 std::int64_t started_unix_ms, bool is_present,
                                 time_point now)
{
    auto& processes = server.processes;
    auto const same = std::ranges::find_if(processes, [&](auto const& known) {
        return known.process.started_unix_ms == started_unix_ms;
    });
    server.touched_at = now;
    if (same != processes.end()) {
        return &*same;
    }
    if (!processes.empty() && !is_present &&
        processes.back().process.started_unix_ms > started_unix_ms) {
        return nullptr;
    }
    if (processes.size() == max_processes) {
        processes.erase(processes.begin());
    }
    processes.push_back({{started_unix_ms, {}}, now});
    return &processes.back();
}

bool server_processes::on_entry(backend_server_entry const& entry,
                                std::optional<time_point> written_after,
                                time_point now)
{
    if (entry.started_unix_ms == 0) {
        return false; // Starts that are not stated cannot be told apart.
    }
    auto& server = servers_[entry.id];
    auto* const known =
        ensure_process(server, entry.started_unix_ms, false, now);
    if (known == nullptr) {
        return false;
    }
    auto const is_new = known->process.software_version.empty();
    known->process.software_version = entry.software_version;
    // The store may execute a write after its sender has ended.
    auto const is_latest = known == &server.processes.back();
    if (!is_latest || !written_after || *written_after <= known->running_at) {
        return is_new;
    }
    set_running(server, *known, *written_after);
    return true;
}

void server_processes::on_stated(std::string const& id,
                                 std::int64_t started_unix_ms,
                                 time_point asked_at, time_point now)
{
    auto& server = servers_[id];
    auto const is_present = server.processes.empty() ||
                            server.processes.back().running_at < asked_at;
    auto* const known =
        ensure_process(server, started_unix_ms, is_present, now);
    if (known != nullptr && known == &server.processes.back()) {
        set_running(server, *known, std::max(known->running_at, asked_at));
    }
}

void server_processes::on_received(std::string_view id,
                                   server_process const& process,
                                   time_point running_at)
{
    auto const server = servers_.find(id);
    if (server == servers_.end() || server->second.processes.empty()) {
        return;
    }
    auto& latest = server->second.processes.back();
    if (latest.process.started_unix_ms == process.started_unix_ms) {
        set_running(server->second, latest,
                    std::max(latest.running_at, running_at));
    }
}

void server_processes::on_connection_lost(std::string_view id, time_point now)
{
    auto const server = servers_.find(id);
    if (server != servers_.end()) {
        server->second.lost_at = now;
        on_idle_closed(id, now);
    }
}

void server_processes::on_idle_closed(std::string_view id, time_point now)
{
    auto const server = servers_.find(id);
    if (server != servers_.end() && !server->second.doubtful_since) {
        server->second.doubtful_since = now;
    }
}

/// The latest process was certainly running at a time.
void server_processes::set_running(known_server& server, known_process& latest,
                                   time_point at)
{
    latest.running_at = at;
    if (server.doubtful_since && *server.doubtful_since <= at) {
        server.doubtful_since.reset();
    }
}

process_presumption server_processes::presume(std::string_view id,
                                              connection_span span) const
{
    process_presumption result;
    auto const server = servers_.find(id);
    if (server == servers_.end() || server->second.processes.empty()) {
        return result;
    }
    auto const& latest = server->second.processes.back();
    if (latest.running_at != time_point::min()) {
        result.unseen = span.opened_at - latest.running_at;
    }
    result.doubtful = server->second.doubtful_since &&
                      *server->second.doubtful_since <= span.opened_at;
    if (!latest.process.software_version.empty() &&
        latest.known_since <= span.last_received_at && !result.doubtful) {
        result.process = latest.process;
    }
    return result;
}

std::optional<server_process> server_processes::find(std::string_view id,
                                                     connection_span span) const
{
    auto const server = servers_.find(id);
    if (server == servers_.end()) {
        return std::nullopt;
    }
    for (auto const& known : server->second.processes) {
        if (known.running_at >= span.opened_at &&
            known.known_since <= span.last_received_at) {
            return known.process.software_version.empty()
                       ? std::nullopt
                       : std::optional{known.process};
        }
    }
    return std::nullopt;
}

bool server_processes::may_have_restarted(std::string_view id) const
{
    auto const server = servers_.find(id);
    if (server == servers_.end() || server->second.processes.empty()) {
        return false;
    }
    auto const& latest = server->second.processes.back();
    return server->second.lost_at > latest.running_at ||
           latest.process.software_version.empty();
}

std::vector<std::string> server_processes::possibly_restarted() const
{
    std::vector<std::string> ids;
    for (auto const& [id, server] : servers_) {
        if (may_have_restarted(id)) {
            ids.push_back(id);
        }
    }
    return ids;
}

void server_processes::expire(time_point now)
{
    std::erase_if(servers_, [now](auto const& item) {
        return now - item.second.touched_at > server_lifetime;
    });
}

} // namespace medlarstall::dispatch
