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

/// Reading pauses when a caller has sent more bytes of further requests than
/// this while one awaits its response.
constexpr std::size_t max_unparsed_bytes = 65536;
/// A request that holds less is never paused for lack of memory.
constexpr std::size_t min_paused_bytes = 65536;
/// Held by the kernel for a connection that is not read from, about the size
/// of the receive buffer that the listener sets.
constexpr std::size_t paused_kernel_bytes = 131072;
/// How long to wait for the peer to close after the last response.
constexpr std::chrono::seconds linger_timeout{2};
/// After this time without bytes, no request is likely to be in transit.
constexpr std::chrono::milliseconds min_idle_time{400};

parser_limits parser_limits_of(server_limits const& limits)
{
    return {limits.max_head_bytes, limits.max_body_bytes};
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
         .sent =
             [this] {
                 on_sent();
             }});
}

void server_connection::on_bytes(std::string_view bytes)
{
    auto const self = shared_from_this();
    if (state_ == state::lingering) {
        discarded_bytes_ += bytes.size();
        // A client that is a little above the limit gets its refusal, as it
        // does not see a reset while it is sending.
        if (discarded_bytes_ > limits_.max_body_bytes) {
            close_now();
        }
        return;
    }
    last_activity_ = monotonic_clock::now();
    if (state_ == state::reading && !parser_.started()) {
        head_started_ = last_activity_;
        progress_.restart(channel_->moved_bytes(), last_activity_);
    }
    if (unparsed_.empty()) { // Avoids a copy of what is parsed at once.
        unparsed_ = read_part(bytes);
    } else {
        unparsed_.append(bytes);
        read_messages();
    }
    if (state_ == state::responding && unparsed_.size() > max_unparsed_bytes) {
        channel_->pause();
    }
    update_memory();
    pause_for_memory();
}

void server_connection::read_messages()
{
    auto const rest = read_part(unparsed_);
    unparsed_.erase(0, unparsed_.size() - rest.size());
    if (unparsed_.empty()) {
        unparsed_.shrink_to_fit();
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

/// Sends a response without a body to an unfinished request, and reads no more
/// requests.
void server_connection::refuse(int status)
{
    response_head const head{.status = status, .reason = {}, .headers = {}};
    send(serialize_response_head(head, body_framing::length, 0, true));
    events_.refused(status);
    linger();
}

void server_connection::dispatch_request()
{
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
    if (close_announced_ || peer_closed_) {
        linger();
        return;
    }
    state_ = state::reading;
    head_started_ = reading_since_ = last_activity_;
    parser_.reset(parser_limits_of(limits_));
    progress_.restart(channel_->moved_bytes(), last_activity_);
    channel_->resume();
    if (!unparsed_.empty()) {
        // Posted, so that the next request is not handled within the handler
        // of this one.
        asio::post(channel_->executor(),
                   [self = shared_from_this()] { self->read_messages(); });
    }
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
    release_text(unparsed_);
    parser_.release();
    waiting_since_.reset();
    update_memory();
    channel_->shutdown_when_sent();
    channel_->resume();
}

void server_connection::close_now()
{
    state_ = state::closed;
    release_text(unparsed_);
    parser_.release();
    waiting_since_.reset();
    channel_->close();
    update_memory();
}

void server_connection::on_closed(std::error_code)
{
    auto const self = shared_from_this();
    peer_closed_ = true;
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
    if (state_ == state::lingering && now - last_activity_ > linger_timeout) {
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
    if (head_timed_out || idle_timed_out) {
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
    update_memory();
    if (auto const handler = sent_handler_) {
        handler();
    }
}

/// Counts the capacity of all buffers of the connection.
void server_connection::update_memory()
{
    auto const before = held_.bytes();
    held_.set(sizeof *this + parser_.held_bytes() + heap_bytes(unparsed_) +
              channel_->held_bytes() + exchange_bytes_ +
              (waiting_since_ ? paused_kernel_bytes : 0));
    if (held_.bytes() > before && held_.account().exceeded()) {
        check_memory_();
    }
}

/// Stops reading a large request while memory is scarce.
void server_connection::pause_for_memory()
{
    if (state_ != state::reading || may_grow_ || waiting_since_ ||
        !held_.account().under_pressure() || held_.bytes() < min_paused_bytes) {
        return;
    }
    waiting_since_ = last_activity_;
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
    waiting_since_.reset();
    may_grow_ = true;
    last_activity_ = reading_since_ = now;
    progress_.restart(channel_->moved_bytes(), now);
    update_memory();
    channel_->resume();
}

void server_connection::release_memory()
{
    auto const self = shared_from_this();
    if (state_ == state::reading && parser_.started()) {
        refuse(service_unavailable);
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
