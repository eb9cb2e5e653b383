#include <medlarstall/routing/router.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <array>

namespace medlarstall::routing {

/// A backend server with its expected cost.
struct router::weighed
{
    server_number server = 0;
    bool affine = false;
    std::uint32_t cached_tokens = 0;
    route_cost cost;

    /// \return true if the request would wait there
    [[nodiscard]] bool busy() const
    {
        return (cost.wait + cost.sent).count() > 0;
    }
};

namespace {

constexpr std::size_t max_affine = 2;

template<class Range, class Value>
bool contains(Range const& range, Value const& value)
{
    return std::ranges::find(range, value) != std::ranges::end(range);
}

/// Tokens that a prefix of some hashes covers, discounted by its credit.
std::uint32_t tokens_of(route_query const& query, std::size_t depth,
                        double credit)
{
    if (query.prompt_bytes == 0 || depth == 0) {
        return 0;
    }
    double const part =
        std::min(1.0, static_cast<double>(prefix_bytes(depth)) /
                          static_cast<double>(query.prompt_bytes));
    return static_cast<std::uint32_t>(query.request.prompt_tokens * part *
                                      credit);
}

std::uint64_t rendezvous_weight(std::string_view backend_server,
                                std::uint64_t fingerprint)
{
    return hash64(backend_server, fingerprint);
}

} // namespace

router::router(router_settings settings)
    : settings_{std::move(settings)}, view_{settings_.view},
      costs_{settings_.cost}, prefixes_{settings_.prefixes},
      random_{settings_.seed}
{}

void router::take_summary(scheduling::backend_server_summary const& summary,
                          time_point now)
{
    view_.take(summary, now);
}

void router::forget(std::string_view backend_server)
{
    if (auto const server = view_.forget(backend_server)) {
        prefixes_.forget(*server);
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

void router::set_models(std::string_view backend_server,
                        std::vector<std::string> models)
{
    view_.set_models(backend_server, std::move(models));
}

void router::set_daemons(std::uint32_t daemons)
{
    costs_.set_daemons(daemons);
}

void router::lose_owner(std::string_view owner)
{
    view_.lose_owner(owner);
}

std::uint64_t router::next_random()
{
    // SplitMix64.
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
    bool const loaded = view.models.empty() || query.request.model.empty() ||
                        contains(view.models, query.request.model);
    return !excluded && loaded;
}

router::weighed router::weigh(prefix_holder const& holder,
                              group_view const& group, route_query const& query,
                              time_point now) const
{
    auto const cached = tokens_of(query, holder.depth, holder.credit);
    return {holder.server, holder.depth > 0, cached,
            costs_.cost(view_.at(holder.server), group, query, cached, now)};
}

bool router::weighed_already(std::vector<weighed> const& pool,
                             server_number server)
{
    return std::ranges::find(pool, server, &weighed::server) != pool.end();
}

void router::weigh_affine(std::vector<weighed>& pool, group_view const& group,
                          route_query const& query, time_point now) const
{
    std::array<prefix_holder, 2 * max_affine> holders;
    auto const count = prefixes_.find(query.prefixes, now, holders);
    for (auto const& holder : std::span{holders}.first(count)) {
        if (pool.size() < max_affine &&
            std::ranges::binary_search(group.usable, holder.server) &&
            can_run(holder.server, query)) {
            pool.push_back(weigh(holder, group, query, now));
        }
    }
}

void router::weigh_sample(std::vector<weighed>& pool, std::size_t size,
                          group_view const& group, route_query const& query,
                          time_point now)
{
    auto const& usable = group.usable_for(query.request.model);
    if (usable.empty()) {
        return;
    }
    for (std::size_t tries = 3 * size; size > 0 && tries > 0; --tries) {
        auto const server = usable[next_random() % usable.size()];
        if (!weighed_already(pool, server) && can_run(server, query)) {
            pool.push_back(weigh({server}, group, query, now));
            --size;
        }
    }
}

void router::weigh_all(std::vector<weighed>& pool, group_view const& group,
                       route_query const& query, time_point now) const
{
    for (auto const server : group.members) {
        if (view_.takes_work(server) && can_run(server, query)) {
            pool.push_back(weigh({server}, group, query, now));
        }
    }
}

std::optional<server_number> router::due_probe(group_view const& group,
                                               route_query const& query) const
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
router::isolated_server(group_view const& group, route_query const& query) const
{
    std::optional<server_number> best;
    std::uint64_t best_weight = 0;
    for (auto const server : group.usable_for(query.request.model)) {
        auto const weight = rendezvous_weight(
            view_.at(server).summary.backend_server, query.fingerprint);
        if (can_run(server, query) && (!best || weight > best_weight)) {
            best = server;
            best_weight = weight;
        }
    }
    return best;
}

route router::only(server_number server, route_reason reason,
                   group_view const& group, route_query const& query,
                   time_point now) const
{
    return finish({weigh({server}, group, query, now)}, reason);
}

route router::choose(route_query const& query, time_point now)
{
    auto const* group = view_.group(query.request.group);
    if (group == nullptr) {
        return {};
    }
    if (query.request.isolated) {
        if (auto const server = isolated_server(*group, query)) {
            return only(*server, route_reason::isolation, *group, query, now);
        }
    }
    if (auto const server = due_probe(*group, query)) {
        return only(*server, route_reason::probe, *group, query, now);
    }
    std::vector<weighed> pool;
    pool.reserve(max_affine + settings_.sample + settings_.busy_sample);
    weigh_affine(pool, *group, query, now);
    weigh_sample(pool, settings_.sample, *group, query, now);
    bool const all_busy = std::ranges::all_of(pool, &weighed::busy);
    if (all_busy) {
        weigh_sample(pool, settings_.busy_sample, *group, query, now);
    }
    if (!pool.empty()) {
        return finish(pool, route_reason::least_cost);
    }
    weigh_all(pool, *group, query, now);
    return finish(pool, route_reason::last_resort);
}

route router::finish(std::vector<weighed> const& pool,
                     route_reason reason) const
{
    route result;
    if (pool.empty()) {
        return result;
    }
    result.candidates.reserve(pool.size());
    for (auto const& w : pool) {
        auto const& summary = view_.at(w.server).summary;
        result.candidates.push_back({summary.backend_server, summary.owner,
                                     w.affine, w.cached_tokens, w.cost});
    }
    auto const best = std::ranges::min_element(
        pool, {}, [](weighed const& w) { return w.cost.total(); });
    result.choice = static_cast<std::size_t>(best - pool.begin());
    result.reason = reason;
    if (reason == route_reason::least_cost && best->affine) {
        result.reason = route_reason::affinity;
    } else if (reason == route_reason::least_cost && pool.size() == 1) {
        result.reason = route_reason::only_candidate;
    }
    return result;
}

void router::note_dispatch(route_query const& query,
                           std::string_view backend_server, time_point now)
{
    if (auto const server = view_.find(backend_server)) {
        view_.note_dispatch(*server, query.request.tier, now);
        prefixes_.store(*server, query.prefixes, now);
    }
}

void router::note_refusal(route_query const& query,
                          std::string_view backend_server)
{
    if (auto const server = view_.find(backend_server)) {
        view_.note_refusal(*server, query.request.tier);
    }
}

void router::note_finish(std::string_view backend_server,
                         std::chrono::microseconds service_time)
{
    if (auto const server = view_.find(backend_server)) {
        view_.note_finish(*server, service_time);
    }
}

void router::take_cache_event(std::string_view backend_server,
                              prefix_hash prefix, bool stored, time_point now)
{
    auto const server = view_.find(backend_server);
    if (!server) {
        return;
    }
    if (stored) {
        prefixes_.store(*server, std::span{&prefix, 1}, now);
    } else {
        prefixes_.remove(*server, prefix);
    }
}

void router::take_cache_gap(std::string_view backend_server, time_point now)
{
    if (auto const server = view_.find(backend_server)) {
        prefixes_.mark_gap(*server, now);
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
