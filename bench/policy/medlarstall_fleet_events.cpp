#include "medlarstall_fleet.hpp"

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <iostream>

namespace medlarstall::bench {

namespace {

using namespace std::chrono_literals;

constexpr duration summary_period = 100ms;
constexpr duration report_period = 500ms;
constexpr std::size_t report_age = 4; ///< In periods.
constexpr duration lost_after = 2s;
constexpr duration cache_event_delay = 1s;
constexpr std::uint64_t lost_cache_event = 10; ///< One in so many.

std::chrono::microseconds micro(duration time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time);
}

} // namespace

bool medlarstall_fleet::owned(attempt const& a) const
{
    auto const& owner = daemons_[a.owner];
    return !owner.lost && owner.epoch == a.owner_epoch;
}

void medlarstall_fleet::act(std::size_t owner,
                            scheduling::action_list const& actions)
{
    for (auto const& action : actions) {
        std::visit([&](auto const& a) { act(owner, a); }, action);
    }
}

void medlarstall_fleet::act(std::size_t owner,
                            scheduling::dispatch const& action)
{
    auto const server = server_number(action.backend_server);
    attempts_[action.id].server = server;
    events_.schedule_after(
        server_delay(owner, server),
        [this, id = action.id, server] { start(id, server); });
}

void medlarstall_fleet::start(std::uint64_t id, std::size_t server)
{
    auto& a = attempts_[id];
    if (!a.open) {
        return;
    }
    auto const& what = arrivals_[a.call];
    engine_work const work{id,
                           what.document,
                           what.document_tokens,
                           what.prompt_tokens,
                           what.output_tokens,
                           a.made,
                           a.made > 0 && a.ran_on == server,
                           calls_[a.call].request.tier};
    if (pool_.members[server].engine->start(work)) {
        a.running = true;
        a.server = server;
        a.ran_on = server;
        a.started = events_.now();
        return;
    }
    ++counts_["bounces"];
    if (owned(a)) {
        scheduling::action_list actions;
        daemons_[a.owner].owner->rejected_as_busy(id, events_.now(), actions);
        act(a.owner, actions);
    }
}

void medlarstall_fleet::act(std::size_t owner, scheduling::refuse const& action)
{
    auto const entry = calls_[attempts_[action.id].call].entry;
    events_.schedule_after(delay(owner, entry),
                           [this, id = action.id, reason = action.reason] {
                               refused(id, reason);
                           });
}

void medlarstall_fleet::act(std::size_t owner,
                            scheduling::preempt const& action)
{
    ++counts_["preemptions"];
    auto const server = server_number(action.backend_server);
    events_.schedule_after(
        2 * server_delay(owner, server), [this, id = action.id, server] {
            auto& a = attempts_[id];
            if (!a.open || !owned(a)) {
                return;
            }
            pool_.members[server].engine->cancel(id, a.made > 0);
            a.running = false;
            scheduling::action_list actions;
            daemons_[a.owner].owner->preempted(id, events_.now(), actions);
            act(a.owner, actions);
        });
}

void medlarstall_fleet::act(std::size_t owner,
                            scheduling::hand_back const& action)
{
    auto const call = attempts_[action.id].call;
    events_.schedule_after(delay(owner, calls_[call].entry),
                           [this, id = action.id, call] {
                               auto const& a = attempts_[id];
                               if (a.open) {
                                   calls_[call].made = a.made;
                                   close(id);
                                   route(call);
                               }
                           });
}

void medlarstall_fleet::act(std::size_t owner,
                            scheduling::wake_up const& action)
{
    auto& d = daemons_[owner];
    auto const number = ++d.wake_up;
    events_.schedule_at(action.at, [this, owner, number, epoch = d.epoch] {
        auto& woken = daemons_[owner];
        if (woken.lost || woken.epoch != epoch || woken.wake_up != number) {
            return;
        }
        scheduling::action_list actions;
        woken.owner->tick(events_.now(), actions);
        act(owner, actions);
    });
}

void medlarstall_fleet::token(std::uint64_t id, std::uint32_t made, bool end)
{
    auto& a = attempts_[id];
    if (!a.open || !a.running) {
        return;
    }
    bool const first = a.made == 0;
    a.made = made;
    if (owned(a)) {
        auto& owner = *daemons_[a.owner].owner;
        scheduling::action_list actions;
        if (first) {
            owner.first_token_received(id, events_.now(), actions);
        }
        owner.tokens_received(id, 1, events_.now(), actions);
        if (end) {
            owner.finished(id, events_.now(), actions);
        }
        caller_token(id, made, end);
        act(a.owner, actions);
        return;
    }
    // The entry daemon resumes the stream once it misses the owner.
    events_.schedule_after(
        lost_after, [this, id, made, end] { caller_token(id, made, end); });
}

void medlarstall_fleet::caller_token(std::uint64_t id, std::uint32_t made,
                                     bool end)
{
    auto& a = attempts_[id];
    auto& state = calls_[a.call];
    auto& entry = daemons_[state.entry];
    if (!a.open || entry.lost) {
        return;
    }
    auto const& server = pool_.members[a.server].id;
    auto const now = events_.now();
    if (a.last_token == time_point{} && a.made <= 1) {
        entry.hedges.record_first_token(state.request.group, state.request.tier,
                                        micro(now - a.dispatched));
        entry.health.record_first_token(server, micro(now - a.started),
                                        state.request.prompt_tokens, now);
    } else if (a.last_token != time_point{} && a.last_token >= a.started) {
        entry.health.record_token_gap(server, micro(now - a.last_token), now);
    }
    a.last_token = now;
    auto const others = state.attempts;
    for (auto const other : others) {
        if (other != id) {
            ++counts_["hedge-losers"];
            cancel(other);
        }
    }
    record_.tokens(a.call, made, end);
    if (end) {
        entry.health.record_success(server);
        entry.router->on_finish(server, micro(now - a.started));
        quarantine_.record_success(a.call, now);
        close(id);
    }
}

void medlarstall_fleet::crashed(std::size_t server,
                                std::vector<std::uint64_t> const& lost)
{
    auto const& id = pool_.members[server].id;
    auto const owner = owner_of_[server];
    std::vector<routing::running_request> running;
    running.reserve(lost.size());
    scheduling::action_list actions;
    for (auto const attempt : lost) {
        running.push_back({attempts_[attempt].call});
        daemons_[owner].owner->failed(attempt, events_.now(), actions);
    }
    daemons_[owner].owner->remove_backend_server(id, events_.now(), actions);
    act(owner, actions);
    quarantine_.record_crash(server + 1, id, running, events_.now());
    for (auto& d : daemons_) {
        events_.schedule_after(
            summary_period, [&d, id] { d.router->remove_backend_server(id); });
    }
    for (auto const attempt : lost) {
        auto& a = attempts_[attempt];
        if (!a.open) {
            continue;
        }
        auto const call = a.call;
        bool const started = a.made > 0;
        calls_[call].excluded.push_back(id);
        daemons_[calls_[call].entry].health.record_failure(
            id, routing::failure_kind::unreachable);
        close(attempt);
        if (started) {
            record_.broken(call); // Two generations are never spliced.
        } else if (calls_[call].attempts.empty()) {
            retry(call, routing::run_state::ran);
        }
    }
}

std::size_t medlarstall_fleet::next_owner(std::size_t server) const
{
    auto owner = server % daemons_.size();
    while (daemons_[owner].lost) {
        owner = (owner + 1) % daemons_.size();
    }
    return owner;
}

void medlarstall_fleet::restarted(std::size_t server)
{
    own(server, next_owner(server));
}

void medlarstall_fleet::lose_daemon(std::size_t number)
{
    daemons_[number].lost = true;
    std::vector<std::size_t> entered;
    for (std::size_t call = 0; call < calls_.size(); ++call) {
        if (!calls_[call].attempts.empty() && calls_[call].entry == number) {
            entered.push_back(call);
        }
    }
    for (auto const call : entered) {
        auto const open = calls_[call].attempts;
        for (auto const id : open) {
            cancel(id);
        }
        record_.broken(call);
    }
    events_.schedule_after(lost_after, [this, number] {
        for (auto& d : daemons_) {
            d.router->mark_owner_lost("d" + std::to_string(number));
        }
        for (std::size_t s = 0; s < owner_of_.size(); ++s) {
            if (owner_of_[s] == number && !pool_.members[s].engine->down()) {
                own(s, next_owner(s));
            }
        }
        for (std::uint64_t id = 0; id < attempts_.size(); ++id) {
            auto const& a = attempts_[id];
            if (a.open && a.owner == number && !a.running) {
                auto const call = a.call;
                close(id);
                route(call);
            }
        }
    });
}

void medlarstall_fleet::return_daemon(std::size_t number)
{
    start_daemon(number);
    for (std::size_t s = 0; s < owner_of_.size(); ++s) {
        if (s % daemons_.size() == number && !pool_.members[s].engine->down()) {
            scheduling::action_list actions;
            auto const former = owner_of_[s];
            daemons_[former].owner->mark_backend_server_leaving(
                pool_.members[s].id, events_.now(), actions);
            act(former, actions);
            own(s, number);
        }
    }
}

void medlarstall_fleet::send_summaries()
{
    for (std::size_t d = 0; d < daemons_.size(); ++d) {
        if (daemons_[d].lost) {
            continue;
        }
        for (auto const& summary :
             daemons_[d].owner->summaries(events_.now())) {
            if (owner_of_[server_number(summary.backend_server)] != d) {
                continue;
            }
            for (std::size_t to = 0; to < daemons_.size(); ++to) {
                events_.schedule_after(delay(d, to), [this, to, summary] {
                    daemons_[to].router->apply_summary(summary, events_.now());
                });
            }
        }
    }
    events_.schedule_after(summary_period, [this] { send_summaries(); });
}

void medlarstall_fleet::report_loads()
{
    for (std::size_t s = 0; s < pool_.members.size(); ++s) {
        auto& member = pool_.members[s];
        member.past_running.push_back(
            static_cast<std::uint32_t>(member.engine->running()));
        if (member.past_running.size() <= report_age) {
            continue;
        }
        auto const running = member.past_running.front();
        member.past_running.pop_front();
        auto const owner = owner_of_[s];
        if (!daemons_[owner].lost && !member.engine->down()) {
            scheduling::action_list actions;
            daemons_[owner].owner->load_reported(
                member.id, {running, 0, 2000ms}, events_.now(), actions);
            act(owner, actions);
        }
    }
    events_.schedule_after(report_period, [this] { report_loads(); });
}

void medlarstall_fleet::share_usage()
{
    std::vector<std::vector<scheduling::organisation_usage>> usage;
    usage.reserve(daemons_.size());
    for (auto const& d : daemons_) {
        usage.push_back(d.lost ? decltype(d.owner->usage()){}
                               : d.owner->usage());
    }
    for (std::size_t to = 0; to < daemons_.size(); ++to) {
        for (auto const& [key, remote] : remote_usage(usage, to)) {
            scheduling::action_list actions;
            daemons_[to].owner->set_remote_usage(key.first, key.second, remote,
                                                 events_.now(), actions);
            act(to, actions);
        }
    }
    last_usage_ = std::move(usage);
    events_.schedule_after(report_period, [this] { share_usage(); });
}

std::map<std::pair<std::string, std::string>, scheduling::remote_usage>
medlarstall_fleet::remote_usage(
    std::vector<std::vector<scheduling::organisation_usage>> const& usage,
    std::size_t to) const
{
    std::map<std::pair<std::string, std::string>, scheduling::remote_usage>
        sums;
    double const period = seconds{report_period}.count();
    for (std::size_t d = 0; d < usage.size(); ++d) {
        for (std::size_t i = 0; d != to && i < usage[d].size(); ++i) {
            auto const& now = usage[d][i];
            auto& sum = sums[{now.organisation, now.service_class}];
            sum.running += now.running;
            sum.served_tokens += now.served_tokens;
            ++sum.owners;
            if (d < last_usage_.size() && i < last_usage_[d].size()) {
                auto const& last = last_usage_[d][i];
                sum.tokens_per_second +=
                    double(now.served_tokens - last.served_tokens) / period;
                sum.requests_per_second +=
                    double(now.dispatched - last.dispatched) / period;
            }
        }
    }
    return sums;
}

void medlarstall_fleet::evaluate_health()
{
    for (std::size_t d = 0; d < daemons_.size(); ++d) {
        if (daemons_[d].lost) {
            continue;
        }
        for (auto const& change : daemons_[d].health.evaluate(events_.now())) {
            ++counts_[std::string{"health-"} + name_of(change.to)];
            daemons_[d].router->set_health(change.backend_server, change.to,
                                           change.slowdown);
            auto const server = server_number(change.backend_server);
            if (owner_of_[server] == d &&
                !pool_.members[server].engine->down()) {
                own(server, d);
            }
        }
    }
    events_.schedule_after(summary_period, [this] { evaluate_health(); });
}

void medlarstall_fleet::cache_event(std::size_t server, std::uint32_t document,
                                    bool stored)
{
    bool const lost = random_() % lost_cache_event == 0;
    auto const hashes = prefixes_of(document);
    events_.schedule_after(
        cache_event_delay, [this, server, hashes, stored, lost] {
            auto const& id = pool_.members[server].id;
            for (auto& d : daemons_) {
                if (lost) {
                    d.router->on_cache_events_lost(id, events_.now());
                    continue;
                }
                for (auto const hash : hashes) {
                    d.router->on_cache_event(id, hash, stored, events_.now());
                }
            }
        });
}

void medlarstall_fleet::print_counts() const
{
    for (auto const& [name, count] : counts_) {
        std::cerr << "  " << name << ' ' << count << '\n';
    }
}

} // namespace medlarstall::bench
