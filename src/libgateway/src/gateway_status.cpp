// What a gateway believes now, for operators.

#include <medlarstall/gateway/gateway.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace medlarstall::gateway {

namespace {

using nlohmann::json;

std::int64_t age_ms(time_point since, time_point now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               now - std::min(since, now))
        .count();
}

json servers_json(dispatch::dispatcher const& from, time_point now)
{
    auto all = json::array();
    for (auto const& [id, belief] : from.listed().all()) {
        auto const load = from.load_of(id, now);
        all.push_back({{"id", id},
                       {"service", belief.entry.service},
                       {"address", belief.entry.address},
                       {"data_centre", belief.entry.data_centre},
                       {"health", name_of(from.state_of(id))},
                       {"draining", belief.entry.draining},
                       {"leaving", from.is_leaving(id)},
                       {"lapsing", belief.lapses.has_value()},
                       {"slots", belief.entry.slots},
                       {"in_flight", load.in_flight},
                       {"prompt_tokens", load.prefill_tokens},
                       {"entry_age_ms", age_ms(belief.updated, now)}});
    }
    return all;
}

json peers_json(std::vector<member_table::member const*> const& peers,
                time_point now)
{
    auto all = json::array();
    for (auto const* const peer : peers) {
        all.push_back(
            {{"daemon", peer->news.daemon},
             {"address", peer->address},
             {"ready", peer->news.ready},
             {"store_reachable", peer->news.store_reachable},
             {"configuration_offset", peer->news.configuration.offset},
             {"list_era", peer->news.servers.era},
             {"list_offset", peer->news.servers.offset},
             {"news_age_ms", age_ms(peer->heard, now)}});
    }
    return all;
}

} // namespace

http::response gateway::status_answer() const
{
    auto const now = decision_clock::now();
    json const status{
        {"daemon", settings_.name},
        {"ready", is_ready()},
        {"configuration", table_ ? table_->version() : 0},
        {"configuration_offset", configuration_follower_->position().offset},
        {"list_era", servers_follower_->position().era},
        {"list_offset", servers_follower_->position().offset},
        {"store_reachable", servers_follower_->store_reachable()},
        {"requests", requests_.size()},
        {"cell", {{"own", cell_.own}, {"count", cell_.count}}},
        {"peers", peers_json(members_.live(now), now)},
        {"backend_servers", servers_json(dispatcher_, now)}};
    http::response answer{{200, {}, {}}, {}};
    answer.body =
        status.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    answer.head.headers.add("Content-Type", "application/json");
    return answer;
}

} // namespace medlarstall::gateway
