#include <medlarstall/http/server_connection.hpp>

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::http {

namespace {

constexpr int bad_request = 400;
constexpr int request_timeout = 408;
constexpr int content_too_large = 413;
constexpr int header_fields_too_large = 431;
constexpr int service_unavailable = 503;

/// Bytes that are read at once, and of further requests while one awaits its
/// response.
constexpr std::size_t max_read_bytes = 65536;
/// The same while memory is scarce, except for a body that has begun.
constexpr std::size_t scarce_read_bytes = 2048;
/// An unfinished request that holds less is read on while memory is scarce.
constexpr std::size_t min_paused_bytes = 65536;
/// The same once more than the budget is held.
constexpr std::size_t min_paused_if_exceeded = 4096;
/// A request that holds no more is answered whatever others hold.
constexpr std::size_t always_answered_bytes = 4096;
/// How long to wait for the peer to close after the last response, since it
/// last sent something and in all.
constexpr std::chrono::seconds linger_timeout{2};
constexpr std::chrono::seconds max_linger_time{10};
/// Largest request that is read to its end after a refusal, in bodies of the
/// largest size.
constexpr std::size_t max_discarded_bodies = 4;
/// After this time without bytes, no request is likely to be in transit.
constexpr std::chrono::milliseconds min_idle_time{400};

parser_limits parser_limits_of(server_limits const& limits)
{
    return {limits.max_head_bytes, limits.max_body_bytes,
            limits.max_target_bytes, limits.max_field_bytes, limits.max_fields};
}

int status_of(parse_failure failure)
{
    switch (failure) {
    case parse_failure::head_too_large:
        return header_fields_too_large;
    case parse_failure::body_too_large:
        return content_too_large;
    default:
        return bad_request;
    }
}

} // namespace

server_connection::server_connection(std::shared_ptr<byte_channel> channel,
                                     server_limits const& limits,
                                     server_events const& events,
                                     std::shared_ptr<memory_account> account,
                                     std::function<void()> const& check_memory)
    : channel_{std::move(channel)}, limits_{limits}, events_{events},
      parser_{message_kind::request, parser_limits_of(limits)},
      check_memory_{check_memory}, held_{std::move(account)}
{}

void server_connection::start(time_point now)
{
    last_activity_ = now;
    head_started_ = now;
    progress_.restart(0, now);
    channel_->start(
        {.received = [this](std::string_view bytes) { on_bytes(bytes); },
         .closed = [this](std::error_code reason) { on_closed(reason); },
         .sent = [this] { on_sent(); },
         .read_limit =
             [this] {
                 return read_limit();
             }});
}

void server_connection::on_bytes(std::string_view bytes)
{
    auto const self = shared_from_this();
    if (state_ == state::lingering) {
        discard(bytes.size());
        return;
    }
    last_activity_ = monotonic_clock::now();
    if (state_ == state::reading && !parser_.started()) {
        head_started_ = last_activity_;
        progress_.restart(channel_->moved_bytes(), last_activity_);
    }
    keep_unparsed(read_part(bytes));
    update_memory();
    pause_for_memory();
    update_reading();
}

/// Reads on without keeping anything, so that a client that sends all of its
/// request before it reads gets the refusal and sees no reset.
void server_connection::discard(std::size_t bytes)
{
    last_discarded_ = monotonic_clock::now();
    discarded_bytes_ += bytes;
    if (discarded_bytes_ / max_discarded_bodies > limits_.max_body_bytes) {
        close_now();
    }
}

/// Reads the next request from what was read ahead.
void server_connection::read_further_requests()
{
    if (held_.account().decision_due()) {
        read_further_requests_later();
        return;
    }
    auto const rest =
        read_part(std::string_view{unparsed_}.substr(parsed_bytes_));
    if (rest.empty()) {
        drop_unparsed();
    } else {
        parsed_bytes_ = unparsed_.size() - rest.size();
    }
    update_memory();
    pause_for_memory();
    update_reading();
}

/// Lets the event loop serve others before the next request, which may be one
/// of many that were read at once, and does not handle it within the handler of
/// the one before.
void server_connection::read_further_requests_later()
{
    if (std::exchange(further_posted_, true)) {
        return;
    }
    asio::post(channel_->executor(), [self = shared_from_this()] {
        self->further_posted_ = false;
        self->read_further_requests();
    });
}

void server_connection::keep_unparsed(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    unparsed_.erase(0, std::exchange(parsed_bytes_, 0));
    unparsed_.append(bytes);
}

void server_connection::drop_unparsed()
{
    release_text(unparsed_);
    parsed_bytes_ = 0;
}

/// Frees what was read ahead of the response that is due. The connection ends
/// after that response, so that the client sends the others again.
void server_connection::drop_further_requests()
{
    drop_unparsed();
    further_dropped_ = close_after_response_ = true;
    update_memory();
    update_reading();
}

/// \return how many bytes may be read now
std::size_t server_connection::read_limit()
{
    if (held_.account().decision_due() && state_ != state::lingering) {
        return 0;
    }
    switch (state_) {
    case state::reading:
        pause_for_memory();
        if (waiting_since_ || !unparsed_.empty()) {
            return 0;
        }
        return parser_.has_head() ? max_read_bytes : max_read_ahead();
    case state::responding:
    case state::sending:
        return max_read_ahead() - std::min(max_read_ahead(), unparsed_.size());
    case state::lingering:
        return max_read_bytes;
    default:
        return 0;
    }
}

/// \return bytes that may be held before it is known what they belong to
std::size_t server_connection::max_read_ahead() const
{
    if (further_dropped_) {
        return 0;
    }
    return held_.account().under_pressure() ? scarce_read_bytes
                                            : max_read_bytes;
}

void server_connection::update_reading()
{
    if (read_limit() > 0) {
        channel_->resume();
    } else {
        channel_->pause();
    }
    update_memory();
}

/// Parses bytes until a request is complete or rejected.
/// \return the bytes after it; empty if the connection reads no more requests
std::string_view server_connection::read_part(std::string_view bytes)
{
    while (state_ == state::reading && !bytes.empty()) {
        bytes.remove_prefix(parser_.feed(bytes));
        if (parser_.failure() != parse_failure::none) {
            reject_request();
        } else if (parser_.complete()) {
            dispatch_request();
            if (state_ == state::reading && !bytes.empty()) {
                read_further_requests_later();
            }
            break;
        } else if (parser_.has_head() &&
                   parser_.request().headers.contains("expect")) {
            parser_.request().headers.remove("expect");
            send("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }
    return state_ == state::lingering || state_ == state::closed
               ? std::string_view{}
               : bytes;
}

void server_connection::reject_request()
{
    refuse(status_of(parser_.failure()));
}

/// Responds to an unfinished request, and reads no more requests.
void server_connection::refuse(int status)
{
    auto const refusal = events_.refusal(status);
    send(serialize_response_head(refusal.head, body_framing::length,
                                 refusal.body.size(), true) +
         refusal.body);
    events_.refused(status);
    linger();
}

void server_connection::dispatch_request()
{
    auto const bytes = parser_.held_bytes();
    if (bytes > always_answered_bytes && !held_.account().may_answer(bytes)) {
        refuse(service_unavailable);
        return;
    }
    state_ = state::responding;
    may_grow_ = false;
    close_after_response_ = close_after_response_ || !parser_.keeps_alive();
    auto body = parser_.take_body();
    auto head = std::exchange(parser_.request(), {});
    auto const arrived_at = std::max<time_point>(
        last_activity_ - channel_->newest_bytes_age(), reading_since_);
    events_.request(std::make_unique<exchange>(shared_from_this(),
                                               std::move(head), std::move(body),
                                               last_activity_, arrived_at));
}

void server_connection::on_response_finished()
{
    caller_disconnected_handler_ = nullptr;
    sent_handler_ = nullptr;
    last_activity_ = monotonic_clock::now();
    if (state_ != state::responding) {
        return;
    }
    state_ = state::sending;
    if (channel_->unsent_bytes() == 0) {
        on_response_sent();
    } else {
        update_reading();
    }
}

/// Reads the next request only now, so that a client that does not read its
/// answers is not given more of them.
void server_connection::on_response_sent()
{
    if (close_announced_ || further_dropped_ || peer_closed_) {
        linger();
        return;
    }
    state_ = state::reading;
    head_started_ = reading_since_ = last_activity_;
    parser_.reset(parser_limits_of(limits_));
    progress_.restart(channel_->moved_bytes(), last_activity_);
    if (!unparsed_.empty()) {
        read_further_requests_later();
    }
    update_reading();
}

void server_connection::linger()
{
    caller_disconnected_handler_ = nullptr;
    sent_handler_ = nullptr;
    if (state_ == state::closed) {
        return;
    }
    if (peer_closed_) {
        close_now();
        return;
    }
    state_ = state::lingering;
    last_activity_ = monotonic_clock::now();
    drop_unparsed();
    parser_.release();
    waiting_since_.reset();
    channel_->shutdown_when_sent();
    update_reading();
}

void server_connection::close_now()
{
    state_ = state::closed;
    drop_unparsed();
    parser_.release();
    waiting_since_.reset();
    channel_->close();
    update_memory();
}

void server_connection::on_closed(std::error_code reason)
{
    auto const self = shared_from_this();
    peer_closed_ = true;
    if (state_ == state::sending && !reason) {
        return; // It may read on what is left of its answer.
    }
    if (state_ != state::responding) {
        close_now();
        return;
    }
    if (auto const handler =
            std::exchange(caller_disconnected_handler_, nullptr)) {
        handler();
    }
}

void server_connection::check_timeouts(time_point now)
{
    auto const self = shared_from_this();
    if (state_ == state::lingering &&
        (now - std::max(last_activity_, last_discarded_) > linger_timeout ||
         now - last_activity_ > max_linger_time)) {
        close_now();
    }
    // While reading is paused, only the kernel knows that a client has left.
    if (busy() && channel_->paused() && !peer_closed_ &&
        channel_->peer_has_closed()) {
        on_closed({});
    }
    if (state_ == state::sending &&
        now - last_activity_ > limits_.idle_timeout) {
        close_now();
    }
    if (state_ != state::reading || waiting_since_) {
        return;
    }
    if (!parser_.started()) {
        if (now - last_activity_ > limits_.idle_timeout) {
            linger();
        }
        return;
    }
    auto const head_timed_out =
        !parser_.has_head() && now - head_started_ > limits_.head_timeout;
    auto const idle_timed_out = now - last_activity_ > limits_.idle_timeout;
    auto const request_timed_out =
        limits_.request_timeout &&
        now - head_started_ > *limits_.request_timeout;
    if (head_timed_out || idle_timed_out || request_timed_out) {
        refuse(request_timeout);
    }
}

void server_connection::send(std::string_view bytes)
{
    auto const had_sent = channel_->unsent_bytes() == 0;
    channel_->send(bytes);
    if (had_sent && channel_->unsent_bytes() > 0) {
        progress_.restart(channel_->moved_bytes(), monotonic_clock::now());
    }
    update_memory();
}

void server_connection::on_sent()
{
    auto const self = shared_from_this();
    update_memory();
    if (state_ == state::sending) {
        last_activity_ = monotonic_clock::now();
        if (channel_->unsent_bytes() == 0) {
            on_response_sent();
        }
        return;
    }
    if (auto const handler = sent_handler_) {
        handler();
    }
}

void server_connection::count_exchange(std::size_t before, std::size_t after)
{
    exchange_bytes_ += after - before;
    held_.account().change_answering(before, after);
}

/// Counts the capacity of all buffers of the connection.
void server_connection::update_memory()
{
    auto const before = held_.bytes();
    held_.set(sizeof *this + parser_.held_bytes() + heap_bytes(unparsed_) +
              channel_->held_bytes() + exchange_bytes_ +
              (channel_->paused() ? channel_->receive_buffer() : 0));
    if (held_.bytes() > before && held_.account().exceeded()) {
        held_.account().set_decision_due(true);
        check_memory_();
    }
}

/// Stops reading a large request while memory is scarce.
void server_connection::pause_for_memory()
{
    auto const& account = held_.account();
    auto const least =
        account.exceeded() ? min_paused_if_exceeded : min_paused_bytes;
    if (state_ != state::reading || !parser_.started() || may_grow_ ||
        waiting_since_ || !account.under_pressure() || held_.bytes() < least) {
        return;
    }
    waiting_since_ = monotonic_clock::now();
    channel_->pause();
    update_memory();
}

memory_holder server_connection::describe(time_point now)
{
    if (waiting_since_) {
        progress_.restart(channel_->moved_bytes(), now);
    }
    progress_.update(channel_->moved_bytes(), now);
    memory_holder holder;
    holder.bytes = held_.bytes();
    holder.without_progress = now - progress_.at();
    if (channel_->unsent_bytes() > 0) {
        holder.kind = holder_kind::unread_answer;
    } else if (state_ == state::responding && !unparsed_.empty()) {
        holder.kind = holder_kind::further_requests;
        holder.bytes = heap_bytes(unparsed_);
    } else if (state_ == state::reading && parser_.started()) {
        holder.kind = holder_kind::unfinished_request;
        holder.began = head_started_;
        holder.granted = may_grow_;
        holder.waiting = waiting_since_.has_value();
        holder.waited = now - waiting_since_.value_or(now);
        holder.may_add = parser_.has_head() ? parser_.max_remaining_bytes() : 0;
    }
    return holder;
}

void server_connection::resume_request(time_point now)
{
    if (!waiting_since_) {
        return;
    }
    head_started_ += now - *waiting_since_;
    waiting_since_.reset();
    may_grow_ = true;
    last_activity_ = reading_since_ = now;
    progress_.restart(channel_->moved_bytes(), now);
    update_reading();
}

void server_connection::release_memory()
{
    auto const self = shared_from_this();
    if (state_ == state::reading && parser_.started()) {
        refuse(service_unavailable);
    } else if (state_ == state::responding && channel_->unsent_bytes() == 0) {
        drop_further_requests();
    } else {
        break_off();
    }
}

void server_connection::close_for_descriptors()
{
    auto const self = shared_from_this();
    if (state_ == state::reading && parser_.started()) {
        refuse(service_unavailable);
    }
    break_off();
}

void server_connection::detach()
{
    peer_closed_ = true;
    caller_disconnected_handler_ = nullptr;
    sent_handler_ = nullptr;
    close_now();
}

/// Closes the connection at once. The handler of a request that is being
/// answered learns of it as if the caller had left.
void server_connection::break_off()
{
    peer_closed_ = true;
    auto const handler = std::exchange(caller_disconnected_handler_, nullptr);
    close_now();
    if (handler) {
        handler();
    }
}

void server_connection::close_if_idle(time_point now)
{
    if (idle() && now - last_activity_ > min_idle_time) {
        linger();
    }
}

} // namespace medlarstall::http
