#include <medlarstall/routing/cost_model.hpp>

#include <algorithm>
#include <cmath>

namespace medlarstall::routing {

namespace {

using std::chrono::microseconds;
using seconds = std::chrono::duration<double>;

microseconds scaled(microseconds time, double factor)
{
    return std::chrono::duration_cast<microseconds>(time * factor);
}

/// Returns how many requests run, or are queued at the given tier or a higher
/// one, according to the last summary.
double
reported_requests_ahead(scheduling::backend_server_summary const& summary,
                        unsigned tier)
{
    double ahead = 0;
    for (unsigned i = 0; i <= tier && i < scheduling::max_tiers; ++i) {
        ahead += summary.tiers[i].queued;
    }
    return ahead + summary.running;
}

double unreported_by_this_daemon(backend_server_view const& server,
                                 unsigned tier)
{
    return static_cast<double>(std::ranges::count_if(
        server.unreported_dispatches,
        [&](auto const& dispatch) { return dispatch.tier <= tier; }));
}

} // namespace

cost_model::cost_model(cost_settings settings) : settings_{std::move(settings)}
{}

void cost_model::set_daemon_count(std::uint32_t daemons)
{
    daemon_count_ = std::max(1U, daemons);
}

double cost_model::unreported_by_others(backend_server_view const& server,
                                        group_view const& group,
                                        time_point now) const
{
    if (group.usable.empty()) {
        return 0;
    }
    seconds const summary_age = std::min<duration>(
        now - server.summary_received_at, settings_.stale_after);
    double const rate = group.own_dispatch_rate * (daemon_count_ - 1.0) /
                        static_cast<double>(group.usable.size());
    return rate * summary_age.count();
}

microseconds cost_model::unreported_wait(backend_server_view const& server,
                                         group_view const& group, unsigned tier,
                                         double unreported) const
{
    auto const& summary = server.summary;
    double const limit = std::max(1U, summary.limit);
    double const ahead = reported_requests_ahead(summary, tier);
    double const free_slots = std::max(0.0, limit - ahead);
    double const excess = std::max(0.0, unreported + 1.0 - free_slots);
    double const queued_unreported = std::min(excess, unreported + 1.0);
    return scaled(group.mean_service_time, queued_unreported / limit);
}

microseconds cost_model::network_round_trip(std::string_view data_centre) const
{
    if (data_centre == settings_.data_centre) {
        return microseconds{0};
    }
    auto const found = settings_.one_way_latencies.find(data_centre);
    return 2 * (found == settings_.one_way_latencies.end()
                    ? settings_.default_one_way_latency
                    : found->second);
}

microseconds cost_model::health_penalty(backend_server_view const& server,
                                        route_cost const& cost,
                                        time_point now) const
{
    microseconds penalty{0};
    bool const demoted =
        server.health == health_state::demoted || server.summary.demoted;
    if (demoted) {
        auto const extra_time =
            scaled(cost.prefill + cost.decode, server.slowdown - 1.0);
        penalty +=
            std::max<microseconds>(settings_.min_demotion_cost, extra_time);
    }
    if (now - server.summary_received_at > settings_.stale_after) {
        penalty += settings_.stale_cost;
    }
    return penalty;
}

route_cost cost_model::cost(backend_server_view const& server,
                            group_view const& group, route_query const& query,
                            std::uint32_t cached_tokens, time_point now) const
{
    auto const& summary = server.summary;
    auto const& request = query.request;
    auto const tier =
        std::min<unsigned>(request.tier, scheduling::max_tiers - 1);
    double const unreported = unreported_by_this_daemon(server, tier) +
                              unreported_by_others(server, group, now);
    double const load =
        (summary.running + unreported) / std::max(1U, summary.limit);
    auto const per_ms = summary.prefill_tokens_per_ms > 0
                            ? summary.prefill_tokens_per_ms
                            : settings_.default_prefill_tokens_per_ms;
    auto const uncached =
        request.prompt_tokens - std::min(request.prompt_tokens, cached_tokens);
    auto const output_tokens = request.expected_output_tokens == 0
                                   ? settings_.max_output_tokens
                                   : std::min(settings_.max_output_tokens,
                                              request.expected_output_tokens);
    route_cost cost;
    cost.reported_wait = summary.tiers[tier].expected_wait;
    cost.unreported_wait = unreported_wait(server, group, tier, unreported);
    cost.prefill = microseconds{std::uint64_t{uncached} * 1000U / per_ms};
    cost.decode = scaled(summary.between_tokens, output_tokens * load);
    cost.network = network_round_trip(summary.data_centre);
    cost.health_penalty = health_penalty(server, cost, now);
    return cost;
}

} // namespace medlarstall::routing
