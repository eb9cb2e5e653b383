// Answers with neither a length nor chunks, which end with their connection.

#include <medlarstall/gateway/forwarded_request.hpp>

namespace medlarstall::gateway {

/// Called when an answer was read to its end. If only the end of its connection
/// has ended it, the process of the backend server may have ended within the
/// answer, since the kernel closes a connection in the same way.
void forwarded_request::on_answer_end()
{
    auto const is_partial = current_send_->mode == relay_mode::events &&
                            splitter_.has_partial_event();
    if (!current_send_->ends_with_connection || current_send_->rejected ||
        is_partial) {
        on_complete();
        return;
    }
    current_send_->checks_end = true;
    context_.dispatcher.on_answer_ended(current_send_->reservation,
                                        monotonic_clock::now());
    context_.answer_ends.check(
        current_send_->placement.backend_server, *current_send_->connection,
        [weak = weak_from_this(), number = current_send_->number](
            dispatch::answer_end_decision const& decision) {
            auto const self = weak.lock();
            if (self && self->current_send_ &&
                self->current_send_->number == number) {
                self->on_end_decided(decision);
            }
        });
}

void forwarded_request::on_end_decided(
    dispatch::answer_end_decision const& decision)
{
    context_.metrics.count_state_change(
        decision.complete ? "answer_end_complete" : "answer_end_broken");
    log_entry line{context_.log,
                   decision.complete ? log_category::success
                                     : log_category::failure,
                   "answer_end"};
    line.with("id", request_.metadata.attempt_id)
        .with("server", current_send_->placement.backend_server)
        .with("complete", decision.complete ? "yes" : "no")
        .with("evidence", name_of(decision.evidence))
        .with("age", decision.age)
        .with("checked_together", decision.checked_together)
        .with("events", relayed_events_);
    if (decision.evidence_age) {
        line.with("evidence_age", *decision.evidence_age);
    }
    if (decision.complete) {
        on_complete();
    } else {
        on_failed(http::call_failure::truncated);
    }
}

} // namespace medlarstall::gateway
