#include <medlarstall/routing/spill_policy.hpp>

#include <algorithm>
#include <vector>

namespace medlarstall::routing {

namespace {

/// How likely an owner is to take a request; the best comes last.
enum class prospect
{
    none,
    displaces_running,
    displaces_queued,
    has_room
};

prospect prospect_of(scheduling::backend_server_summary const& summary,
                     unsigned tier)
{
    std::uint32_t ahead = summary.running;
    bool lower_queued = false;
    bool lower_running = false;
    for (unsigned i = 0; i < scheduling::max_tiers; ++i) {
        auto const& load = summary.tiers[i];
        ahead += i <= tier ? load.queued : 0;
        lower_queued = lower_queued || (i > tier && load.queued > 0);
        lower_running = lower_running || (i > tier && load.running > 0);
    }
    if (ahead < summary.limit) {
        return prospect::has_room;
    }
    if (lower_queued) {
        return prospect::displaces_queued;
    }
    return lower_running ? prospect::displaces_running : prospect::none;
}

bool can_run(backend_server_view const& server, route_query const& query)
{
    return server.models.empty() || query.request.model.empty() ||
           std::ranges::find(server.models, query.request.model) !=
               server.models.end();
}

} // namespace

spill_policy::spill_policy(spill_settings settings) : settings_{settings} {}

spill_decision spill_policy::decide(fleet_view const& view,
                                    route_query const& query,
                                    std::uint64_t random) const
{
    auto const* group = view.group(query.request.group);
    if (group == nullptr) {
        return {};
    }
    auto best = prospect::none;
    std::vector<server_number> offers;
    for (auto const number : group->usable) {
        auto const& server = view.at(number);
        bool const refused =
            std::ranges::find(query.excluded_owners, server.summary.owner) !=
            query.excluded_owners.end();
        if (refused || !can_run(server, query)) {
            continue;
        }
        auto const outlook = prospect_of(server.summary, query.request.tier);
        if (outlook > best) {
            best = outlook;
            offers.clear();
        }
        if (outlook == best && best != prospect::none) {
            offers.push_back(number);
        }
    }
    if (offers.empty()) {
        return {};
    }
    if (query.excluded_owners.size() >= settings_.hops) {
        return {spill_action::pause, {}, {}, settings_.pause};
    }
    auto const& chosen = view.at(offers[random % offers.size()]).summary;
    return {spill_action::offer, chosen.owner, chosen.backend_server};
}

} // namespace medlarstall::routing
