// How a gateway finds out after its start which backend server keeps which
// prompt parts.

#include <medlarstall/gateway/gateway.hpp>

#include "address_text.hpp"

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

/// Time after the start from which the list of backend servers is assumed to be
/// complete.
constexpr milliseconds list_complete_after{150};
/// With more live peers than this, the daemons divide the backend servers among
/// them; otherwise each daemon asks all backend servers.
constexpr std::size_t max_peers_asking_all = 8;
/// Time after the start within which updates of running peers should arrive.
constexpr milliseconds peers_known_after{400};
/// A peer that started at least this much earlier was running before; others
/// started together with this daemon.
constexpr milliseconds min_age_difference{3000};
constexpr milliseconds request_timeout{1500};
constexpr int http_ok = 200;

} // namespace

/// After a restart of this daemon, the backend servers still keep prompt parts
/// that it does not know. It requests them from a peer that has run for longer,
/// or from the backend servers if there is no such peer.
void gateway::request_initial_parts(time_point now)
{
    if (initial_parts_requested_ || !route_table_ ||
        now - started_at_ < list_complete_after) {
        return;
    }
    if (auto const peer = find_peer_with_parts(now)) {
        initial_parts_requested_ = true;
        request_parts_from_peer(*peer);
    } else if (now - started_at_ >= peers_known_after) {
        initial_parts_requested_ = true;
        request_parts_from_servers(now);
    }
}

/// \return address of a ready peer that was running before this daemon; empty
///     if there is none. The choice depends on the name of this daemon, so that
///     daemons that start together ask different peers.
std::optional<std::string> gateway::find_peer_with_parts(time_point now) const
{
    std::vector<std::string> candidates;
    for (auto const* const peer : members_.live_members(now)) {
        auto const ran_before =
            peer->update.incarnation + min_age_difference.count() <
            incarnation_;
        if (peer->update.ready && ran_before) {
            candidates.push_back(peer->address);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[hash64(settings_.name) % candidates.size()];
}

void gateway::request_parts_from_peer(std::string const& peer)
{
    auto const address = parse_endpoint(peer);
    if (!address) {
        return;
    }
    send_internal_call(
        *address, {"GET", peer_cached_parts_path, {}}, request_timeout,
        [this, peer](http::response const& response) {
            auto const parts = decode_kept_parts(response.body);
            if (response.head.status != http_ok || failed(parts)) {
                request_parts_from_servers(monotonic_clock::now());
                return;
            }
            for (auto const& kept : value_of(parts)) {
                dispatcher_.merge_parts(kept, monotonic_clock::now());
            }
            log_entry{log_, log_category::state_change, "kept_parts"}
                .with("peer", peer)
                .with("servers", value_of(parts).size());
        });
}

/// Many daemons that start together divide the backend servers among them, and
/// send each other the prompt parts that those keep.
void gateway::request_parts_from_servers(time_point now)
{
    std::vector<std::string> daemons;
    for (auto const* const peer : members_.live_members(now)) {
        daemons.push_back(peer->address);
    }
    auto const ask_all = daemons.size() <= max_peers_asking_all;
    for (auto const& [id, server] : dispatcher_.listed().all()) {
        auto const* const service =
            route_table_->find_service(server.entry.service);
        if (service != nullptr && service->model &&
            (ask_all || is_responsible_for(id, daemons))) {
            request_cached_parts(server.entry);
        }
    }
}

/// \return true if this daemon, of all the given ones, is the one that asks the
///     backend server
bool gateway::is_responsible_for(std::string const& id,
                                 std::vector<std::string> const& daemons) const
{
    auto const seed = hash64(id);
    auto const own_rank = hash64(format_endpoint(settings_.peer_address), seed);
    return std::ranges::none_of(daemons, [&](std::string const& other) {
        return hash64(other, seed) < own_rank;
    });
}

void gateway::request_cached_parts(dispatch::backend_server_entry const& entry)
{
    auto const address = parse_endpoint(entry.address);
    if (!address ||
        !dispatcher_.try_take_permit(entry.id, monotonic_clock::now())) {
        return;
    }
    send_internal_call(
        *address, {"GET", adapter_.backend_cached_parts_path, {}},
        request_timeout,
        [this, id = entry.id,
         started = entry.started_unix_ms](http::response const& response) {
            if (!dispatcher_.is_listed_run(id, started)) {
                return; // The next run keeps none of these parts.
            }
            on_server_metadata(id,
                               adapter_.protocol.parse_answer(response.head),
                               std::nullopt);
            auto const parts = adapter_.parse_cached_parts(response.body);
            if (response.head.status != http_ok || failed(parts)) {
                return;
            }
            dispatch::server_prompt_parts const kept{id, value_of(parts),
                                                     started};
            dispatcher_.merge_parts(kept, monotonic_clock::now());
            if (members_.live_members(monotonic_clock::now()).size() >
                max_peers_asking_all) {
                pending_prompts_.push_back(kept);
            }
            log_entry{log_, log_category::state_change, "kept_parts"}
                .with("server", id)
                .with("parts", kept.parts.size());
        });
}

} // namespace medlarstall::gateway
