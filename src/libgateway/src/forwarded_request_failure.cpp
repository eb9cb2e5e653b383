// What follows a send that failed, and the requests that are not sent again.

#include <medlarstall/gateway/forwarded_request.hpp>

#include <medlarstall/dispatch/waiting_policy.hpp>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

constexpr int bad_gateway = 502;

/// A connection that fails within this time was refused by the machine of the
/// server.
constexpr milliseconds max_refusal_time{50};

/// Retry-After of a request that has crashed backend servers.
constexpr milliseconds crash_retry_delay{5000};
constexpr double percent = 100.0;

} // namespace

void forwarded_request::on_failed(http::call_failure failure)
{
    if (current_send_->rejected) {
        on_rejected();
        return;
    }
    if (!current_send_->peer.empty()) {
        on_peer_failed(failure);
        return;
    }
    auto const now = monotonic_clock::now();
    if (failure != http::call_failure::malformed &&
        failure != http::call_failure::nothing_sent) {
        note_path_failure(now);
    }
    auto const was_refused =
        failure == http::call_failure::not_connected &&
        now - current_send_->reservation.sent_at < max_refusal_time;
    auto const& placement = current_send_->placement;
    auto const& server = placement.backend_server;
    if (failure != http::call_failure::malformed) {
        context_.processes.on_connection_lost(server, now);
    }
    if (failure == http::call_failure::not_connected) {
        context_.on_server_unreachable(server, placement.started_unix_ms,
                                       was_refused);
    } else if (failure != http::call_failure::malformed) {
        if (auto* const health = health_of_run()) {
            health->on_connection_lost(now);
        }
        context_.dispatcher.crashes().on_connection_lost(
            crash_suspect_, server, placement.started_unix_ms, now);
    }
    auto const not_sent = http::certainly_not_sent(failure);
    end_send(not_sent ? dispatch::send_outcome::cancelled
                      : dispatch::send_outcome::failed);
    auto const kind = was_refused ? dispatch::send_failure::refused
                      : not_sent  ? dispatch::send_failure::not_sent
                                  : dispatch::send_failure::outcome_unknown;
    handle_send_failure(kind, name_of(failure));
}

/// \return false if what is known by the id of the backend server that has the
///     request is of a later run of it, or if it is no longer listed
bool forwarded_request::is_of_listed_run() const
{
    auto const& placement = current_send_->placement;
    return context_.dispatcher.is_listed_run(placement.backend_server,
                                             placement.started_unix_ms);
}

/// \return health of the run that has the request; nullptr if another one or
///     none is listed
dispatch::server_health* forwarded_request::health_of_run() const
{
    return is_of_listed_run() ? context_.dispatcher.health_tracker_of(
                                    current_send_->placement.backend_server)
                              : nullptr;
}

/// The backend server that has the request has not answered as it should.
void forwarded_request::note_path_failure(time_point now)
{
    context_.paths.on_failure(service_, current_send_->placement.backend_server,
                              now);
}

bool forwarded_request::take_retry_budget(dispatch::send_failure failure)
{
    if (failure == dispatch::send_failure::not_sent ||
        failure == dispatch::send_failure::refused) {
        return true;
    }
    auto const decision =
        context_.dispatcher.try_retry(service_, monotonic_clock::now());
    context_.metrics.count_retry_decision(decision.allowed ? "made"
                                                           : "withheld");
    log_entry{context_.log, log_category::failure, "retry"}
        .with("id", request_.metadata.attempt_id)
        .with("service", service_)
        .with("allowed", decision.allowed ? "yes" : "no")
        .with("requests", decision.requests)
        .with("retries", decision.retries)
        .with("earned", decision.earned)
        .with("max_saved_percent",
              static_cast<std::int64_t>(decision.share.max_saved * percent))
        .with("slack_used", decision.slack_used)
        .with("slack", decision.share.retries_per_window)
        .with("daemons", decision.daemons)
        .with("running", context_.running_time());
    return decision.allowed;
}

/// \return false if events were relayed already and the stream cannot be
///     resumed
bool forwarded_request::can_continue() const
{
    if (!caller_->response_started()) {
        return true;
    }
    return request_.route->resumable && last_event_id_.has_value() &&
           origin_.has_value();
}

/// \return true if the request may be run by another backend server after the
///     current send
bool forwarded_request::may_run_elsewhere() const
{
    auto const& route = *request_.route;
    return route.may_run_again() && can_continue() &&
           attempts_.servers_reached + 1 < route.max_attempts;
}

/// \return true if a backend server that is not known to be down can take the
///     request over now, and its caller is still there
bool forwarded_request::has_successor(time_point now)
{
    auto const caller = dispatch::decide_send(view_caller(), now);
    if (caller.presence != dispatch::caller_presence::present ||
        time_left(now) < min_retry_time || is_crashing(now)) {
        return false;
    }
    auto const placement = choose_placement(now);
    return placement && placement->state != dispatch::health::down;
}

/// Ends a send whose outcome is not known, and sends the request to another
/// backend server. The retry budget must have allowed it.
void forwarded_request::send_elsewhere(char const* reason)
{
    end_send(dispatch::send_outcome::failed);
    ++attempts_.servers_reached;
    attempts_.may_have_run = true;
    log_failed_send(reason, dispatch::next_step::send_again);
    choose_server();
}

void forwarded_request::handle_send_failure(dispatch::send_failure failure,
                                            char const* reason)
{
    if (awaits_process(failure, reason)) {
        return;
    }
    auto step =
        dispatch::step_after_failure(*request_.route, attempts_, failure);
    if (step == dispatch::next_step::send_again &&
        (!can_continue() || !take_retry_budget(failure))) {
        step = dispatch::step_without_retry(attempts_);
    }
    log_failed_send(reason, step);
    switch (step) {
    case dispatch::next_step::send_again:
        choose_server();
        break;
    case dispatch::next_step::refuse:
        refuse("not_run",
               retry_delay_after_pause(dispatch::rejected_retry_after));
        break;
    case dispatch::next_step::give_up:
        if (caller_->response_started()) {
            abort_answer(reason);
        } else {
            answer_error(bad_gateway, reason);
        }
        break;
    }
}

void forwarded_request::log_failed_send(char const* reason,
                                        dispatch::next_step step)
{
    log_entry{context_.log, log_category::failure, "send_failed"}
        .with("id", request_.metadata.attempt_id)
        .with("server", tried_servers_.empty() ? "" : tried_servers_.back())
        .with("reason", reason)
        .with("reached", attempts_.servers_reached)
        .with("may_have_run", attempts_.may_have_run ? "yes" : "no")
        .with("step", name_of(step))
        .with("left", time_left(monotonic_clock::now()));
}

/// \return true if the request is taken to crash the backend servers that run
/// it
bool forwarded_request::is_crashing(time_point now)
{
    auto& crashes = context_.dispatcher.crashes();
    crashes.parts().update(now);
    return crashes.parts().find_blamed(crash_suspect_.parts, now) ||
           crashes.is_quarantined(crash_suspect_.request, now);
}

/// Ends the request if it is taken to crash the backend servers that run it.
/// \return true if it has ended
bool forwarded_request::end_if_crashing(time_point now)
{
    if (!is_crashing(now)) {
        return false;
    }
    auto const blamed = context_.dispatcher.crashes().parts().find_blamed(
        crash_suspect_.parts, now);
    log_entry line{context_.log, log_category::failure, "crashing"};
    line.with("id", request_.metadata.attempt_id)
        .with("fingerprint", crash_suspect_.request)
        .with("sends", send_count_);
    if (blamed) {
        line.with("part", blamed->part)
            .with("crashes", blamed->crashes)
            .with("crash_age", blamed->age);
    }
    constexpr auto* code = "crashes_backend_servers";
    if (caller_->response_started()) {
        abort_answer(code);
    } else if (attempts_.may_have_run) {
        answer_error(bad_gateway, code);
    } else {
        refuse(code, crash_retry_delay);
    }
    return true;
}

} // namespace medlarstall::gateway
