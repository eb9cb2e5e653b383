#include <medlarstall/routing/fleet_view.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace medlarstall::routing {

namespace {

bool takes_any_work(backend_server_view const& server)
{
    return server.known && server.owned && !server.leaving &&
           !server.summary.leaving;
}

/// What a backend server may get.
enum class share_of_work
{
    none,
    probes,
    all
};

share_of_work share_of(backend_server_view const& server)
{
    if (!takes_any_work(server) || server.health == health_state::ejected) {
        return share_of_work::none;
    }
    return server.health == health_state::probing ? share_of_work::probes
                                                  : share_of_work::all;
}

bool runs_model(backend_server_view const& server, std::string_view model)
{
    return server.models.empty() ||
           std::ranges::find(server.models, model) != server.models.end();
}

/// A summary is news if its owner is new, its sequence is higher, or its owner
/// does not number summaries.
bool is_news(backend_server_view const& server,
             scheduling::backend_server_summary const& summary)
{
    return !server.known || summary.sequence == 0 ||
           server.summary.owner != summary.owner ||
           summary.sequence > server.summary.sequence;
}

} // namespace

fleet_view::fleet_view(fleet_view_settings settings) : settings_{settings} {}

server_number fleet_view::number_of(std::string const& backend_server)
{
    auto const next = static_cast<server_number>(servers_.size());
    auto const [place, added] = numbers_.try_emplace(backend_server, next);
    if (added) {
        servers_.emplace_back();
    }
    return place->second;
}

server_number
fleet_view::take(scheduling::backend_server_summary const& summary,
                 time_point now)
{
    auto const number = number_of(summary.backend_server);
    auto& server = servers_[number];
    if (!is_news(server, summary)) {
        return number;
    }
    bool const regrouped =
        server.known && server.summary.group != summary.group;
    if (regrouped) {
        leave_group(number);
    }
    auto const former = share_of(server);
    bool const joins = !server.known || regrouped;
    server.summary = summary;
    server.summary_at = now;
    server.owned = true;
    server.known = true;
    drop_reported(server, now);
    if (joins) {
        join_group(number);
    }
    if (joins || former != share_of(server)) {
        refresh(summary.group);
    }
    return number;
}

void fleet_view::drop_reported(backend_server_view& server,
                               time_point now) const
{
    while (!server.unreported.empty() &&
           server.unreported.front().sent + settings_.reflection <= now) {
        server.unreported.pop_front();
    }
}

std::optional<server_number> fleet_view::forget(std::string_view backend_server)
{
    auto const number = find(backend_server);
    if (!number) {
        return std::nullopt;
    }
    leave_group(*number);
    servers_[*number] = backend_server_view{};
    return number;
}

void fleet_view::join_group(server_number server)
{
    auto& members = groups_[servers_[server].summary.group].members;
    members.insert(std::ranges::lower_bound(members, server), server);
}

void fleet_view::leave_group(server_number server)
{
    auto const& group = servers_[server].summary.group;
    std::erase(groups_[group].members, server);
    servers_[server].known = false;
    refresh(group);
}

void fleet_view::refresh(std::string_view group)
{
    auto const found = groups_.find(group);
    if (found == groups_.end()) {
        return;
    }
    auto& view = found->second;
    view.usable.clear();
    view.probing.clear();
    for (auto const number : view.members) {
        switch (share_of(servers_[number])) {
        case share_of_work::all:
            view.usable.push_back(number);
            break;
        case share_of_work::probes:
            view.probing.push_back(number);
            break;
        case share_of_work::none:
            break;
        }
    }
    refresh_models(view);
}

void fleet_view::refresh_models(group_view& group) const
{
    group.usable_by_model.clear();
    for (auto const number : group.members) {
        for (auto const& model : servers_[number].models) {
            group.usable_by_model.try_emplace(model);
        }
    }
    for (auto& entry : group.usable_by_model) {
        for (auto const number : group.usable) {
            if (runs_model(servers_[number], entry.first)) {
                entry.second.push_back(number);
            }
        }
    }
}

bool fleet_view::takes_work(server_number number) const
{
    return takes_any_work(servers_[number]);
}

void fleet_view::set_leaving(std::string_view backend_server, bool leaving)
{
    if (auto const number = find(backend_server)) {
        servers_[*number].leaving = leaving;
        refresh(servers_[*number].summary.group);
    }
}

void fleet_view::set_health(std::string_view backend_server, health_state state,
                            double slowdown)
{
    if (auto const number = find(backend_server)) {
        auto& server = servers_[*number];
        server.health = state;
        server.slowdown = std::max(1.0, slowdown);
        server.probe_due = state == health_state::probing;
        refresh(server.summary.group);
    }
}

void fleet_view::set_models(std::string_view backend_server,
                            std::vector<std::string> models)
{
    if (auto const number = find(backend_server)) {
        servers_[*number].models = std::move(models);
        refresh(servers_[*number].summary.group);
    }
}

void fleet_view::lose_owner(std::string_view owner)
{
    for (auto& server : servers_) {
        if (server.known && server.summary.owner == owner) {
            server.owned = false;
        }
    }
    for (auto const& [name, group] : groups_) {
        refresh(name);
    }
}

void fleet_view::note_dispatch(server_number number, unsigned tier,
                               time_point now)
{
    auto& server = servers_[number];
    server.unreported.push_back({now, tier});
    server.probe_due = false;
    auto& group = groups_[server.summary.group];
    std::chrono::duration<double> const window = settings_.rate_window;
    std::chrono::duration<double> const gap = now - group.rate_at;
    group.own_rate =
        group.own_rate * std::exp(-gap / window) + 1.0 / window.count();
    group.rate_at = now;
}

void fleet_view::note_refusal(server_number number, unsigned tier)
{
    auto& unreported = servers_[number].unreported;
    auto const latest =
        std::find_if(unreported.rbegin(), unreported.rend(),
                     [&](auto const& sent) { return sent.tier == tier; });
    if (latest != unreported.rend()) {
        unreported.erase(std::next(latest).base());
    }
}

void fleet_view::note_finish(server_number number,
                             std::chrono::microseconds service_time)
{
    auto& mean = groups_[servers_[number].summary.group].service_time;
    auto const change = (service_time - mean) * settings_.service_time_weight;
    mean += std::chrono::duration_cast<std::chrono::microseconds>(change);
}

std::optional<server_number>
fleet_view::find(std::string_view backend_server) const
{
    auto const found = numbers_.find(backend_server);
    if (found == numbers_.end() || !servers_[found->second].known) {
        return std::nullopt;
    }
    return found->second;
}

group_view const* fleet_view::group(std::string_view group) const
{
    auto const found = groups_.find(group);
    return found == groups_.end() ? nullptr : &found->second;
}

} // namespace medlarstall::routing
