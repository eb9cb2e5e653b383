// Whether the caller of a request is still there. A request is sent to nobody
// after its caller has left, also if another daemon has forwarded it and that
// daemon, or the path to it, is silent.

#include <medlarstall/gateway/forwarded_request.hpp>

#include <tuple>
#include <utility>
#include <vector>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

/// Time between two looks at whether a silent origin is heard again.
constexpr milliseconds hearing_interval{50};
/// As after a rejection: the request may be sent to another daemon at once.
constexpr milliseconds unheard_retry_delay{60};

} // namespace

/// \return when the caller gives up unless something is delivered before
time_point forwarded_request::patient_until() const
{
    if (last_event_at_ != time_point{}) {
        return last_event_at_ + patience_.gap;
    }
    if (request_.metadata.origin && request_.metadata.origin->patience) {
        return arrived_at_ + *request_.metadata.origin->patience;
    }
    auto const is_stream = request_.route->kind == routes::route_kind::stream;
    return arrived_at_ + (is_stream ? patience_.gap : patience_.unread);
}

dispatch::caller_view forwarded_request::view_caller() const
{
    dispatch::caller_view view;
    view.kind = request_.route->kind;
    view.has_left = caller_->caller_has_left();
    view.patient_until = patient_until();
    if (auto const& origin = request_.metadata.origin) {
        view.origin_incarnation = origin->incarnation;
        view.origin = context_.hearing_of(origin->daemon);
    }
    return view;
}

/// Refuses a request that has waited in the sockets of this daemon for longer
/// than its caller waits until it is read.
/// \return true if it has ended
bool forwarded_request::end_if_read_late()
{
    auto const unread = caller_->read_at() - arrived_at_;
    if (unread <= patience_.unread) {
        return false;
    }
    context_.metrics.count_state_change("read_late");
    log_entry{context_.log, log_category::failure, "read_late"}
        .with("id", request_.metadata.attempt_id)
        .with("unread", unread)
        .with("patience", patience_.unread)
        .with("suspended", request_.suspended);
    refuse("read_late", unheard_retry_delay);
    return true;
}

/// Called before the request is sent to anyone.
/// \return true if it must not be sent now; it then waits or has ended
bool forwarded_request::withhold_send(time_point now)
{
    auto const decision = dispatch::decide_send(view_caller(), now);
    switch (decision.presence) {
    case dispatch::caller_presence::present:
        awaits_origin_ = false;
        return false;
    case dispatch::caller_presence::unheard:
        if (!std::exchange(awaits_origin_, true)) {
            log_presence(decision, "wait");
        }
        choose_again_after(hearing_interval);
        return true;
    case dispatch::caller_presence::departed:
        end_departed(decision);
        return true;
    }
    return false;
}

/// Called when a connection has been established, just before the request is
/// sent: the caller may have left meanwhile.
/// \return true if it may be sent
bool forwarded_request::confirm_send()
{
    auto const now = monotonic_clock::now();
    auto const decision = dispatch::decide_send(view_caller(), now);
    if (decision.presence == dispatch::caller_presence::present) {
        return true;
    }
    if (current_send_->peer.empty()) {
        std::erase(tried_servers_, current_send_->placement.backend_server);
    }
    end_send(dispatch::send_outcome::cancelled);
    std::ignore = withhold_send(now);
    return false;
}

void forwarded_request::check_caller(time_point now)
{
    if (finished_ || !request_.metadata.origin) {
        return;
    }
    auto const decision = dispatch::decide_run(view_caller(), now);
    auto const unheard =
        decision.presence == dispatch::caller_presence::unheard;
    if (decision.presence == dispatch::caller_presence::present ||
        (unheard && !current_send_)) {
        return;
    }
    end_departed(decision);
}

/// Ends a request whose caller has left or may have left. What a daemon that is
/// there after all gets says whether the request has run.
void forwarded_request::end_departed(
    dispatch::presence_decision const& decision)
{
    auto const sent =
        current_send_.has_value() && current_send_->connection->has_sent();
    auto const may_have_run = attempts_.may_have_run || sent;
    log_presence(decision, sent ? "end_run" : "end");
    context_.metrics.count_state_change(decision.reason);
    end_send(dispatch::send_outcome::cancelled);
    if (may_have_run || caller_->response_started()) {
        abort_answer(decision.reason);
    } else {
        refuse(decision.reason, unheard_retry_delay);
    }
}

void forwarded_request::log_presence(
    dispatch::presence_decision const& decision, char const* action)
{
    auto const now = monotonic_clock::now();
    auto const& origin = request_.metadata.origin;
    log_entry{context_.log, log_category::failure, "caller_presence"}
        .with("id", request_.metadata.attempt_id)
        .with("reason", decision.reason)
        .with("action", action)
        .with("origin", origin ? origin->daemon : "")
        .with("silence", decision.silence)
        .with("patience_left", patient_until() - now)
        .with("sends", send_count_)
        .with("events", relayed_events_)
        .with("left", time_left(now));
}

std::string const& forwarded_request::current_peer() const
{
    static std::string const none;
    return current_send_ ? current_send_->peer : none;
}

} // namespace medlarstall::gateway
