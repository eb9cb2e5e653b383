#include <medlarstall/routing/spill_policy.hpp>

#include <algorithm>
#include <vector>

namespace medlarstall::routing {

namespace {

/// How likely an owner is to accept a request, in ascending order.
enum class acceptance_chance
{
    none,
    displaces_running,
    displaces_queued,
    has_free_slot
};

acceptance_chance
acceptance_chance_of(scheduling::backend_server_summary const& summary,
                     unsigned tier)
{
    std::uint32_t requests_ahead = summary.running;
    bool has_lower_queued = false;
    bool has_lower_running = false;
    for (unsigned i = 0; i < scheduling::max_tiers; ++i) {
        auto const& load = summary.tiers[i];
        requests_ahead += i <= tier ? load.queued : 0;
        has_lower_queued = has_lower_queued || (i > tier && load.queued > 0);
        has_lower_running = has_lower_running || (i > tier && load.running > 0);
    }
    if (requests_ahead < summary.limit) {
        return acceptance_chance::has_free_slot;
    }
    if (has_lower_queued) {
        return acceptance_chance::displaces_queued;
    }
    return has_lower_running ? acceptance_chance::displaces_running
                             : acceptance_chance::none;
}

bool can_run(backend_server_view const& server, route_query const& query)
{
    return server.loaded_models.empty() || query.request.model.empty() ||
           std::ranges::find(server.loaded_models, query.request.model) !=
               server.loaded_models.end();
}

} // namespace

spill_policy::spill_policy(spill_settings settings) : settings_{settings} {}

spill_decision spill_policy::decide(fleet_view const& view,
                                    route_query const& query,
                                    std::uint64_t random) const
{
    auto const* group = view.find_group(query.request.group);
    if (group == nullptr) {
        return {};
    }
    auto best = acceptance_chance::none;
    std::vector<server_number> candidates;
    for (auto const number : group->usable) {
        auto const& server = view.at(number);
        bool const refused =
            std::ranges::find(query.excluded_owners, server.summary.owner) !=
            query.excluded_owners.end();
        if (refused || !can_run(server, query)) {
            continue;
        }
        auto const chance =
            acceptance_chance_of(server.summary, query.request.tier);
        if (chance > best) {
            best = chance;
            candidates.clear();
        }
        if (chance == best && best != acceptance_chance::none) {
            candidates.push_back(number);
        }
    }
    if (candidates.empty()) {
        return {};
    }
    if (query.excluded_owners.size() >= settings_.max_consecutive_offers) {
        return {spill_action::pause, {}, {}, settings_.pause};
    }
    auto const& chosen =
        view.at(candidates[random % candidates.size()]).summary;
    return {spill_action::offer, chosen.owner, chosen.backend_server};
}

} // namespace medlarstall::routing
