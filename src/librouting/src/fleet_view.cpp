#include <medlarstall/routing/fleet_view.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace medlarstall::routing {

namespace {

bool is_available(backend_server_view const& server)
{
    return server.known && server.has_owner && !server.leaving &&
           !server.summary.leaving;
}

/// Which requests a backend server may get.
enum class permitted_requests
{
    none,
    probes_only,
    all
};

permitted_requests permitted_requests_of(backend_server_view const& server)
{
    if (!is_available(server) || server.health == health_state::ejected) {
        return permitted_requests::none;
    }
    return server.health == health_state::probing
               ? permitted_requests::probes_only
               : permitted_requests::all;
}

bool has_model(backend_server_view const& server, std::string_view model)
{
    return server.loaded_models.empty() ||
           std::ranges::find(server.loaded_models, model) !=
               server.loaded_models.end();
}

/// Returns whether a summary replaces the last one: it does if its backend
/// server or its owner is new, if its sequence number is higher, or if its
/// owner does not number summaries.
bool is_newer(backend_server_view const& server,
              scheduling::backend_server_summary const& summary)
{
    return !server.known || summary.sequence == 0 ||
           server.summary.owner != summary.owner ||
           summary.sequence > server.summary.sequence;
}

} // namespace

fleet_view::fleet_view(fleet_view_settings settings) : settings_{settings} {}

server_number fleet_view::find_or_add(std::string const& backend_server)
{
    auto const next = static_cast<server_number>(servers_.size());
    auto const [position, added] = numbers_.try_emplace(backend_server, next);
    if (added) {
        servers_.emplace_back();
    }
    return position->second;
}

server_number
fleet_view::apply_summary(scheduling::backend_server_summary const& summary,
                          time_point now)
{
    auto const number = find_or_add(summary.backend_server);
    auto& server = servers_[number];
    if (!is_newer(server, summary)) {
        return number;
    }
    bool const group_changed =
        server.known && server.summary.group != summary.group;
    if (group_changed) {
        remove_from_group(number);
    }
    auto const previous = permitted_requests_of(server);
    bool const joins_group = !server.known || group_changed;
    server.summary = summary;
    server.summary_received_at = now;
    server.has_owner = true;
    server.known = true;
    drop_reported_dispatches(server, now);
    if (joins_group) {
        add_to_group(number);
    }
    if (joins_group || previous != permitted_requests_of(server)) {
        update_usable_lists(summary.group);
    }
    return number;
}

void fleet_view::drop_reported_dispatches(backend_server_view& server,
                                          time_point now) const
{
    while (!server.unreported_dispatches.empty() &&
           server.unreported_dispatches.front().sent_at +
                   settings_.max_report_delay <=
               now) {
        server.unreported_dispatches.pop_front();
    }
}

std::optional<server_number> fleet_view::remove(std::string_view backend_server)
{
    auto const number = find(backend_server);
    if (!number) {
        return std::nullopt;
    }
    remove_from_group(*number);
    servers_[*number] = backend_server_view{};
    return number;
}

void fleet_view::add_to_group(server_number server)
{
    auto& members = groups_[servers_[server].summary.group].members;
    members.insert(std::ranges::lower_bound(members, server), server);
}

void fleet_view::remove_from_group(server_number server)
{
    auto const& group = servers_[server].summary.group;
    std::erase(groups_[group].members, server);
    servers_[server].known = false;
    update_usable_lists(group);
}

void fleet_view::update_usable_lists(std::string_view group)
{
    auto const found = groups_.find(group);
    if (found == groups_.end()) {
        return;
    }
    auto& view = found->second;
    view.usable.clear();
    view.probing.clear();
    for (auto const number : view.members) {
        switch (permitted_requests_of(servers_[number])) {
        case permitted_requests::all:
            view.usable.push_back(number);
            break;
        case permitted_requests::probes_only:
            view.probing.push_back(number);
            break;
        case permitted_requests::none:
            break;
        }
    }
    update_model_lists(view);
}

void fleet_view::update_model_lists(group_view& group) const
{
    group.usable_by_model.clear();
    for (auto const number : group.members) {
        for (auto const& model : servers_[number].loaded_models) {
            group.usable_by_model.try_emplace(model);
        }
    }
    for (auto& entry : group.usable_by_model) {
        for (auto const number : group.usable) {
            if (has_model(servers_[number], entry.first)) {
                entry.second.push_back(number);
            }
        }
    }
}

bool fleet_view::accepts_work(server_number number) const
{
    return is_available(servers_[number]);
}

void fleet_view::set_leaving(std::string_view backend_server, bool leaving)
{
    if (auto const number = find(backend_server)) {
        servers_[*number].leaving = leaving;
        update_usable_lists(servers_[*number].summary.group);
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
        update_usable_lists(server.summary.group);
    }
}

void fleet_view::set_loaded_models(std::string_view backend_server,
                                   std::vector<std::string> models)
{
    if (auto const number = find(backend_server)) {
        servers_[*number].loaded_models = std::move(models);
        update_usable_lists(servers_[*number].summary.group);
    }
}

void fleet_view::mark_owner_lost(std::string_view owner)
{
    for (auto& server : servers_) {
        if (server.known && server.summary.owner == owner) {
            server.has_owner = false;
        }
    }
    for (auto const& [name, group] : groups_) {
        update_usable_lists(name);
    }
}

void fleet_view::on_dispatch(server_number number, unsigned tier,
                             time_point now)
{
    auto& server = servers_[number];
    server.unreported_dispatches.push_back({now, tier});
    server.probe_due = false;
    auto& group = groups_[server.summary.group];
    std::chrono::duration<double> const window = settings_.rate_window;
    std::chrono::duration<double> const gap = now - group.rate_updated_at;
    group.own_dispatch_rate =
        group.own_dispatch_rate * std::exp(-gap / window) +
        1.0 / window.count();
    group.rate_updated_at = now;
}

void fleet_view::on_refusal(server_number number, unsigned tier)
{
    auto& unreported = servers_[number].unreported_dispatches;
    auto const latest = std::find_if(
        unreported.rbegin(), unreported.rend(),
        [&](auto const& dispatch) { return dispatch.tier == tier; });
    if (latest != unreported.rend()) {
        unreported.erase(std::next(latest).base());
    }
}

void fleet_view::on_finish(server_number number,
                           std::chrono::microseconds service_time)
{
    auto& mean = groups_[servers_[number].summary.group].mean_service_time;
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

group_view const* fleet_view::find_group(std::string_view group) const
{
    auto const found = groups_.find(group);
    return found == groups_.end() ? nullptr : &found->second;
}

} // namespace medlarstall::routing
