#include "medlarstall_fleet.hpp"

#include <medlarstall/support/digest.hpp>

#include <algorithm>

namespace medlarstall::bench {

namespace {

using namespace std::chrono_literals;

constexpr duration local_delay = 250us;
constexpr duration far_delay = 1500us;
constexpr duration summary_period = 100ms;
constexpr std::uint32_t prefill_tokens_per_ms = 10;

std::string daemon_name(std::size_t number)
{
    return "d" + std::to_string(number);
}

std::string data_centre_name(std::size_t number)
{
    return "dc" + std::to_string(number);
}

} // namespace

std::vector<routing::prefix_hash>
medlarstall_fleet::prefixes_of(std::uint32_t document)
{
    std::vector<routing::prefix_hash> hashes;
    constexpr std::size_t depth = 4; // 2,048 bytes: one document.
    for (std::size_t i = 0; document > 0 && i < depth; ++i) {
        hashes.push_back(
            hash64(std::to_string(document) + "/" + std::to_string(i)));
    }
    return hashes;
}

medlarstall_fleet::medlarstall_fleet(event_queue& events, backend_pool& pool,
                                     recorder& record,
                                     std::vector<arrival> const& arrivals,
                                     site const& place, std::uint64_t seed)
    : events_{events}, pool_{pool}, record_{record}, arrivals_{arrivals},
      place_{place}, random_{seed}, daemons_(place.daemons),
      owner_of_(pool.members.size()), calls_(arrivals.size())
{
    for (std::size_t d = 0; d < daemons_.size(); ++d) {
        start_daemon(d);
    }
    for (std::size_t s = 0; s < pool_.members.size(); ++s) {
        auto& engine = *pool_.members[s].engine;
        engine.on_token = [this](std::uint64_t id, std::uint32_t made,
                                 bool end) {
            token(id, made, end);
        };
        engine.on_cache = [this, s](std::uint32_t document, bool stored) {
            cache_event(s, document, stored);
        };
        own(s, s % daemons_.size());
    }
    send_summaries();
    report_loads();
    share_usage();
    evaluate_health();
}

void medlarstall_fleet::start_daemon(std::size_t number)
{
    auto& d = daemons_[number];
    scheduling::scheduler_settings settings;
    settings.owner = daemon_name(number);
    d.owner = std::make_unique<scheduling::owner_scheduler>(settings);
    d.data_centre = number % place_.data_centres;
    routing::router_settings routes;
    routes.cost.data_centre = data_centre_name(d.data_centre);
    routes.cost.default_prefill_tokens_per_ms = prefill_tokens_per_ms;
    routes.seed = random_();
    d.router = std::make_unique<routing::router>(routes);
    d.router->set_daemon_count(static_cast<std::uint32_t>(daemons_.size()));
    routing::health_settings health;
    health.prefill_tokens_per_ms = prefill_tokens_per_ms;
    d.health = routing::health_monitor{health};
    for (auto const& member : pool_.members) {
        d.health.add(member.id, member.group);
    }
    d.retries = routing::retry_policy{};
    d.hedges = routing::hedge_policy{};
    ++d.epoch;
    d.lost = false;
    scheduling::action_list actions;
    d.owner->apply_catalogue(make_catalogue(place_), events_.now(), actions);
    act(number, actions);
}

void medlarstall_fleet::own(std::size_t server, std::size_t owner)
{
    owner_of_[server] = owner;
    auto const& member = pool_.members[server];
    scheduling::action_list actions;
    bool const demoted = daemons_[owner].health.state_of(member.id) ==
                         routing::health_state::demoted;
    daemons_[owner].owner->add_backend_server(
        {member.id,
         member.group,
         data_centre_name(member.data_centre),
         {},
         demoted},
        events_.now(), actions);
    act(owner, actions);
}

std::size_t medlarstall_fleet::server_number(std::string const& id) const
{
    return std::stoul(id.substr(1));
}

std::size_t medlarstall_fleet::daemon_number(std::string const& name) const
{
    return std::stoul(name.substr(1));
}

duration medlarstall_fleet::delay(std::size_t from, std::size_t to) const
{
    if (from == to) {
        return duration{0};
    }
    return daemons_[from].data_centre == daemons_[to].data_centre ? local_delay
                                                                  : far_delay;
}

duration medlarstall_fleet::server_delay(std::size_t daemon,
                                         std::size_t server) const
{
    return daemons_[daemon].data_centre == pool_.members[server].data_centre
               ? local_delay
               : far_delay;
}

void medlarstall_fleet::submit(std::size_t call)
{
    auto& state = calls_[call];
    state = call_state{};
    auto const& what = arrivals_[call];
    do {
        state.entry = random_() % daemons_.size();
    } while (daemons_[state.entry].lost);
    auto const entries = make_catalogue(place_);
    auto const& c = entries.classes.at(class_names()[what.service_class]).value;
    auto& request = state.request;
    request.organisation = organisation_name(what.organisation);
    request.service_class = c.name;
    request.tier = c.tier;
    request.group = what.plain_service ? "services" : "engines";
    request.prompt_tokens = what.prompt_tokens;
    request.arrived = events_.now();
    request.deadline = events_.now() + c.deadline;
    request.targets = c.targets;
    request.repeatable = !what.plain_service;
    request.resumable = !what.plain_service;
    state.prefixes = prefixes_of(what.document);
    daemons_[state.entry].retries.on_request();
    daemons_[state.entry].hedges.on_request();
    route(call);
}

routing::route
medlarstall_fleet::choose(std::size_t call,
                          std::vector<std::string> const& excluded)
{
    auto& state = calls_[call];
    routing::route_query query{
        state.request, state.prefixes,
        std::size_t{state.request.prompt_tokens} * bytes_per_token, excluded};
    query.fingerprint = call;
    return daemons_[state.entry].router->choose(query, events_.now());
}

void medlarstall_fleet::route(std::size_t call)
{
    auto& state = calls_[call];
    if (record_.over(call) || daemons_[state.entry].lost) {
        return;
    }
    auto const level = quarantine_.suspicion_of(call, events_.now());
    if (level == routing::suspicion::refused) {
        record_.refused(call);
        return;
    }
    state.request.isolated = level != routing::suspicion::none;
    auto const chosen = choose(call, state.excluded);
    if (chosen.chosen() == nullptr) {
        events_.schedule_after(summary_period, [this, call] { route(call); });
        return;
    }
    ++counts_[std::string{"route-"} + name_of(chosen.reason)];
    send(call, chosen.chosen()->owner, chosen.chosen()->backend_server);
}

void medlarstall_fleet::send(std::size_t call, std::string const& owner,
                             std::string const& backend_server)
{
    auto& state = calls_[call];
    auto const number = daemon_number(owner);
    std::uint64_t const id = attempts_.size();
    attempt made;
    made.call = call;
    made.owner = number;
    made.owner_epoch = daemons_[number].epoch;
    made.made = state.made;
    made.dispatched = events_.now();
    attempts_.push_back(made);
    state.attempts.push_back(id);
    auto request = state.request;
    request.id = id;
    request.preferred_backend_server = backend_server;
    routing::route_query const query{state.request, state.prefixes};
    auto& entry = daemons_[state.entry];
    entry.router->on_dispatch(query, backend_server, events_.now());
    events_.schedule_after(delay(state.entry, number), [this, id, request] {
        auto const& a = attempts_[id];
        if (!a.open || !owned(a)) {
            return;
        }
        scheduling::action_list actions;
        if (!daemons_[a.owner].owner->enqueue(request, events_.now(),
                                              actions)) {
            ++counts_["id-in-use"];
        }
        act(a.owner, actions);
    });
    if (!state.hedged) {
        schedule_hedge(call, id);
    }
}

void medlarstall_fleet::schedule_hedge(std::size_t call, std::uint64_t id)
{
    auto const& state = calls_[call];
    auto const wait = daemons_[state.entry].hedges.hedge_delay(state.request);
    if (wait) {
        events_.schedule_after(*wait, [this, call, id] { hedge(call, id); });
    }
}

void medlarstall_fleet::hedge(std::size_t call, std::uint64_t id)
{
    auto& state = calls_[call];
    auto const& a = attempts_[id];
    auto& entry = daemons_[state.entry];
    bool const late = a.open && !state.hedged && !entry.lost &&
                      a.last_token == time_point{} && a.made == 0;
    if (!late || !a.running) {
        return;
    }
    auto excluded = state.excluded;
    excluded.push_back(pool_.members[a.server].id);
    auto const second = choose(call, excluded);
    if (second.chosen() == nullptr) {
        return;
    }
    auto const& cost = second.chosen()->cost;
    auto const waited = std::chrono::duration_cast<std::chrono::microseconds>(
        events_.now() - a.dispatched);
    if (entry.hedges.should_hedge(state.request, waited,
                                  cost.reported_wait + cost.unreported_wait,
                                  events_.now())) {
        ++counts_["hedges"];
        state.hedged = true;
        send(call, second.chosen()->owner, second.chosen()->backend_server);
    }
}

void medlarstall_fleet::close(std::uint64_t id)
{
    auto& a = attempts_[id];
    a.open = false;
    a.running = false;
    std::erase(calls_[a.call].attempts, id);
}

void medlarstall_fleet::cancel(std::uint64_t id)
{
    auto& a = attempts_[id];
    if (!a.open) {
        return;
    }
    if (a.running) {
        pool_.members[a.server].engine->cancel(id, false);
    }
    bool const has_owner = owned(a);
    close(id);
    if (has_owner) {
        scheduling::action_list actions;
        daemons_[a.owner].owner->cancelled(id, events_.now(), actions);
        act(a.owner, actions);
    }
}

void medlarstall_fleet::abandon(std::size_t call)
{
    auto const open = calls_[call].attempts;
    for (auto const id : open) {
        cancel(id);
    }
    record_.refused(call);
}

void medlarstall_fleet::refused(std::uint64_t id, scheduling::refusal reason)
{
    auto const& a = attempts_[id];
    if (!a.open) {
        return;
    }
    auto const call = a.call;
    auto const owner = daemon_name(a.owner);
    close(id);
    ++counts_[std::string{"refused-"} + to_string(reason)];
    if (!calls_[call].attempts.empty()) {
        return; // The other attempt of a hedge goes on.
    }
    switch (reason) {
    case scheduling::refusal::queue_full:
    case scheduling::refusal::deadline:
        calls_[call].refused_owners.push_back(owner);
        spill(call);
        return;
    case scheduling::refusal::organisation_limit:
        record_.refused(call);
        return;
    case scheduling::refusal::no_backend_server:
    case scheduling::refusal::draining:
        retry(call, routing::run_state::not_run);
        return;
    }
}

void medlarstall_fleet::spill(std::size_t call)
{
    auto& state = calls_[call];
    if (record_.over(call) || daemons_[state.entry].lost) {
        return;
    }
    routing::route_query query{state.request};
    query.excluded_owners = state.refused_owners;
    auto const next =
        spill_.decide(daemons_[state.entry].router->view(), query, random_());
    switch (next.action) {
    case routing::spill_action::offer:
        ++counts_["spill-offer"];
        send(call, next.owner, next.backend_server);
        return;
    case routing::spill_action::pause:
        state.refused_owners.clear();
        events_.schedule_after(next.delay, [this, call] { spill(call); });
        return;
    case routing::spill_action::shed:
        ++counts_["shed-" + state.request.service_class];
        record_.refused(call);
        return;
    }
}

void medlarstall_fleet::retry(std::size_t call, routing::run_state ran)
{
    auto& state = calls_[call];
    auto& entry = daemons_[state.entry];
    if (record_.over(call) || entry.lost) {
        return;
    }
    auto const next = entry.retries.decide(state.request, ran, state.history,
                                           random_(), events_.now());
    switch (next.action) {
    case routing::retry_action::retry_now:
        route(call);
        return;
    case routing::retry_action::retry_later:
        ++counts_["retries"];
        events_.schedule_after(next.delay, [this, call] { route(call); });
        return;
    case routing::retry_action::wait_for_budget:
        ++counts_["retries-without-budget"];
        events_.schedule_after(next.delay,
                               [this, call, ran] { retry(call, ran); });
        return;
    case routing::retry_action::give_up:
        ++counts_["gave-up"];
        record_.broken(call);
        return;
    }
}

} // namespace medlarstall::bench
