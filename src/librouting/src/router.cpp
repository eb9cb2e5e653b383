#include <medlarstall/routing/router.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <array>

namespace medlarstall::routing {

/// A backend server and the expected cost of the request there.
struct router::evaluated_server
{
    server_number server = 0;
    bool has_cached_prefix = false;
    std::uint32_t cached_tokens = 0;
    route_cost cost;

    /// \return true if the request would have to wait in a queue there
    [[nodiscard]] bool is_busy() const
    {
        return (cost.reported_wait + cost.unreported_wait).count() > 0;
    }
};

namespace {

/// Upper bound of the candidates that are taken from the prefix index.
constexpr std::size_t max_prefix_holders = 2;

template<class Range, class Value>
bool contains(Range const& range, Value const& value)
{
    return std::ranges::find(range, value) != std::ranges::end(range);
}

/// Returns how many tokens of the prompt are probably cached, given the number
/// of matching prefix hashes: the tokens that they cover, multiplied by the
/// confidence that the prefix is still cached.
std::uint32_t estimated_cached_tokens(route_query const& query,
                                      std::size_t depth, double confidence)
{
    if (query.prompt_bytes == 0 || depth == 0) {
        return 0;
    }
    double const fraction =
        std::min(1.0, static_cast<double>(prefix_bytes(depth)) /
                          static_cast<double>(query.prompt_bytes));
    return static_cast<std::uint32_t>(query.request.prompt_tokens * fraction *
                                      confidence);
}

std::uint64_t rendezvous_weight(std::string_view backend_server,
                                std::uint64_t fingerprint)
{
    return hash64(backend_server, fingerprint);
}

} // namespace

router::router(router_settings settings)
    : settings_{std::move(settings)}, view_{settings_.view},
      cost_model_{settings_.cost}, prefix_index_{settings_.prefixes},
      random_{settings_.seed}
{}

void router::apply_summary(scheduling::backend_server_summary const& summary,
                           time_point now)
{
    view_.apply_summary(summary, now);
}

void router::remove_backend_server(std::string_view backend_server)
{
    if (auto const server = view_.remove(backend_server)) {
        prefix_index_.remove_server(*server);
    }
}

void router::set_leaving(std::string_view backend_server, bool leaving)
{
    view_.set_leaving(backend_server, leaving);
}

void router::set_health(std::string_view backend_server, health_state state,
                        double slowdown)
{
    view_.set_health(backend_server, state, slowdown);
}

void router::set_loaded_models(std::string_view backend_server,
                               std::vector<std::string> models)
{
    view_.set_loaded_models(backend_server, std::move(models));
}

void router::set_daemon_count(std::uint32_t daemons)
{
    cost_model_.set_daemon_count(daemons);
}

void router::mark_owner_lost(std::string_view owner)
{
    view_.mark_owner_lost(owner);
}

std::uint64_t router::next_random()
{
    // The SplitMix64 generator.
    random_ += 0x9E3779B97F4A7C15U;
    auto z = random_;
    z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9U;
    z = (z ^ (z >> 27U)) * 0x94D049BB133111EBU;
    return z ^ (z >> 31U);
}

bool router::can_run(server_number server, route_query const& query) const
{
    auto const& view = view_.at(server);
    bool const excluded =
        contains(query.excluded_backend_servers, view.summary.backend_server) ||
        contains(query.excluded_owners, view.summary.owner);
    bool const loaded = view.loaded_models.empty() ||
                        query.request.model.empty() ||
                        contains(view.loaded_models, query.request.model);
    return !excluded && loaded;
}

router::evaluated_server router::evaluate(prefix_holder const& holder,
                                          group_view const& group,
                                          route_query const& query,
                                          time_point now) const
{
    auto const cached =
        estimated_cached_tokens(query, holder.depth, holder.confidence);
    return {
        holder.server, holder.depth > 0, cached,
        cost_model_.cost(view_.at(holder.server), group, query, cached, now)};
}

bool router::contains_server(std::vector<evaluated_server> const& pool,
                             server_number server)
{
    return std::ranges::find(pool, server, &evaluated_server::server) !=
           pool.end();
}

void router::evaluate_prefix_holders(std::vector<evaluated_server>& pool,
                                     group_view const& group,
                                     route_query const& query,
                                     time_point now) const
{
    std::array<prefix_holder, 2 * max_prefix_holders> holders;
    auto const count = prefix_index_.find_holders(query.prefixes, now, holders);
    for (auto const& holder : std::span{holders}.first(count)) {
        if (pool.size() < max_prefix_holders &&
            std::ranges::binary_search(group.usable, holder.server) &&
            can_run(holder.server, query)) {
            pool.push_back(evaluate(holder, group, query, now));
        }
    }
}

void router::evaluate_sample(std::vector<evaluated_server>& pool,
                             std::size_t size, group_view const& group,
                             route_query const& query, time_point now)
{
    auto const& usable = group.usable_for_model(query.request.model);
    if (usable.empty()) {
        return;
    }
    for (std::size_t tries = 3 * size; size > 0 && tries > 0; --tries) {
        auto const server = usable[next_random() % usable.size()];
        if (!contains_server(pool, server) && can_run(server, query)) {
            pool.push_back(evaluate({server}, group, query, now));
            --size;
        }
    }
}

void router::evaluate_all(std::vector<evaluated_server>& pool,
                          group_view const& group, route_query const& query,
                          time_point now) const
{
    for (auto const server : group.members) {
        if (view_.accepts_work(server) && can_run(server, query)) {
            pool.push_back(evaluate({server}, group, query, now));
        }
    }
}

std::optional<server_number>
router::find_due_probe(group_view const& group, route_query const& query) const
{
    if (!query.request.repeatable) {
        return std::nullopt;
    }
    for (auto const server : group.probing) {
        if (view_.at(server).probe_due && can_run(server, query)) {
            return server;
        }
    }
    return std::nullopt;
}

std::optional<server_number>
router::find_isolated_server(group_view const& group,
                             route_query const& query) const
{
    std::optional<server_number> best;
    std::uint64_t best_weight = 0;
    for (auto const server : group.usable_for_model(query.request.model)) {
        auto const weight = rendezvous_weight(
            view_.at(server).summary.backend_server, query.fingerprint);
        if (can_run(server, query) && (!best || weight > best_weight)) {
            best = server;
            best_weight = weight;
        }
    }
    return best;
}

route router::make_single_route(server_number server, route_reason reason,
                                group_view const& group,
                                route_query const& query, time_point now) const
{
    return make_route({evaluate({server}, group, query, now)}, reason);
}

route router::choose(route_query const& query, time_point now)
{
    auto const* group = view_.find_group(query.request.group);
    if (group == nullptr) {
        return {};
    }
    if (query.request.isolated) {
        if (auto const server = find_isolated_server(*group, query)) {
            return make_single_route(*server, route_reason::isolation, *group,
                                     query, now);
        }
    }
    if (auto const server = find_due_probe(*group, query)) {
        return make_single_route(*server, route_reason::probe, *group, query,
                                 now);
    }
    std::vector<evaluated_server> pool;
    pool.reserve(max_prefix_holders + settings_.sample_size +
                 settings_.busy_sample_size);
    evaluate_prefix_holders(pool, *group, query, now);
    evaluate_sample(pool, settings_.sample_size, *group, query, now);
    bool const all_busy = std::ranges::all_of(pool, &evaluated_server::is_busy);
    if (all_busy) {
        evaluate_sample(pool, settings_.busy_sample_size, *group, query, now);
    }
    if (!pool.empty()) {
        return make_route(pool, route_reason::least_cost);
    }
    evaluate_all(pool, *group, query, now);
    return make_route(pool, route_reason::last_resort);
}

route router::make_route(std::vector<evaluated_server> const& pool,
                         route_reason reason) const
{
    route result;
    if (pool.empty()) {
        return result;
    }
    result.candidates.reserve(pool.size());
    for (auto const& evaluated : pool) {
        auto const& summary = view_.at(evaluated.server).summary;
        result.candidates.push_back({summary.backend_server, summary.owner,
                                     evaluated.has_cached_prefix,
                                     evaluated.cached_tokens, evaluated.cost});
    }
    auto const best =
        std::ranges::min_element(pool, {}, [](evaluated_server const& server) {
            return server.cost.total();
        });
    result.chosen_index = static_cast<std::size_t>(best - pool.begin());
    result.reason = reason;
    if (reason == route_reason::least_cost && best->has_cached_prefix) {
        result.reason = route_reason::affinity;
    } else if (reason == route_reason::least_cost && pool.size() == 1) {
        result.reason = route_reason::only_candidate;
    }
    return result;
}

void router::on_dispatch(route_query const& query,
                         std::string_view backend_server, time_point now)
{
    if (auto const server = view_.find(backend_server)) {
        view_.on_dispatch(*server, query.request.tier, now);
        prefix_index_.store(*server, query.prefixes, now);
    }
}

void router::on_refusal(route_query const& query,
                        std::string_view backend_server)
{
    if (auto const server = view_.find(backend_server)) {
        view_.on_refusal(*server, query.request.tier);
    }
}

void router::on_finish(std::string_view backend_server,
                       std::chrono::microseconds service_time)
{
    if (auto const server = view_.find(backend_server)) {
        view_.on_finish(*server, service_time);
    }
}

void router::on_cache_event(std::string_view backend_server, prefix_hash prefix,
                            bool stored, time_point now)
{
    auto const server = view_.find(backend_server);
    if (!server) {
        return;
    }
    if (stored) {
        prefix_index_.store(*server, std::span{&prefix, 1}, now);
    } else {
        prefix_index_.remove(*server, prefix);
    }
}

void router::on_cache_events_lost(std::string_view backend_server,
                                  time_point now)
{
    if (auto const server = view_.find(backend_server)) {
        prefix_index_.mark_gap(*server, now);
    }
}

char const* name_of(route_reason reason)
{
    switch (reason) {
    case route_reason::least_cost:
        return "least-cost";
    case route_reason::affinity:
        return "affinity";
    case route_reason::only_candidate:
        return "only-candidate";
    case route_reason::probe:
        return "probe";
    case route_reason::isolation:
        return "isolation";
    case route_reason::last_resort:
        return "last-resort";
    case route_reason::none:
        return "none";
    }
    return "unknown";
}

} // namespace medlarstall::routing
