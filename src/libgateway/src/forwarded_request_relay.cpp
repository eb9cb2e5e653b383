// How the answer of a backend server gets to the caller.

#include <medlarstall/gateway/forwarded_request.hpp>

#include <utility>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

constexpr int success_class = 2;
constexpr int misdirected = 421;
constexpr int server_error = 500;

/// Largest answer that is collected before it is delivered.
constexpr std::size_t most_collected = 262144;
/// Bytes that a slow caller may leave unread before the server is slowed down.
constexpr std::size_t most_unsent = 131072;
constexpr milliseconds least_retry_time{40};

} // namespace

bool forwarded_request::belongs(http::response_head const& head) const
{
    auto const facts = shared_.protocol.read_answer(head);
    if (facts.attempt_id) {
        return *facts.attempt_id == request_.facts.attempt_id;
    }
    return facts.not_run;
}

void forwarded_request::on_interim(http::response_head const& head)
{
    shared_.note_server_facts(send_->where.backend_server,
                              shared_.protocol.read_answer(head));
}

void forwarded_request::on_head(http::response_head& head)
{
    auto const now = decision_clock::now();
    auto const facts = shared_.protocol.read_answer(head);
    auto const& server = send_->where.backend_server;
    send_->last_progress = now;
    shared_.note_server_facts(server, facts);
    if (facts.load) {
        shared_.dispatcher.note_report(server, *facts.load, now);
    }
    if (auto* const state = shared_.dispatcher.health_of(server)) {
        state->on_alive();
    }
    send_->turned_away = facts.not_run || head.status == misdirected;
    if (send_->turned_away) {
        send_->mode = relay_mode::discarded;
        return;
    }
    shared_.protocol.prepare_answer(head);
    send_->head = std::move(head);
    auto const is_stream = request_.route->kind == routes::route_kind::stream &&
                           send_->head.status / 100 == success_class;
    if (is_stream) {
        send_->mode = relay_mode::events;
        splitter_.restart();
    } else {
        send_->mode = relay_mode::whole;
        shared_.dispatcher.note_answer(send_->held, now);
    }
}

void forwarded_request::on_body(std::string const& bytes)
{
    if (send_->mode != relay_mode::events) {
        send_->last_progress = decision_clock::now();
    }
    switch (send_->mode) {
    case relay_mode::events:
        relay_events(bytes);
        break;
    case relay_mode::pieces:
        caller_->write(bytes);
        break;
    case relay_mode::discarded:
        break;
    default:
        send_->body += bytes;
        if (send_->body.size() > most_collected) {
            send_->mode = relay_mode::pieces;
            begin_relay();
            caller_->write(std::exchange(send_->body, {}));
        }
        break;
    }
    if (send_ && caller_->unsent() > most_unsent) {
        send_->connection->pause();
    }
}

void forwarded_request::note_first_piece()
{
    if (first_piece_ != time_point{}) {
        return;
    }
    first_piece_ = decision_clock::now();
    shared_.metrics.observe_first(name_of(request_.route->kind),
                                  first_piece_ - began_);
}

void forwarded_request::begin_relay()
{
    if (!caller_->begun()) {
        note_first_piece();
        caller_->begin(send_->head);
    }
}

void forwarded_request::relay_events(std::string const& bytes)
{
    auto const events = splitter_.feed(bytes);
    if (splitter_.too_long()) {
        on_failed(http::call_failure::malformed);
        return;
    }
    if (events.empty()) {
        return;
    }
    // Bytes that make no event do not count: a server that is stuck may go on
    // sending some.
    send_->last_progress = decision_clock::now();
    shared_.dispatcher.note_answer(send_->held, send_->last_progress);
    std::string text;
    for (auto const& event : events) {
        if (!relay_event(event, text)) {
            end_send(dispatch::send_outcome::failed);
            break_off("event_missing");
            return;
        }
    }
    begin_relay();
    caller_->write(text);
}

/// Adds an event to the text for the caller, unless the caller has it.
/// \return false if events before it are missing
bool forwarded_request::relay_event(stream_event const& event,
                                    std::string& text)
{
    if (event.id && last_event_) {
        if (*event.id <= *last_event_) {
            return true;
        }
        if (*event.id != *last_event_ + 1) {
            return false;
        }
    }
    if (event.id) {
        last_event_ = event.id;
    }
    ++relayed_events_;
    auto const now = decision_clock::now();
    if (last_event_at_ != time_point{}) {
        longest_pause_ = std::max(longest_pause_, now - last_event_at_);
    }
    last_event_at_ = now;
    text += event.bytes;
    return true;
}

void forwarded_request::on_complete()
{
    if (send_->mode == relay_mode::events && splitter_.within_event()) {
        on_failed(http::call_failure::truncated);
        return;
    }
    if (send_->turned_away) {
        shared_.pool.give_back(send_->where.backend_server, send_->connection);
        on_turned_away();
        return;
    }
    auto const status = send_->head.status;
    auto const failed = status >= server_error;
    if (failed && may_try_elsewhere()) {
        shared_.pool.give_back(send_->where.backend_server, send_->connection);
        end_send(dispatch::send_outcome::failed);
        ++attempts_.reached;
        attempts_.may_have_run = true;
        log_failed_send("server_error", dispatch::next_step::send_again);
        look_for_server();
        return;
    }
    if (send_->mode == relay_mode::whole && caller_->begun()) {
        // Instead of the rest of a stream.
        shared_.pool.give_back(send_->where.backend_server, send_->connection);
        end_send(dispatch::send_outcome::failed);
        after_failure(dispatch::send_failure::lost, "no_stream");
        return;
    }
    shared_.dispatcher.crashes().note_success(fingerprint_);
    if (send_->mode == relay_mode::whole) {
        deliver_whole();
    } else {
        begin_relay();
        caller_->finish();
    }
    shared_.pool.give_back(send_->where.backend_server, send_->connection);
    end_send(failed ? dispatch::send_outcome::failed
                    : dispatch::send_outcome::good);
    shared_.metrics.observe_whole(name_of(request_.route->kind),
                                  decision_clock::now() - began_);
    finish(status, "answered",
           failed ? line_kind::failure : line_kind::success);
}

/// \return true if another backend server may do what this one failed at
bool forwarded_request::may_try_elsewhere()
{
    return may_run_elsewhere() &&
           time_left(decision_clock::now()) > least_retry_time &&
           has_budget(dispatch::send_failure::lost);
}

void forwarded_request::deliver_whole()
{
    note_first_piece();
    caller_->respond({send_->head, std::move(send_->body)});
}

void forwarded_request::on_turned_away()
{
    end_send(dispatch::send_outcome::turned_away);
    after_failure(dispatch::send_failure::turned_away, "turned_away");
}

} // namespace medlarstall::gateway
