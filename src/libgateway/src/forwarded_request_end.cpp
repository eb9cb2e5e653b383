// How a request ends: refusals, unknown outcomes, the time limit, callers that
// leave, and the line that tells of it.

#include <medlarstall/gateway/forwarded_request.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;
constexpr milliseconds not_sent_return{60};

milliseconds whole_ms(duration span)
{
    return std::chrono::duration_cast<milliseconds>(span);
}

} // namespace

milliseconds forwarded_request::return_after(milliseconds base) const
{
    // Spread, so that those turned away together do not return together.
    constexpr std::uint64_t spread_percent = 100;
    auto const extra = base * static_cast<std::int64_t>(hash_ % spread_percent);
    return base + extra / static_cast<std::int64_t>(spread_percent);
}

/// \return when a backend server may be expected to take the request
milliseconds forwarded_request::return_when_wanted(milliseconds least) const
{
    auto const paused =
        shared_.dispatcher.pause_left(service_, decision_clock::now());
    return std::max(least, whole_ms(paused));
}

void forwarded_request::refuse(char const* code, milliseconds retry_after)
{
    answer_own(unavailable, code, return_after(retry_after));
}

void forwarded_request::give_up(int status, char const* code)
{
    answer_own(status, code, std::nullopt);
}

void forwarded_request::answer_own(int status, char const* code,
                                   std::optional<milliseconds> retry_after)
{
    caller_->respond(shared_.protocol.write_own(
        {status, code, retry_after, request_.facts.attempt_id}));
    finish(status, code, line_kind::failure);
}

void forwarded_request::break_off(char const* reason)
{
    caller_->abort();
    finish(0, reason, line_kind::failure);
}

void forwarded_request::on_deadline()
{
    if (over_told_) {
        return;
    }
    auto const sent = send_.has_value() && send_->connection->has_sent();
    auto const may_have_run = attempts_.may_have_run || sent;
    end_send(dispatch::send_outcome::withdrawn);
    if (caller_->begun()) {
        break_off("time_limit");
    } else if (may_have_run) {
        give_up(gateway_timeout, "time_limit");
    } else {
        refuse("time_limit_not_sent", not_sent_return);
    }
}

void forwarded_request::on_caller_left()
{
    if (over_told_) {
        return;
    }
    end_send(dispatch::send_outcome::withdrawn);
    finish(0, "caller_left", line_kind::success);
}

void forwarded_request::stop()
{
    if (!over_told_) {
        end_send(dispatch::send_outcome::withdrawn);
        break_off("stopping");
    }
}

/// \return which objective of the route was missed, for log lines
char const* forwarded_request::lateness() const
{
    auto const& route = *request_.route;
    auto const answered = first_piece_ != time_point{};
    if (answered && first_piece_ - began_ > route.objective) {
        return "first";
    }
    auto const pauses_count = route.pause_objective.count() > 0;
    return pauses_count && longest_pause_ > route.pause_objective ? "pause"
                                                                  : "no";
}

void forwarded_request::finish(int status, char const* reason, line_kind kind)
{
    if (std::exchange(over_told_, true)) {
        return;
    }
    end_send(dispatch::send_outcome::withdrawn);
    auto const now = decision_clock::now();
    auto const& route = *request_.route;
    deadline_timer_.cancel();
    wait_timer_.cancel();
    shared_.metrics.count_answer(name_of(route.kind), status, reason);
    auto const answered = first_piece_ != time_point{};
    decision_line{shared_.log, kind, "answer"}
        .with("id", request_.facts.attempt_id)
        .with("status", status)
        .with("reason", reason)
        .with("route", route.name)
        .with("service", service_)
        .with("organisation", request_.organisation != nullptr
                                  ? request_.organisation->name
                                  : "")
        .with("server", tried_.empty() ? "" : tried_.back())
        .with("sends", sends_)
        .with("first",
              whole_ms(answered ? first_piece_ - began_ : milliseconds{-1}))
        .with("took", now - began_)
        .with("late", lateness())
        .with("events", relayed_events_)
        .with("longest_pause", longest_pause_)
        .with("configuration", request_.table->version());
    over_(this);
}

} // namespace medlarstall::gateway
