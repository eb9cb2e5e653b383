#include <medlarstall/placement/placement_planner.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::placement {

placement_planner::placement_planner(planner_settings settings)
    : settings_{std::move(settings)}, fences_{holder(), settings_.leases},
      budget_{settings_.weights}
{}

std::string placement_planner::holder() const
{
    return settings_.daemon + "/" + settings_.instance;
}

void placement_planner::set_engines(std::vector<owned_engine> engines,
                                    time_point now)
{
    std::map<std::string, engine> kept;
    for (auto& owned : engines) {
        auto& one = kept[owned.id];
        auto const found = engines_.find(owned.id);
        if (found != engines_.end()) {
            one = std::move(found->second);
        }
        one.owned = std::move(owned);
        auto const& wanted = one.owned.wanted;
        std::erase_if(one.missing, [&wanted](auto const& item) {
            return !wanted.contains(item.first);
        });
        std::erase_if(one.placed, [&wanted](auto const& item) {
            return !wanted.contains(item);
        });
        for (auto const& item : wanted) {
            if (!one.placed.contains(item)) {
                one.missing.try_emplace(item, missing_item{.since = now});
            }
        }
    }
    engines_ = std::move(kept);
}

void placement_planner::on_record(std::uint64_t offset,
                                  placement_record const& record,
                                  wall_time written, time_point now)
{
    if (auto const* fence = std::get_if<fence_record>(&record)) {
        fences_.on_record(offset, *fence, now);
        return;
    }
    budget_.on_ticket(std::get<ticket_record>(record), written, now);
}

bool placement_planner::shows(engine_report const& report,
                              placement_item const& item)
{
    switch (item.kind) {
    case order_kind::load_model:
        return report.models.contains(item.model);
    case order_kind::load_version:
        return report.models.contains(item.model + "@" + item.variant);
    case order_kind::load_adapter:
        return report.models.contains(item.model + "+" + item.variant);
    case order_kind::set_role:
        return report.role == item.variant;
    }
    return false;
}

/// Tells whether the engine does not report versions or adapters at all, so
/// that the order that it took is all that can be known.
bool placement_planner::is_silent(engine_report const& report,
                                  placement_item const& item)
{
    bool const reported_apart = item.kind == order_kind::load_version ||
                                item.kind == order_kind::load_adapter;
    auto const prefixes = {item.model + "@", item.model + "+"};
    return reported_apart && report.models.contains(item.model) &&
           std::ranges::none_of(report.models, [&](std::string const& name) {
               return std::ranges::any_of(prefixes,
                                          [&name](std::string const& prefix) {
                                              return name.starts_with(prefix);
                                          });
           });
}

void placement_planner::on_report(std::string const& backend_server,
                                  engine_report const& report, time_point asked)
{
    auto const found = engines_.find(backend_server);
    if (found == engines_.end()) {
        return;
    }
    auto& one = found->second;
    for (auto const& item : one.owned.wanted) {
        auto const state = one.missing.find(item);
        if (state != one.missing.end()) {
            bool const taken = state->second.was_ordered &&
                               asked > state->second.ordered &&
                               is_silent(report, item);
            if (shows(report, item) || taken) {
                one.missing.erase(state);
                one.placed.insert(item);
            }
        } else if (!shows(report, item) && !is_silent(report, item)) {
            one.placed.erase(item);
            one.missing.emplace(item, missing_item{.since = asked});
        }
    }
}

void placement_planner::on_refused(std::string const& backend_server)
{
    auto const found = engines_.find(backend_server);
    if (found != engines_.end()) {
        found->second.refused = true;
    }
}

planner_actions placement_planner::tick(time_point now)
{
    planner_actions actions;
    add_fences(now, actions);
    for (auto& [id, one] : engines_) {
        add_orders(one, now, actions);
    }
    return actions;
}

/// Takes, in one record, all engines that need an order and are not held, or
/// whose lease runs out.
void placement_planner::add_fences(time_point now, planner_actions& actions)
{
    fence_record record{.holder = holder()};
    for (auto& [id, one] : engines_) {
        bool const settled =
            std::ranges::any_of(one.missing, [&](auto const& item) {
                return now - item.second.since >= settings_.settle;
            });
        bool const renew =
            !one.owned.checks_fencing && fences_.needs_renewal(id, now);
        bool const held = fences_.holds(id) && !one.refused && !renew;
        bool const waits =
            one.fence_was_sent && now - one.fence_sent < settings_.append_retry;
        if (!settled || held || waits) {
            continue;
        }
        one.fence_sent = now;
        one.fence_was_sent = true;
        one.refused = false;
        record.backend_servers.push_back(id);
    }
    if (!record.backend_servers.empty()) {
        fences_.on_append(record, now);
        actions.appends.emplace_back(std::move(record));
    }
}

void placement_planner::add_orders(engine& one, time_point now,
                                   planner_actions& actions)
{
    auto const& id = one.owned.id;
    for (auto& [item, state] : one.missing) {
        if (now - state.since < settings_.settle) {
            continue;
        }
        if (state.was_ordered && now - state.ordered < settings_.order_retry) {
            continue;
        }
        if (!fences_.may_order(id, one.owned.checks_fencing, now)) {
            tell_wait(one, item,
                      fences_.holds(id) ? "the former lease is not over"
                                        : "no fencing number yet",
                      actions);
            continue;
        }
        if (!has_turn(one, item, state, now, actions)) {
            continue;
        }
        state.order_id = settings_.daemon + "-" + settings_.instance + "-" +
                         std::to_string(++next_id_);
        state.ordered = now;
        bool const again = std::exchange(state.was_ordered, true);
        one.last_wait.clear();
        auto const fencing = fences_.fencing(id);
        actions.orders.push_back({id, state.order_id, fencing, item});
        actions.decisions.push_back(
            {id, item, "order",
             again ? "the report does not show it" : "the catalogue wants it",
             fencing});
    }
}

/// Loads take turns at the weight store; a change of role does not.
bool placement_planner::has_turn(engine& one, placement_item const& item,
                                 missing_item& state, time_point now,
                                 planner_actions& actions)
{
    if (item.kind == order_kind::set_role) {
        return true;
    }
    auto const turn = budget_.turn_of(state.ticket);
    if (turn && *turn <= now) {
        budget_.take(state.ticket);
        state.ticket.clear();
        return true;
    }
    bool const lost = !turn && !state.ticket.empty() &&
                      now - state.ticket_sent >= settings_.append_retry;
    if (state.ticket.empty() || lost) {
        state.ticket = settings_.daemon + "-" + settings_.instance + "-t" +
                       std::to_string(++next_id_);
        state.ticket_sent = now;
        actions.appends.emplace_back(
            ticket_record{settings_.daemon, state.ticket});
    }
    tell_wait(one, item, "waits for its turn at the weight store", actions);
    return false;
}

void placement_planner::tell_wait(engine& one, placement_item const& item,
                                  std::string const& reason,
                                  planner_actions& actions)
{
    if (one.last_wait != reason) {
        one.last_wait = reason;
        actions.decisions.push_back({one.owned.id, item, "wait", reason,
                                     fences_.fencing(one.owned.id)});
    }
}

} // namespace medlarstall::placement
