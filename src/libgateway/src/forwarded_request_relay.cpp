// Relaying of the answer of a backend server to the caller.

#include <medlarstall/gateway/forwarded_request.hpp>

#include <utility>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

constexpr int success_status_class = 2;
constexpr int misdirected_request = 421;
constexpr int first_server_error = 500; ///< Lowest status of an error.

/// Largest answer in bytes that is buffered before it is delivered.
constexpr std::size_t max_buffered_answer = 262144;
/// The same while memory is scarce.
constexpr std::size_t scarce_buffered_answer = 16384;

} // namespace

bool forwarded_request::belongs_to_request(
    http::response_head const& head) const
{
    auto const metadata = context_.protocol.parse_answer(head);
    if (metadata.attempt_id) {
        return *metadata.attempt_id == request_.metadata.attempt_id;
    }
    // A server may write an earlier refusal once more.
    return metadata.rejected && !current_send_->connection->is_reused();
}

void forwarded_request::on_interim_head(http::response_head const& head)
{
    if (is_of_listed_run()) {
        context_.on_server_metadata(current_send_->placement.backend_server,
                                    context_.protocol.parse_answer(head),
                                    std::nullopt);
    }
}

void forwarded_request::on_head(http::response_head& head)
{
    auto const now = monotonic_clock::now();
    auto const metadata = context_.protocol.parse_answer(head);
    auto const& server = current_send_->placement.backend_server;
    current_send_->last_progress_at = now;
    auto const from_peer = !current_send_->peer.empty();
    if (from_peer && is_refusal_of_peer(head, metadata)) {
        current_send_->rejected = true;
        current_send_->mode = relay_mode::discarded;
        current_send_->requested_pause = metadata.requested_pause;
        return;
    }
    if (!from_peer) {
        context_.paths.on_contact(service_, now);
    }
    if (!from_peer && is_of_listed_run()) {
        context_.dispatcher.on_server_answer(server, now);
    }
    auto const misdirected = head.status == misdirected_request;
    auto const rejected = metadata.rejected || misdirected;
    if (is_of_listed_run()) {
        if (!misdirected &&
            !from_peer) { // Otherwise another backend server has answered.
            context_.on_server_metadata(
                server, metadata,
                rejected ? std::nullopt
                         : std::optional{current_send_->reservation.sent_at});
        }
        if (metadata.load) {
            context_.dispatcher.on_load_report(server, *metadata.load, now);
        }
        auto* const health = context_.dispatcher.health_tracker_of(server);
        if (health != nullptr) {
            health->on_data_received();
        }
    }
    current_send_->rejected = rejected;
    if (rejected) {
        current_send_->mode = relay_mode::discarded;
        return;
    }
    context_.protocol.prepare_answer(head);
    current_send_->head = std::move(head);
    auto const is_stream =
        request_.route->kind == routes::route_kind::stream &&
        current_send_->head.status / 100 == success_status_class;
    note_process();
    if (is_stream) {
        current_send_->mode = relay_mode::events;
        splitter_.discard_partial_event();
        if (must_verify_release()) {
            context_.identify_process(server);
        }
    } else {
        current_send_->mode = relay_mode::buffered;
        // A stream begins with its first event, which an error does not have.
        // An error of a peer itself may have another cause.
        if (request_.route->kind != routes::route_kind::stream &&
            (!from_peer || metadata.from_backend_server)) {
            note_run(current_send_->reservation.sent_at);
        }
        context_.dispatcher.on_answer_started(current_send_->reservation, now);
    }
}

void forwarded_request::on_body(std::string const& bytes)
{
    if (current_send_->mode != relay_mode::events) {
        current_send_->last_progress_at = monotonic_clock::now();
    }
    switch (current_send_->mode) {
    case relay_mode::events:
        relay_events(bytes);
        break;
    case relay_mode::chunks:
        caller_->write(bytes);
        break;
    case relay_mode::discarded:
        break;
    default:
        if (caller_->response_started()) {
            break; // An answer that is no stream cannot continue one.
        }
        current_send_->body += bytes;
        if (current_send_->body.size() > (caller_->memory_is_scarce()
                                              ? scarce_buffered_answer
                                              : max_buffered_answer)) {
            current_send_->mode = relay_mode::chunks;
            begin_relay();
            caller_->write(std::exchange(current_send_->body, {}));
        }
        break;
    }
    if (!current_send_) {
        return;
    }
    count_held_answer();
    if (caller_->unsent_bytes() > caller_->max_unsent_bytes()) {
        current_send_->connection->pause();
    }
}

/// Counts the request once when it has begun to run. A peer that it was passed
/// on to has counted it, and a stream that is taken up was counted when it
/// began.
void forwarded_request::note_run(time_point began_at)
{
    auto const was_noted = std::exchange(run_noted_, true);
    if (was_noted || !current_send_->peer.empty() || is_taken_up() ||
        request_.organisation == nullptr || !context_.on_run_began) {
        return;
    }
    context_.on_run_began(request_.organisation->name, began_at);
}

/// Counts the part of the answer that is held until it can be relayed.
void forwarded_request::count_held_answer()
{
    caller_->set_held_bytes(
        current_send_ ? http::heap_bytes(current_send_->body) : 0);
}

/// Reads on from the backend server once the caller has taken half of what may
/// be held for it. Waiting until it has taken all would leave the server
/// unread for as long as a slow caller takes for that.
void forwarded_request::resume_if_sent()
{
    if (current_send_ && !current_send_->held_since &&
        caller_->unsent_bytes() <= caller_->max_unsent_bytes() / 2) {
        current_send_->connection->resume();
    }
}

void forwarded_request::note_first_byte()
{
    if (first_byte_at_ != time_point{}) {
        return;
    }
    first_byte_at_ = monotonic_clock::now();
    context_.metrics.observe_first_chunk(name_of(request_.route->kind),
                                         first_byte_at_ - began_at_);
}

void forwarded_request::begin_relay()
{
    if (!caller_->response_started()) {
        note_first_byte();
        caller_->start_response(current_send_->head);
    }
}

void forwarded_request::relay_events(std::string const& bytes)
{
    if (current_send_->held_since || must_verify_release()) {
        hold_events(bytes);
        return;
    }
    auto const events = splitter_.feed(bytes);
    if (splitter_.partial_event_too_long()) {
        on_failed(http::call_failure::malformed);
        return;
    }
    if (events.empty()) {
        return;
    }
    // Bytes that complete no event are no progress: a stuck server may go on
    // sending some.
    current_send_->last_progress_at = monotonic_clock::now();
    if (current_send_->peer.empty()) {
        context_.paths.on_contact(service_, current_send_->last_progress_at);
        if (is_of_listed_run()) {
            context_.dispatcher.on_server_answer(
                current_send_->placement.backend_server,
                current_send_->last_progress_at);
        }
    }
    context_.dispatcher.on_answer_started(current_send_->reservation,
                                          current_send_->last_progress_at);
    note_run(current_send_->last_progress_at);
    std::string text;
    for (auto const& event : events) {
        if (!append_event(event, text)) {
            end_send(dispatch::send_outcome::failed);
            abort_answer("event_missing");
            return;
        }
    }
    begin_relay();
    note_origin();
    caller_->write(text);
}

/// Appends an event to the text for the caller, unless it was relayed already
/// before the stream was resumed.
/// \return false if events between the last relayed one and this are missing
bool forwarded_request::append_event(stream_event const& event,
                                     std::string& text)
{
    if (event.id && last_event_id_) {
        if (*event.id <= *last_event_id_) {
            return true;
        }
        if (*event.id != *last_event_id_ + 1) {
            return false;
        }
    }
    if (event.id) {
        last_event_id_ = event.id;
    }
    ++relayed_events_;
    auto const now = monotonic_clock::now();
    if (last_event_at_ != time_point{}) {
        longest_pause_ = std::max(longest_pause_, now - last_event_at_);
    }
    last_event_at_ = now;
    text += event.bytes;
    return true;
}

void forwarded_request::on_complete()
{
    if (current_send_->mode == relay_mode::events &&
        (current_send_->held_since || must_verify_release())) {
        current_send_->complete_while_held = true;
        hold_events({});
        return;
    }
    if (current_send_->mode == relay_mode::events &&
        splitter_.has_partial_event()) {
        on_failed(http::call_failure::truncated);
        return;
    }
    if (current_send_->rejected) {
        release_connection();
        on_rejected();
        return;
    }
    auto const status = current_send_->head.status;
    auto const failed = status >= first_server_error;
    auto const from_peer = !current_send_->peer.empty();
    if (failed && !from_peer && may_retry_elsewhere()) {
        release_connection();
        send_elsewhere("server_error");
        return;
    }
    if (current_send_->mode == relay_mode::buffered &&
        caller_->response_started()) {
        // The rest of a stream was asked for, and this answer is no stream.
        release_connection();
        end_send(dispatch::send_outcome::failed);
        handle_send_failure(dispatch::send_failure::outcome_unknown,
                            "no_stream");
        return;
    }
    // A stream without events may come from a server that is just crashing.
    auto const has_content =
        current_send_->mode != relay_mode::events || relayed_events_ > 0;
    if (status / 100 == success_status_class && has_content && !from_peer) {
        context_.dispatcher.crashes().on_success(crash_suspect_,
                                                 monotonic_clock::now());
    }
    if (current_send_->mode == relay_mode::buffered) {
        deliver_buffered();
    } else {
        begin_relay();
        caller_->finish();
    }
    release_connection();
    end_send(failed ? dispatch::send_outcome::failed
                    : dispatch::send_outcome::succeeded);
    context_.metrics.observe_total_time(name_of(request_.route->kind),
                                        monotonic_clock::now() - began_at_);
    finish(status, "answered",
           failed ? log_category::failure : log_category::success);
}

/// Keeps the connection of the current send for other requests, unless it leads
/// to an earlier run of its backend server, which may not have ended yet.
void forwarded_request::release_connection()
{
    auto const from_peer = !current_send_->peer.empty();
    if (from_peer || is_of_listed_run()) {
        context_.pool.release(current_send_->placement.backend_server,
                              current_send_->connection);
    } else {
        current_send_->connection->cancel();
    }
}

/// Draws from the retry budget if the other conditions hold.
/// \return true if a request that this backend server answered with an error
///     may be retried at another
bool forwarded_request::may_retry_elsewhere()
{
    return may_run_elsewhere() &&
           time_left(monotonic_clock::now()) > min_retry_time &&
           take_retry_budget(dispatch::send_failure::outcome_unknown);
}

void forwarded_request::deliver_buffered()
{
    note_first_byte();
    caller_->respond({current_send_->head, std::move(current_send_->body)});
}

void forwarded_request::on_rejected()
{
    if (!current_send_->peer.empty()) {
        on_refused_by_peer();
        return;
    }
    end_send(dispatch::send_outcome::rejected);
    handle_send_failure(dispatch::send_failure::rejected, "turned_away");
}

} // namespace medlarstall::gateway
