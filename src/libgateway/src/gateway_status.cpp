// The gateway's current state as JSON, for operators.

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

json servers_json(dispatch::dispatcher const& dispatcher, time_point now)
{
    auto list = json::array();
    for (auto const& [id, server] : dispatcher.listed().all()) {
        auto const load = dispatcher.load_of(id, now);
        auto const* const limit = dispatcher.rate_limit_of(id);
        auto const per_second =
            limit != nullptr ? limit->requests_per_second() : std::nullopt;
        list.push_back(
            {{"id", id},
             {"service", server.entry.service},
             {"address", server.entry.address},
             {"data_centre", server.entry.data_centre},
             {"health", name_of(dispatcher.health_of(id))},
             {"draining", server.entry.draining},
             {"leaving", dispatcher.is_leaving(id)},
             {"lapsing", server.expires_at.has_value()},
             {"slots", server.entry.slots},
             {"limit_per_second", per_second ? json(*per_second) : json()},
             {"in_flight", load.in_flight},
             {"prompt_tokens", load.prefill_tokens},
             {"entry_age_ms", age_ms(server.updated_at, now)}});
    }
    return list;
}

json peers_json(std::vector<member_table::member const*> const& peers,
                time_point now)
{
    auto list = json::array();
    for (auto const* const peer : peers) {
        list.push_back(
            {{"daemon", peer->update.daemon},
             {"address", peer->address},
             {"ready", peer->update.ready},
             {"store_reachable", peer->update.reads_store},
             {"configuration_offset", peer->update.configuration.offset},
             {"list_era", peer->update.servers.era},
             {"list_offset", peer->update.servers.offset},
             {"news_age_ms", age_ms(peer->last_heard, now)}});
    }
    return list;
}

/// \return who holds the exclusive duties, as far as is known
json duties_json(duty_service const* service)
{
    if (service == nullptr) {
        return {};
    }
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    auto const lease = service->status();
    return {{"own", lease.is_holder},
            {"holder", lease.holder},
            {"token", lease.token},
            {"valid_ms", duration_cast<milliseconds>(lease.valid_for).count()},
            {"renewal_age_ms", duration_cast<milliseconds>(lease.age).count()}};
}

json usage_json(duty::usage_reporter const& usage, time_point now)
{
    auto const& counters = usage.counters();
    auto const& duty = usage.duty().counters();
    return {{"counted", counters.counted},
            {"late", counters.late},
            {"rejected_rows", counters.rejected_rows},
            {"held_counts", usage.held_counts()},
            {"clocks", usage.time().clock_count()},
            {"clock_ahead_ms", usage.time().own_deviation().count()},
            {"time_ms", usage.time().at(now).time_since_epoch().count()},
            {"closed_before", usage.duty().known_closed_before()},
            {"windows", usage.open_sums(now)},
            {"reports",
             {{"fixed", duty.fixed},
              {"accepted", duty.accepted},
              {"failed", duty.failed},
              {"given_up", duty.given_up},
              {"waiting", usage.duty().waiting()}}}};
}

} // namespace

http::response gateway::status_response() const
{
    auto const now = monotonic_clock::now();
    json status{
        {"daemon", settings_.name},
        {"ready", is_ready()},
        {"configuration", route_table_ ? route_table_->version() : 0},
        {"configuration_offset", configuration_follower_->position().offset},
        {"list_era", servers_follower_->position().era},
        {"list_offset", servers_follower_->position().offset},
        {"store_reachable", servers_follower_->store_reachable()},
        {"requests", requests_.size()},
        {"duties", duties_json(duty_service_.get())},
        {"cell", {{"own", cell_.index}, {"count", cell_.cell_count}}},
        {"peers", peers_json(members_.live_members(now), now)},
        {"backend_servers", servers_json(dispatcher_, now)}};
    if (usage_) {
        status["usage"] = usage_json(*usage_, now);
    }
    http::response response{{200, {}, {}}, {}};
    response.body =
        status.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    response.head.headers.add("Content-Type", "application/json");
    return response;
}

} // namespace medlarstall::gateway
