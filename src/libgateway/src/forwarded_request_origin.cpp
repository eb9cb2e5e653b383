// Which release of a service began a stream, and must continue it.

#include <medlarstall/gateway/forwarded_request.hpp>

#include <medlarstall/dispatch/waiting_policy.hpp>
#include <medlarstall/support/digest.hpp>

#include <algorithm>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

/// Longest wait for the record of a stream that a caller takes up: the daemon
/// that began it writes the record a little after the first event.
constexpr milliseconds max_record_wait{1000};
/// A request waits for at most its time left divided by this.
constexpr int record_wait_divisor = 3;
/// Retry-After of a stream of which nobody knows what began it.
constexpr milliseconds unknown_origin_retry_delay{400};

} // namespace

/// \return true if the caller has the beginning of the stream already
bool forwarded_request::is_taken_up() const
{
    return request_.route->kind == routes::route_kind::stream &&
           request_.metadata.resume_after.has_value();
}

bool forwarded_request::may_wait_for_origin(time_point now) const
{
    auto const max_wait = std::min<duration>(
        max_record_wait, (deadline_ - began_at_) / record_wait_divisor);
    return now - began_at_ < max_wait && !context_.store_is_away();
}

void forwarded_request::wait_for_origin()
{
    waits_for_origin_ = true;
    context_.refresh_origins(service_);
    check_again_later();
}

void forwarded_request::resume()
{
    if (finished_) {
        return;
    }
    if (waits_for_origin_) {
        find_origin();
    } else if (held_failure_) {
        check_held_failure();
    } else if (current_send_ && current_send_->held_since) {
        verify_release();
    }
}

/// Looks up which release began the stream that the caller takes up. Waits for
/// a read of the list that began after the request arrived, or for the records
/// of other daemons, and refuses the request rather than guess.
void forwarded_request::find_origin()
{
    auto const now = monotonic_clock::now();
    auto const& attempt = request_.metadata.resumed_attempt;
    if (!attempt.empty()) {
        stream_id_ = hash64(attempt);
    }
    auto const list_current = context_.list_is_current(list_read_before_);
    auto const origin =
        context_.origins.find(stream_id_, service_, list_current, now);
    auto const is_known = !origin.release.version.empty();
    auto const is_final = origin.evidence != dispatch::origin_evidence::none;
    if (!is_final && may_wait_for_origin(now)) {
        wait_for_origin();
        return;
    }
    waits_for_origin_ = false;
    wait_timer_.cancel();
    context_.metrics.count_state_change(std::string{"stream_origin_"} +
                                        name_of(origin.evidence));
    log_entry{context_.log, log_category::failure, "taken_up"}
        .with("id", request_.metadata.attempt_id)
        .with("resumes", attempt)
        .with("service", service_)
        .with("evidence", name_of(origin.evidence))
        .with("version", origin.release.version)
        .with("list_current", list_current ? "yes" : "no")
        .with("mixed", context_.origins.is_mixed(service_, now) ? "yes" : "no")
        .with("waited", now - began_at_);
    count_request();
    if (is_known) {
        continue_at(origin);
    } else {
        refuse("stream_origin_unknown", unknown_origin_retry_delay);
    }
}

void forwarded_request::continue_at(dispatch::stream_origin const& origin)
{
    origin_ = origin.release;
    auto const& services = request_.route->services;
    auto const allowed = std::ranges::any_of(services, [&](auto const& item) {
        return item.weight > 0 && item.service == origin_->service;
    });
    if (allowed) {
        service_ = origin_->service;
    }
    if (stream_id_) {
        context_.origins.on_begun(*stream_id_, *origin_,
                                  monotonic_clock::now());
    }
    choose_server();
}

/// Called at the end of the request.
/// \param complete whether the caller got a whole answer
void forwarded_request::end_stream(bool complete)
{
    if (!stream_id_ || !request_.route->resumable) {
        return;
    }
    identify_origin();
    if (!origin_) {
        if (first_send_ && !complete) {
            end_unidentified_stream();
        }
        return;
    }
    auto const now = monotonic_clock::now();
    context_.origins.on_ended(*stream_id_, complete, now);
    if (!complete && context_.origins.is_mixed(origin_->service, now)) {
        context_.publish_origins();
    }
}

/// The caller may take the stream up at any daemon, and none can tell which
/// release has begun it.
void forwarded_request::end_unidentified_stream()
{
    log_entry{context_.log, log_category::failure, "stream_unidentified"}
        .with("id", request_.metadata.attempt_id)
        .with("server", first_send_->server)
        .with("service", service_)
        .with("connected",
              first_send_->span.last_received_at - first_send_->span.opened_at)
        .with("events", relayed_events_);
    context_.announce_unidentified(*stream_id_, service_);
}

} // namespace medlarstall::gateway
