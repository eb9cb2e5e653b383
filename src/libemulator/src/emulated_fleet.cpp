#include "emulated_fleet.hpp"

#include <medlarstall/dispatch/waiting_policy.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::emulator {

namespace {

using std::chrono::milliseconds;

/// Time from a restart of all daemons until callers retry.
constexpr milliseconds restart_retry_delay{200};
/// Fixed time to copy prompt parts, added to the time of the transfer.
constexpr milliseconds copy_setup_time{10};

} // namespace

emulated_fleet::emulated_fleet(event_queue& events, experiment const& spec,
                               std::vector<arrival> const& arrivals,
                               placement_strategy strategy, std::uint64_t seed)
    : events_{events}, spec_{spec}, arrivals_{arrivals}, strategy_{strategy},
      random_{seed},
      routes_{std::make_shared<routes::route_table>(make_configuration(spec))},
      servers_{events, spec,
               [this](std::uint64_t send, std::uint32_t events, bool is_last) {
                   on_server_event(send, events, is_last);
               }},
      outcomes_{arrivals}, calls_(arrivals.size())
{
    make_daemons();
}

void emulated_fleet::make_daemons()
{
    std::vector<std::string> names;
    names.reserve(spec_.daemon_count);
    for (std::uint32_t index = 0; index < spec_.daemon_count; ++index) {
        names.push_back("daemon-" + std::to_string(index));
    }
    daemons_.clear();
    for (auto const& name : names) {
        auto const cell = dispatch::cell_containing(names, name);
        daemons_.push_back({make_dispatcher(), {}, cell.index});
        daemons_.back().dispatcher->set_retry_sharers(names.size());
        daemons_.back().dispatcher->set_cell(cell);
    }
}

std::unique_ptr<dispatch::dispatcher> emulated_fleet::make_dispatcher() const
{
    auto created =
        std::make_unique<dispatch::dispatcher>(dispatch::dispatcher_settings{});
    created->set_routes(routes_);
    for (auto const& entry : servers_.entries()) {
        created->apply(entry, events_.now());
    }
    return created;
}

void emulated_fleet::start()
{
    for (std::size_t call = 0; call < arrivals_.size(); ++call) {
        auto const& request = arrivals_[call];
        events_.schedule_after(request.offset,
                               [this, call] { start_try(call); });
        events_.schedule_after(request.offset + route_of(call).time_limit,
                               [this, call] { on_time_limit(call); });
    }
    run_periodic_tasks();
    send_peer_updates();
}

routes::route const& emulated_fleet::route_of(std::size_t call) const
{
    return routes_->content().routes[arrivals_[call].class_index];
}

dispatch::dispatcher& emulated_fleet::dispatcher_for(std::size_t call)
{
    return *daemons_[calls_[call].daemon].dispatcher;
}

dispatch::placement_request
emulated_fleet::placement_request_for(std::size_t call) const
{
    auto const& request = arrivals_[call];
    auto const& route = route_of(call);
    dispatch::placement_request placement_request;
    placement_request.service = route.services.front().service;
    placement_request.tie_break_hash = call;
    placement_request.excluded_servers = calls_[call].tried_servers;
    auto const* const service =
        routes_->find_service(placement_request.service);
    if (service->model) {
        placement_request.model_prompt = request.prompt;
        placement_request.pause_sensitivity = dispatch::pause_sensitivity(
            route.pause_objective, service->model->tokens_per_event);
    }
    return placement_request;
}

/// Starts a try of the caller at a daemon chosen at random.
void emulated_fleet::start_try(std::size_t call)
{
    if (outcomes_.has_ended(call)) {
        return;
    }
    auto& state = calls_[call];
    state.daemon = std::uniform_int_distribution<std::size_t>{
        0, daemons_.size() - 1}(random_);
    state.attempts = {};
    state.tried_servers.clear();
    state.try_started = events_.now();
    dispatcher_for(call).on_request(route_of(call).services.front().service);
    try_place(call);
}

void emulated_fleet::try_place(std::size_t call)
{
    auto& state = calls_[call];
    if (outcomes_.has_ended(call) || state.active_send) {
        return;
    }
    auto const now = events_.now();
    auto const request = placement_request_for(call);
    auto const placement =
        choose_placement(strategy_, dispatcher_for(call), request, now);
    if (placement) {
        send(call, request, *placement);
        return;
    }
    auto const delay = dispatch::wait_before_next_placement(
        route_of(call), now - state.try_started);
    if (delay > duration::zero() &&
        strategy_ != placement_strategy::no_waiting) {
        events_.schedule_after(delay, [this, call] { try_place(call); });
    } else if (state.attempts.may_have_run) {
        outcomes_.record_failure(call);
    } else {
        refuse(call, dispatch::no_server_retry_after);
    }
}

void emulated_fleet::send(std::size_t call,
                          dispatch::placement_request const& request,
                          dispatch::placement const& placement)
{
    auto& state = calls_[call];
    auto const number = ++send_count_;
    state.tried_servers.push_back(placement.backend_server);
    state.active_send = number;
    sends_[number] = {
        call, dispatcher_for(call).on_sent(request, placement, events_.now())};
    if (request.model_prompt) {
        announce_prompt(
            state.daemon, {placement.backend_server, *request.model_prompt},
            placement.cached_tokens < request.model_prompt->shared_tokens());
    }
    auto delay = duration{spec_.hop_delay};
    copied_tokens_ += placement.copied_tokens;
    if (placement.copied_tokens > 0) {
        auto const& model = *routes_->find_service(request.service)->model;
        constexpr double bits_per_ms_of_mbit = 1e3;
        constexpr double bits_per_byte = 8;
        auto const ms = placement.copied_tokens * model.bytes_per_token *
                        bits_per_byte / (model.link_mbps * bits_per_ms_of_mbit);
        delay += copy_setup_time +
                 std::chrono::duration_cast<duration>(
                     std::chrono::duration<double, std::milli>{ms});
    }
    events_.schedule_after(delay,
                           [this, number, server = placement.backend_server,
                            with_copied_parts = placement.copied_tokens > 0] {
                               deliver(number, server, with_copied_parts);
                           });
}

void emulated_fleet::deliver(std::uint64_t send, std::string const& server,
                             bool with_copied_parts)
{
    auto const found = sends_.find(send);
    if (found == sends_.end()) {
        return;
    }
    auto const call = found->second.call;
    if (!servers_.is_up(server)) {
        events_.schedule_after(spec_.hop_delay,
                               [this, send] { on_unreachable(send); });
        return;
    }
    auto const& request = arrivals_[call];
    if (with_copied_parts) {
        auto shared = request.prompt.parts;
        shared.pop_back();
        servers_.insert_copied_parts(server, shared);
    }
    server_request attempt;
    attempt.send = send;
    attempt.service_time = request.service_time;
    attempt.model_work = {send, request.prompt.parts, request.output_tokens,
                          route_of(call).priority, calls_[call].events};
    if (!servers_.submit(server, std::move(attempt))) {
        events_.schedule_after(spec_.hop_delay,
                               [this, send] { on_rejected(send); });
    }
}

void emulated_fleet::on_server_event(std::uint64_t send,
                                     std::uint32_t /*events*/, bool is_last)
{
    events_.schedule_after(spec_.hop_delay, [this, send, is_last] {
        on_event_received(send, is_last);
    });
}

void emulated_fleet::on_event_received(std::uint64_t send, bool is_last)
{
    auto const found = sends_.find(send);
    if (found == sends_.end()) {
        return;
    }
    auto const call = found->second.call;
    auto const now = events_.now();
    auto& reservation = found->second.reservation;
    if (!reservation.answer_started) {
        dispatcher_for(call).on_load_report(
            reservation.backend_server,
            servers_.load_of(reservation.backend_server), now);
    }
    dispatcher_for(call).on_answer_started(reservation, now);
    ++calls_[call].events;
    auto const received_at = now - arrivals_[call].offset;
    outcomes_.record_event(call, received_at - event_queue::initial_time,
                           is_last);
    if (is_last) {
        end_send(send, dispatch::send_outcome::succeeded);
    }
}

std::size_t emulated_fleet::end_send(std::uint64_t send,
                                     dispatch::send_outcome outcome)
{
    auto const found = sends_.find(send);
    auto const call = found->second.call;
    servers_.cancel(found->second.reservation.backend_server, send);
    dispatcher_for(call).on_send_ended(found->second.reservation, outcome,
                                       events_.now());
    sends_.erase(found);
    calls_[call].active_send.reset();
    return call;
}

void emulated_fleet::on_connection_lost(std::uint64_t send)
{
    auto const found = sends_.find(send);
    if (found == sends_.end()) {
        return;
    }
    auto& dispatcher = dispatcher_for(found->second.call);
    auto* const state =
        dispatcher.health_tracker_of(found->second.reservation.backend_server);
    if (state != nullptr) {
        state->on_connection_lost(events_.now());
    }
    auto const call = end_send(send, dispatch::send_outcome::failed);
    handle_failure(call, dispatch::send_failure::outcome_unknown);
}

void emulated_fleet::on_unreachable(std::uint64_t send)
{
    auto const found = sends_.find(send);
    if (found == sends_.end()) {
        return;
    }
    auto* const state =
        dispatcher_for(found->second.call)
            .health_tracker_of(found->second.reservation.backend_server);
    if (state != nullptr) {
        state->on_unreachable(events_.now());
    }
    auto const call = end_send(send, dispatch::send_outcome::cancelled);
    handle_failure(call, dispatch::send_failure::not_sent);
}

void emulated_fleet::on_rejected(std::uint64_t send)
{
    if (sends_.contains(send)) {
        auto const call = end_send(send, dispatch::send_outcome::rejected);
        handle_failure(call, dispatch::send_failure::rejected);
    }
}

bool emulated_fleet::try_use_retry_budget(std::size_t call,
                                          dispatch::send_failure failure)
{
    return failure == dispatch::send_failure::not_sent ||
           dispatcher_for(call)
               .try_retry(route_of(call).services.front().service,
                          events_.now())
               .allowed;
}

void emulated_fleet::handle_failure(std::size_t call,
                                    dispatch::send_failure failure)
{
    auto& state = calls_[call];
    auto const& route = route_of(call);
    auto step = dispatch::step_after_failure(route, state.attempts, failure);
    auto const can_resume = state.events == 0 || route.resumable;
    if (step == dispatch::next_step::send_again &&
        (!can_resume || !try_use_retry_budget(call, failure))) {
        step = dispatch::step_without_retry(state.attempts);
    }
    switch (step) {
    case dispatch::next_step::send_again:
        try_place(call);
        break;
    case dispatch::next_step::refuse:
        refuse(call, dispatch::rejected_retry_after);
        break;
    case dispatch::next_step::give_up:
        outcomes_.record_failure(call);
        break;
    }
}

void emulated_fleet::refuse(std::size_t call, duration retry_after)
{
    auto& state = calls_[call];
    auto const is_final =
        state.caller_retries >=
        spec_.classes[arrivals_[call].class_index].caller_retries;
    outcomes_.record_refusal(call, is_final);
    if (!is_final) {
        ++state.caller_retries;
        auto const jitter =
            std::uniform_real_distribution<double>{1, 2}(random_);
        events_.schedule_after(
            std::chrono::duration_cast<duration>(
                std::chrono::duration<double>{retry_after} * jitter),
            [this, call] { start_try(call); });
    }
}

void emulated_fleet::on_time_limit(std::size_t call)
{
    if (calls_[call].active_send) {
        end_send(*calls_[call].active_send, dispatch::send_outcome::cancelled);
    }
    outcomes_.record_failure(call);
}

void emulated_fleet::crash(std::string const& server, duration detection_delay)
{
    for (auto const send : servers_.crash(server)) {
        events_.schedule_after(detection_delay,
                               [this, send] { on_connection_lost(send); });
    }
}

void emulated_fleet::restart_daemons()
{
    std::vector<std::uint64_t> active_sends;
    active_sends.reserve(sends_.size());
    for (auto const& [number, state] : sends_) {
        active_sends.push_back(number);
    }
    std::ranges::sort(active_sends);
    for (auto const number : active_sends) {
        auto const call = end_send(number, dispatch::send_outcome::cancelled);
        auto const& route = route_of(call);
        auto const can_resume = calls_[call].events == 0 || route.resumable;
        if (route.may_run_again() && can_resume) {
            events_.schedule_after(restart_retry_delay,
                                   [this, call] { start_try(call); });
        } else {
            outcomes_.record_failure(call);
        }
    }
    make_daemons();
}

} // namespace medlarstall::emulator
