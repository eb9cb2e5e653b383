// End of a request: refusals, unknown outcomes, the time limit, callers that
// disconnect, and the final log line.

#include <medlarstall/gateway/forwarded_request.hpp>

#include <medlarstall/dispatch/waiting_policy.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;
/// Retry-After of a request that reached its time limit before it was sent.
constexpr milliseconds not_sent_retry_delay{60};

milliseconds to_milliseconds(duration span)
{
    return std::chrono::duration_cast<milliseconds>(span);
}

} // namespace

milliseconds forwarded_request::spread_retry_delay(milliseconds base) const
{
    // Spread, so that callers that are refused together do not retry together.
    constexpr std::uint64_t spread_percent = 100;
    auto const extra = base * static_cast<std::int64_t>(hash_ % spread_percent);
    return base + extra / static_cast<std::int64_t>(spread_percent);
}

/// \return time until a backend server of the service is expected to accept
///     requests again; at least the given time
milliseconds
forwarded_request::retry_delay_after_pause(milliseconds minimum) const
{
    auto const unusable = context_.dispatcher.time_until_usable(
        service_, urgency_share(), monotonic_clock::now());
    return std::max(minimum, to_milliseconds(unusable));
}

void forwarded_request::refuse(char const* code, milliseconds retry_after)
{
    answer_from_gateway(service_unavailable, code,
                        spread_retry_delay(retry_after));
}

/// Refuses a request because the backend servers of its service have had as
/// many requests as their rate limits allow.
void forwarded_request::refuse_rate_limited(
    dispatch::limited_return const& booked, time_point now)
{
    log_entry{context_.log, log_category::failure, "refused"}
        .with("id", request_.metadata.attempt_id)
        .with("reason", "rate_limited")
        .with("service", service_)
        .with("urgency", urgency())
        .with("limited_servers", booked.limited_servers)
        .with("limit_per_second", std::to_string(booked.requests_per_second))
        .with("limit_age", booked.age)
        .with("sharers", booked.sharers)
        .with("waited", now - began_at_)
        .with("back", booked.delay);
    context_.metrics.count_rate_limit_decision("refused");
    answer_from_gateway(service_unavailable, "rate_limited",
                        std::max(dispatch::rejected_retry_after,
                                 to_milliseconds(booked.delay)));
}

void forwarded_request::answer_error(int status, char const* code)
{
    answer_from_gateway(status, code, std::nullopt);
}

void forwarded_request::answer_from_gateway(
    int status, char const* code, std::optional<milliseconds> retry_after)
{
    caller_->respond(context_.protocol.write_gateway_answer(
        {status, code, retry_after, request_.metadata.attempt_id}));
    finish(status, code, log_category::failure);
}

void forwarded_request::abort_answer(char const* reason)
{
    caller_->abort();
    finish(0, reason, log_category::failure);
}

void forwarded_request::on_deadline()
{
    if (finished_) {
        return;
    }
    auto const sent =
        current_send_.has_value() && current_send_->connection->has_sent();
    auto const may_have_run = attempts_.may_have_run || sent;
    if (sent && current_send_->peer.empty() &&
        current_send_->mode == relay_mode::undecided) {
        note_path_failure(monotonic_clock::now());
    }
    end_send(dispatch::send_outcome::cancelled);
    if (caller_->response_started()) {
        abort_answer("time_limit");
    } else if (may_have_run) {
        answer_error(gateway_timeout, "time_limit");
    } else {
        refuse("time_limit_not_sent", not_sent_retry_delay);
    }
}

void forwarded_request::on_caller_left()
{
    if (finished_) {
        return;
    }
    end_send(dispatch::send_outcome::cancelled);
    finish(0, "caller_left", log_category::success);
}

void forwarded_request::stop()
{
    if (!finished_) {
        end_send(dispatch::send_outcome::cancelled);
        abort_answer("stopping");
    }
}

/// \return which latency objective of the route was missed, for log lines:
///     "first", "pause" or "no"
char const* forwarded_request::missed_objective() const
{
    auto const& route = *request_.route;
    auto const answered = first_byte_at_ != time_point{};
    if (answered && first_byte_at_ - began_at_ > route.objective) {
        return "first";
    }
    auto const pauses_count = route.pause_objective.count() > 0;
    return pauses_count && longest_pause_ > route.pause_objective ? "pause"
                                                                  : "no";
}

void forwarded_request::finish(int status, char const* reason,
                               log_category category)
{
    if (std::exchange(finished_, true)) {
        return;
    }
    end_send(dispatch::send_outcome::cancelled);
    end_stream(category == log_category::success && status != 0);
    auto const now = monotonic_clock::now();
    auto const& route = *request_.route;
    deadline_timer_.cancel();
    wait_timer_.cancel();
    context_.metrics.count_response(name_of(route.kind), status, reason);
    auto const answered = first_byte_at_ != time_point{};
    log_entry{context_.log, category, "answer"}
        .with("id", request_.metadata.attempt_id)
        .with("status", status)
        .with("reason", reason)
        .with("route", route.name)
        .with("service", service_)
        .with("organisation", request_.organisation != nullptr
                                  ? request_.organisation->name
                                  : "")
        .with("server", tried_servers_.empty() ? "" : tried_servers_.back())
        .with("sends", send_count_)
        .with("first", to_milliseconds(answered ? first_byte_at_ - began_at_
                                                : milliseconds{-1}))
        .with("took", now - began_at_)
        .with("late", missed_objective())
        .with("events", relayed_events_)
        .with("longest_pause", longest_pause_)
        .with("configuration", request_.route_table->version());
    on_finished_(this);
}

} // namespace medlarstall::gateway
