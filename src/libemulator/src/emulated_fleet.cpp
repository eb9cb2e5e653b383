#include "emulated_fleet.hpp"

#include <medlarstall/dispatch/waiting_policy.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::emulator {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds restart_return{200};
constexpr milliseconds copy_setup{10};

} // namespace

emulated_fleet::emulated_fleet(event_queue& events, experiment const& what,
                               std::vector<arrival> const& arrivals,
                               placement_strategy strategy, std::uint64_t seed)
    : events_{events}, what_{what}, arrivals_{arrivals}, strategy_{strategy},
      random_{seed},
      table_{std::make_shared<routes::route_table>(configuration_of(what))},
      servers_{events, what,
               [this](std::uint64_t send, std::uint32_t number, bool whole) {
                   on_event(send, number, whole);
               }},
      seen_{arrivals}, calls_(arrivals.size())
{
    make_daemons();
}

void emulated_fleet::make_daemons()
{
    std::vector<std::string> names;
    names.reserve(what_.daemons);
    for (std::uint32_t at = 0; at < what_.daemons; ++at) {
        names.push_back("daemon-" + std::to_string(at));
    }
    daemons_.clear();
    for (auto const& name : names) {
        auto const cell = dispatch::cell_of(names, name);
        daemons_.push_back({make_dispatcher(), {}, cell.own});
        daemons_.back().decisions->set_cell(cell);
    }
}

std::unique_ptr<dispatch::dispatcher> emulated_fleet::make_dispatcher() const
{
    auto made =
        std::make_unique<dispatch::dispatcher>(dispatch::dispatcher_settings{});
    made->set_routes(table_);
    for (auto const& entry : servers_.entries()) {
        made->apply(entry, events_.now());
    }
    return made;
}

void emulated_fleet::start()
{
    for (std::size_t call = 0; call < arrivals_.size(); ++call) {
        auto const& request = arrivals_[call];
        events_.after(request.at, [this, call] { ask(call); });
        events_.after(request.at + route_of(call).time_limit,
                      [this, call] { on_time_limit(call); });
    }
    tick();
    tell_news();
}

routes::route const& emulated_fleet::route_of(std::size_t call) const
{
    return table_->content().routes[arrivals_[call].kind];
}

dispatch::dispatcher& emulated_fleet::decisions_for(std::size_t call)
{
    return *daemons_[calls_[call].daemon].decisions;
}

dispatch::work emulated_fleet::work_of(std::size_t call) const
{
    auto const& request = arrivals_[call];
    auto const& route = route_of(call);
    dispatch::work wanted;
    wanted.service = route.services.front().service;
    wanted.hash = call;
    wanted.excluded = calls_[call].tried;
    auto const* const service = table_->find_service(wanted.service);
    if (service->model) {
        wanted.asked = request.asked;
        wanted.sensitivity = dispatch::pause_sensitivity(
            route.pause_objective, service->model->tokens_per_event);
    }
    return wanted;
}

/// A try of the caller, at any daemon.
void emulated_fleet::ask(std::size_t call)
{
    if (seen_.is_over(call)) {
        return;
    }
    auto& state = calls_[call];
    state.daemon = std::uniform_int_distribution<std::size_t>{
        0, daemons_.size() - 1}(random_);
    state.attempts = {};
    state.tried.clear();
    state.asked = events_.now();
    decisions_for(call).note_request(route_of(call).services.front().service,
                                     events_.now());
    place(call);
}

void emulated_fleet::place(std::size_t call)
{
    auto& state = calls_[call];
    if (seen_.is_over(call) || state.send) {
        return;
    }
    auto const now = events_.now();
    auto const wanted = work_of(call);
    auto const where = choose(strategy_, decisions_for(call), wanted, now);
    if (where) {
        send(call, wanted, *where);
        return;
    }
    auto const pause =
        dispatch::pause_before_next_look(route_of(call), now - state.asked);
    if (pause > duration::zero() &&
        strategy_ != placement_strategy::no_waiting) {
        events_.after(pause, [this, call] { place(call); });
    } else if (state.attempts.may_have_run) {
        seen_.note_broken(call);
    } else {
        refuse(call, dispatch::no_server_return);
    }
}

void emulated_fleet::send(std::size_t call, dispatch::work const& wanted,
                          dispatch::placement const& where)
{
    auto& state = calls_[call];
    auto const number = ++sent_;
    state.tried.push_back(where.backend_server);
    state.send = number;
    sends_[number] = {
        call, decisions_for(call).note_sent(wanted, where, events_.now())};
    if (wanted.asked) {
        tell_prompt(state.daemon, {where.backend_server, *wanted.asked},
                    where.cached_tokens < wanted.asked->shared_tokens());
    }
    auto delay = duration{what_.hop};
    copied_ += where.copied_tokens;
    if (where.copied_tokens > 0) {
        auto const& model = *table_->find_service(wanted.service)->model;
        constexpr double bits_per_ms_of_mbit = 1e3;
        constexpr double bits_per_byte = 8;
        auto const ms = where.copied_tokens * model.bytes_per_token *
                        bits_per_byte / (model.link_mbps * bits_per_ms_of_mbit);
        delay +=
            copy_setup + std::chrono::duration_cast<duration>(
                             std::chrono::duration<double, std::milli>{ms});
    }
    events_.after(delay, [this, number, server = where.backend_server,
                          copies = where.copied_tokens > 0] {
        arrive(number, server, copies);
    });
}

void emulated_fleet::arrive(std::uint64_t send, std::string const& server,
                            bool copies)
{
    auto const found = sends_.find(send);
    if (found == sends_.end()) {
        return;
    }
    auto const call = found->second.call;
    if (!servers_.is_up(server)) {
        events_.after(what_.hop, [this, send] { on_unreachable(send); });
        return;
    }
    auto const& request = arrivals_[call];
    if (copies) {
        auto shared = request.asked.parts;
        shared.pop_back();
        servers_.keep_copied(server, shared);
    }
    send_work work;
    work.send = send;
    work.work = request.work;
    work.prompt = {send, request.asked.parts, request.output_tokens,
                   route_of(call).priority, calls_[call].events};
    if (!servers_.submit(server, std::move(work))) {
        events_.after(what_.hop, [this, send] { on_turned_away(send); });
    }
}

void emulated_fleet::on_event(std::uint64_t send, std::uint32_t /*events*/,
                              bool whole)
{
    events_.after(what_.hop, [this, send, whole] { take_event(send, whole); });
}

void emulated_fleet::take_event(std::uint64_t send, bool whole)
{
    auto const found = sends_.find(send);
    if (found == sends_.end()) {
        return;
    }
    auto const call = found->second.call;
    auto const now = events_.now();
    auto& held = found->second.held;
    if (!held.answered) {
        decisions_for(call).note_report(
            held.backend_server, servers_.load_of(held.backend_server), now);
    }
    decisions_for(call).note_answer(held, now);
    ++calls_[call].events;
    auto const began = now - arrivals_[call].at;
    seen_.note_event(call, began - event_queue::start, whole);
    if (whole) {
        end_send(send, dispatch::send_outcome::good);
    }
}

std::size_t emulated_fleet::end_send(std::uint64_t send,
                                     dispatch::send_outcome outcome)
{
    auto const found = sends_.find(send);
    auto const call = found->second.call;
    servers_.cancel(found->second.held.backend_server, send);
    decisions_for(call).note_end(found->second.held, outcome, events_.now());
    sends_.erase(found);
    calls_[call].send.reset();
    return call;
}

void emulated_fleet::on_lost(std::uint64_t send)
{
    auto const found = sends_.find(send);
    if (found == sends_.end()) {
        return;
    }
    auto& decisions = decisions_for(found->second.call);
    auto* const state = decisions.health_of(found->second.held.backend_server);
    if (state != nullptr) {
        state->on_suspicion(events_.now());
    }
    auto const call = end_send(send, dispatch::send_outcome::failed);
    after_failure(call, dispatch::send_failure::lost);
}

void emulated_fleet::on_unreachable(std::uint64_t send)
{
    auto const found = sends_.find(send);
    if (found == sends_.end()) {
        return;
    }
    auto* const state = decisions_for(found->second.call)
                            .health_of(found->second.held.backend_server);
    if (state != nullptr) {
        state->on_unreachable(events_.now());
    }
    auto const call = end_send(send, dispatch::send_outcome::withdrawn);
    after_failure(call, dispatch::send_failure::not_sent);
}

void emulated_fleet::on_turned_away(std::uint64_t send)
{
    if (sends_.contains(send)) {
        auto const call = end_send(send, dispatch::send_outcome::turned_away);
        after_failure(call, dispatch::send_failure::turned_away);
    }
}

bool emulated_fleet::has_budget(std::size_t call,
                                dispatch::send_failure failure)
{
    return failure == dispatch::send_failure::not_sent ||
           decisions_for(call).try_retry(
               route_of(call).services.front().service, daemons_.size(),
               events_.now());
}

void emulated_fleet::after_failure(std::size_t call,
                                   dispatch::send_failure failure)
{
    auto& state = calls_[call];
    auto const& route = route_of(call);
    auto step = dispatch::step_after(route, state.attempts, failure);
    auto const can_go_on = state.events == 0 || route.resumable;
    if (step == dispatch::next_step::send_again &&
        (!can_go_on || !has_budget(call, failure))) {
        step = dispatch::final_step(state.attempts);
    }
    switch (step) {
    case dispatch::next_step::send_again:
        place(call);
        break;
    case dispatch::next_step::refuse:
        refuse(call, dispatch::turned_away_return);
        break;
    case dispatch::next_step::give_up:
        seen_.note_broken(call);
        break;
    }
}

void emulated_fleet::refuse(std::size_t call, duration retry_after)
{
    auto& state = calls_[call];
    auto const last =
        state.returns >= what_.classes[arrivals_[call].kind].caller_retries;
    seen_.note_refusal(call, last);
    if (!last) {
        ++state.returns;
        auto const spread =
            std::uniform_real_distribution<double>{1, 2}(random_);
        events_.after(std::chrono::duration_cast<duration>(
                          std::chrono::duration<double>{retry_after} * spread),
                      [this, call] { ask(call); });
    }
}

void emulated_fleet::on_time_limit(std::size_t call)
{
    if (calls_[call].send) {
        end_send(*calls_[call].send, dispatch::send_outcome::withdrawn);
    }
    seen_.note_broken(call);
}

void emulated_fleet::crash(std::string const& server, duration unnoticed)
{
    for (auto const send : servers_.crash(server)) {
        events_.after(unnoticed, [this, send] { on_lost(send); });
    }
}

void emulated_fleet::restart_daemons()
{
    std::vector<std::uint64_t> open;
    open.reserve(sends_.size());
    for (auto const& [number, state] : sends_) {
        open.push_back(number);
    }
    std::ranges::sort(open);
    for (auto const number : open) {
        auto const call = end_send(number, dispatch::send_outcome::withdrawn);
        auto const& route = route_of(call);
        auto const goes_on = calls_[call].events == 0 || route.resumable;
        if (route.may_run_again() && goes_on) {
            events_.after(restart_return, [this, call] { ask(call); });
        } else {
            seen_.note_broken(call);
        }
    }
    make_daemons();
}

} // namespace medlarstall::emulator
