// How a gateway that starts learns which prompt parts are kept where.

#include <medlarstall/gateway/gateway.hpp>

#include "address_text.hpp"

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

/// From the start until the list of backend servers is taken as complete.
constexpr milliseconds learn_after{150};
/// Other daemons up to which each asks all backend servers.
constexpr std::size_t most_learners = 8;
/// From the start until daemons that run should have been heard of.
constexpr milliseconds peers_known_after{400};
/// A daemon that started earlier by this did not start together with this one.
constexpr milliseconds older_by{3000};
constexpr milliseconds ask_timeout{1500};
constexpr int ok = 200;

} // namespace

/// After a restart the backend servers still keep prompt parts that this
/// daemon knows nothing of: a daemon that has run for longer tells of them.
/// If there is none, the backend servers are asked.
void gateway::learn_kept_parts(time_point now)
{
    if (learnt_parts_ || !table_ || now - started_ < learn_after) {
        return;
    }
    if (auto const peer = peer_that_knows_parts(now)) {
        learnt_parts_ = true;
        ask_peer_for_parts(*peer);
    } else if (now - started_ >= peers_known_after) {
        learnt_parts_ = true;
        ask_servers_for_parts(now);
    }
}

/// \return address of a ready daemon that was there before this one; each
///     daemon that starts picks another
std::optional<std::string> gateway::peer_that_knows_parts(time_point now) const
{
    std::vector<std::string> candidates;
    for (auto const* const peer : members_.live(now)) {
        auto const older =
            peer->news.incarnation + older_by.count() < incarnation_;
        if (peer->news.ready && older) {
            candidates.push_back(peer->address);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[hash64(settings_.name) % candidates.size()];
}

void gateway::ask_peer_for_parts(std::string const& peer)
{
    auto const address = parse_endpoint(peer);
    if (!address) {
        return;
    }
    side_call(*address, {"GET", kept_parts_target, {}}, ask_timeout,
              [this, peer](http::response const& answer) {
                  auto const parts = decode_kept_parts(answer.body);
                  if (answer.head.status != ok || failed(parts)) {
                      ask_servers_for_parts(decision_clock::now());
                      return;
                  }
                  for (auto const& kept : value_of(parts)) {
                      dispatcher_.merge_parts(kept, decision_clock::now());
                  }
                  decision_line{log_, line_kind::belief, "kept_parts"}
                      .with("peer", peer)
                      .with("servers", value_of(parts).size());
              });
}

/// Daemons that start together share the backend servers among them, and tell
/// each other what those keep.
void gateway::ask_servers_for_parts(time_point now)
{
    std::vector<std::string> daemons;
    for (auto const* const peer : members_.live(now)) {
        daemons.push_back(peer->address);
    }
    auto const all = daemons.size() <= most_learners;
    for (auto const& [id, belief] : dispatcher_.listed().all()) {
        auto const* const service = table_->find_service(belief.entry.service);
        if (service != nullptr && service->model &&
            (all || asks_server(id, daemons))) {
            ask_kept_parts(belief.entry);
        }
    }
}

/// \return true if this daemon comes first for a backend server
bool gateway::asks_server(std::string const& id,
                          std::vector<std::string> const& daemons) const
{
    auto const seed = hash64(id);
    auto const own = hash64(text_of(settings_.peer_address), seed);
    return std::ranges::none_of(daemons, [&](std::string const& other) {
        return hash64(other, seed) < own;
    });
}

void gateway::ask_kept_parts(dispatch::backend_server_entry const& entry)
{
    auto const address = parse_endpoint(entry.address);
    if (!address) {
        return;
    }
    side_call(
        *address, {"GET", translations_.kept_parts_path, {}}, ask_timeout,
        [this, id = entry.id](http::response const& answer) {
            note_server_facts(id,
                              translations_.protocol.read_answer(answer.head));
            auto const parts = translations_.read_kept_parts(answer.body);
            if (answer.head.status != ok || failed(parts)) {
                return;
            }
            dispatch::kept_parts const kept{id, value_of(parts)};
            dispatcher_.merge_parts(kept, decision_clock::now());
            if (members_.live(decision_clock::now()).size() > most_learners) {
                prompts_to_tell_.push_back(kept);
            }
            decision_line{log_, line_kind::belief, "kept_parts"}
                .with("server", id)
                .with("parts", kept.parts.size());
        });
}

} // namespace medlarstall::gateway
