// Backend servers that send nothing for too long, and times in which this
// daemon did not run.

#include <medlarstall/gateway/forwarded_request.hpp>

#include <algorithm>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

/// Silence of a backend server during a stream that makes it suspicious.
constexpr milliseconds suspicious_stream_silence{1200};
/// Time after which a retry that the budget did not allow is asked for again.
constexpr milliseconds withheld_retry_delay{500};

} // namespace

milliseconds forwarded_request::max_silence_before_answer() const
{
    auto const& route = *request_.route;
    if (route.kind == routes::route_kind::stream) {
        return std::max(route.objective, suspicious_stream_silence);
    }
    constexpr int objectives = 2;
    return route.objective * objectives;
}

/// \return time without an event after which a stream counts as stuck, even if
///     its backend server seems healthy
milliseconds forwarded_request::max_silence_in_stream() const
{
    constexpr int pauses = 4; // A slow server may far exceed the objective.
    auto const wanted = std::max(2 * suspicious_stream_silence,
                                 pauses * request_.route->pause_objective);
    // Another server must have the time to go on before the caller gives up.
    auto const gap =
        std::chrono::duration_cast<milliseconds>(patience_.gap) * 3 / 4;
    return std::min(wanted, gap);
}

void forwarded_request::note_suspension(duration suspended, time_point now)
{
    if (finished_) {
        return;
    }
    if (current_send_) {
        current_send_->last_progress_at = now;
    }
    if (suspended > duration::zero()) {
        deadline_ -= suspended;
        start_deadline_timer();
    }
}

void forwarded_request::check_silence(time_point now)
{
    if (!current_send_ || finished_ || !current_send_->peer.empty() ||
        current_send_->checks_end || current_send_->held_since) {
        return;
    }
    auto const silence = now - current_send_->last_progress_at;
    auto const expected = milliseconds{static_cast<std::int64_t>(
        current_send_->placement.expected_first_event)};
    auto const suspicious_silence =
        current_send_->reservation.answer_started
            ? suspicious_stream_silence
            : max_silence_before_answer() + 2 * expected;
    if (silence < suspicious_silence) {
        return;
    }
    note_path_failure(now);
    auto* const health = health_of_run();
    if (health != nullptr) {
        health->on_no_data(now);
    }
    // A run that has left the list has no health record. It is not known to
    // be down, and may still serve what it has begun.
    auto const down =
        health != nullptr && health->state() == dispatch::health::down;
    auto const repeatable =
        request_.route->kind == routes::route_kind::idempotent;
    auto const stuck = current_send_->reservation.answer_started &&
                       silence > max_silence_in_stream();
    if (down || repeatable || stuck) {
        leave_silent_server(now);
    }
}

/// Sends the request to another backend server if one can go on with it. The
/// silent one is all that the caller has otherwise.
void forwarded_request::leave_silent_server(time_point now)
{
    identify_origin();
    if (first_send_ && !origin_) {
        context_.identify_process(first_send_->server);
    }
    if (!may_run_elsewhere() || now < current_send_->no_retry_before ||
        !has_successor(now)) {
        return;
    }
    if (!take_retry_budget(dispatch::send_failure::outcome_unknown)) {
        current_send_->no_retry_before = now + withheld_retry_delay;
        return;
    }
    send_elsewhere("silent");
}

} // namespace medlarstall::gateway
