// Whether backend servers are down or only the paths of this daemon to them,
// and which peer can help.

#include <medlarstall/gateway/gateway.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

/// A peer helps only if it was heard within this time.
constexpr milliseconds max_helper_silence{1000};
/// Longest time for which it is open whether a backend server has crashed.
constexpr milliseconds max_loss_hold{1000};
constexpr milliseconds path_check_timeout{600};

/// \return ids separated by commas
std::string join(dispatch::part_ids const& ids)
{
    std::string text;
    for (auto const id : ids) {
        if (!text.empty()) {
            text += ',';
        }
        text += std::to_string(id);
    }
    return text;
}

bool reaches(peer_update const& update, std::string const& service)
{
    return std::ranges::find(update.reached_services, service) !=
           update.reached_services.end();
}

} // namespace

/// Callers with the same hash get the same helper while the fleet is the same;
/// different ones spread over all.
std::optional<helper_daemon>
gateway::find_helper(std::string const& service, std::uint64_t hash,
                     std::vector<std::string> const& excluded) const
{
    auto const now = monotonic_clock::now();
    std::optional<helper_daemon> best;
    std::uint64_t best_rank = 0;
    for (auto const* const peer : members_.live_members(now)) {
        auto const& update = peer->update;
        auto const is_excluded =
            std::ranges::find(excluded, update.daemon) != excluded.end();
        auto const rank = hash64(update.daemon, hash);
        if (is_excluded || !update.ready || !reaches(update, service) ||
            now - peer->last_heard > max_helper_silence ||
            (best && rank >= best_rank)) {
            continue;
        }
        if (auto const address = parse_endpoint(update.entry_address)) {
            best = helper_daemon{update.daemon, *address, peer->last_heard};
            best_rank = rank;
        }
    }
    return best;
}

/// \return true if a peer reaches a service
bool gateway::peers_reach(std::string const& service, time_point now) const
{
    return std::ranges::any_of(
        members_.live_members(now),
        [&](auto const* peer) { return reaches(peer->update, service); });
}

/// Probes a backend server of each service whose paths are taken for lost, if
/// possible one that has not failed.
void gateway::check_lost_paths(time_point now)
{
    for (auto const& service : paths_.take_due_checks(now)) {
        std::vector<dispatch::backend_server_entry const*> candidates;
        for (auto const& [id, server] : dispatcher_.listed().all()) {
            if (server.entry.service == service && !server.entry.draining &&
                !paths_.has_failed(service, id)) {
                candidates.push_back(&server.entry);
            }
        }
        if (candidates.empty()) {
            continue; // Those that have failed are probed as they are down.
        }
        auto const* const chosen =
            candidates[++path_checks_ % candidates.size()];
        if (dispatcher_.try_take_permit(chosen->id, now)) {
            check_path(*chosen);
        }
    }
}

/// Probes a backend server only for its path; its health stays as it is.
void gateway::check_path(dispatch::backend_server_entry const& entry)
{
    auto const* const service =
        route_table_ ? route_table_->find_service(entry.service) : nullptr;
    auto const address = parse_endpoint(entry.address);
    if (service == nullptr || !address) {
        return;
    }
    send_internal_call(*address, {"GET", service->health_path, {}},
                       path_check_timeout,
                       [this, id = entry.id](http::response const& response) {
                           note_probe_path(id, response.head.status != 0,
                                           monotonic_clock::now());
                       });
}

void gateway::note_probe_path(std::string const& id, bool answered,
                              time_point now)
{
    auto const* const entry = dispatcher_.find_entry(id);
    if (entry == nullptr) {
        return;
    }
    if (answered) {
        paths_.on_contact(entry->service, now);
    } else {
        paths_.on_failure(entry->service, id, now);
    }
}

/// Called when a run of a backend server was found down. If its connections may
/// have been lost with the path of this daemon, the requests that they carried
/// are not blamed before that is known.
void gateway::on_server_down(std::string const& id,
                             std::int64_t started_unix_ms, time_point now)
{
    auto const* const entry = dispatcher_.find_entry(id);
    if (entry == nullptr) {
        return; // It has left the list, and may have ended as planned.
    }
    if (entry->started_unix_ms == started_unix_ms) {
        pool_.close_idle(id);
    }
    held_loss found{id, started_unix_ms, now};
    if (peers_reach(entry->service, now)) {
        held_losses_.push_back(std::move(found));
        return;
    }
    report_down(found, now);
}

/// Reports held losses as crashes once another backend server of the service
/// has been heard, so that the path is sound, and drops them if none was.
void gateway::report_held_losses(time_point now)
{
    auto const held = std::exchange(held_losses_, {});
    for (auto const& loss : held) {
        auto const* const entry = dispatcher_.find_entry(loss.server);
        auto const service = entry != nullptr ? entry->service : "";
        if (paths_.had_contact_since(service, loss.at)) {
            report_down(loss, now);
        } else if (now - loss.at < max_loss_hold) {
            held_losses_.push_back(loss);
        } else {
            log_entry{log_, log_category::state_change, "path_lost"}
                .with("server", loss.server)
                .with("service", service)
                .with("age", now - loss.at);
        }
    }
}

void gateway::report_down(held_loss const& found, time_point now)
{
    for (auto& note : dispatcher_.crashes().on_server_down(
             found.server, found.started_unix_ms, now)) {
        log_entry{log_, log_category::state_change, "crash"}
            .with("server", found.server)
            .with("fingerprint", note.request)
            .with("crash", note.crash_id)
            .with("parts", join(note.parts))
            .with("age", note.age);
        recent_crashes_.push_back({std::move(note), now});
        crash_to_announce_ = true;
    }
    log_blame_changes(settings_.name);
}

} // namespace medlarstall::gateway
