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

/// Requests of the tier and above that run or wait by the last summary.
double reported_ahead(scheduling::backend_server_summary const& summary,
                      unsigned tier)
{
    double ahead = 0;
    for (unsigned i = 0; i <= tier && i < scheduling::max_tiers; ++i) {
        ahead += summary.tiers[i].queued;
    }
    return ahead + summary.running;
}

double own_sent(backend_server_view const& server, unsigned tier)
{
    return static_cast<double>(
        std::ranges::count_if(server.unreported, [&](auto const& sent) {
            return sent.tier <= tier;
        }));
}

} // namespace

cost_model::cost_model(cost_settings settings) : settings_{std::move(settings)}
{}

void cost_model::set_daemons(std::uint32_t daemons)
{
    daemons_ = std::max(1U, daemons);
}

double cost_model::sent_by_others(backend_server_view const& server,
                                  group_view const& group, time_point now) const
{
    if (group.usable.empty()) {
        return 0;
    }
    seconds const age =
        std::min<duration>(now - server.summary_at, settings_.stale_after);
    double const rate = group.own_rate * (daemons_ - 1.0) /
                        static_cast<double>(group.usable.size());
    return rate * age.count();
}

microseconds cost_model::wait_for_sent(backend_server_view const& server,
                                       group_view const& group, unsigned tier,
                                       double sent) const
{
    auto const& summary = server.summary;
    double const limit = std::max(1U, summary.limit);
    double const ahead = reported_ahead(summary, tier);
    double const free = std::max(0.0, limit - ahead);
    double const overflow = std::max(0.0, sent + 1.0 - free);
    double const counted = std::min(overflow, sent + 1.0);
    return scaled(group.service_time, counted / limit);
}

microseconds cost_model::distance_to(std::string_view data_centre) const
{
    if (data_centre == settings_.data_centre) {
        return microseconds{0};
    }
    auto const found = settings_.distances.find(data_centre);
    return 2 * (found == settings_.distances.end() ? settings_.far_distance
                                                   : found->second);
}

microseconds cost_model::health_cost(backend_server_view const& server,
                                     route_cost const& cost,
                                     time_point now) const
{
    microseconds penalty{0};
    bool const demoted =
        server.health == health_state::demoted || server.summary.demoted;
    if (demoted) {
        auto const slower =
            scaled(cost.prefill + cost.decode, server.slowdown - 1.0);
        penalty += std::max<microseconds>(settings_.demotion, slower);
    }
    if (now - server.summary_at > settings_.stale_after) {
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
    double const sent =
        own_sent(server, tier) + sent_by_others(server, group, now);
    double const load = (summary.running + sent) / std::max(1U, summary.limit);
    auto const per_ms = summary.prefill_tokens_per_ms > 0
                            ? summary.prefill_tokens_per_ms
                            : settings_.prefill_tokens_per_ms;
    auto const uncached =
        request.prompt_tokens - std::min(request.prompt_tokens, cached_tokens);
    auto const output =
        request.expected_output_tokens == 0
            ? settings_.output_tokens
            : std::min(settings_.output_tokens, request.expected_output_tokens);
    route_cost cost;
    cost.wait = summary.tiers[tier].expected_wait;
    cost.sent = wait_for_sent(server, group, tier, sent);
    cost.prefill = microseconds{std::uint64_t{uncached} * 1000U / per_ms};
    cost.decode = scaled(summary.between_tokens, output * load);
    cost.distance = distance_to(summary.data_centre);
    cost.health = health_cost(server, cost, now);
    return cost;
}

} // namespace medlarstall::routing
