#include <medlarstall/http/server_connection.hpp>

#include <asio/post.hpp>

#include <utility>

namespace medlarstall::http {

namespace {

constexpr int bad_request = 400;
constexpr int request_timeout = 408;
constexpr int content_too_large = 413;
constexpr int header_fields_too_large = 431;

/// Reading pauses when a caller has sent more bytes of further requests than
/// this while one awaits its response.
constexpr std::size_t max_unparsed_bytes = 65536;
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

exchange::exchange(std::shared_ptr<server_connection> connection,
                   request_head head, std::string body, time_point read_at,
                   time_point arrived_at)
    : connection_{std::move(connection)}, head_{std::move(head)},
      body_{std::move(body)}, read_at_{read_at}, arrived_at_{arrived_at}
{}

exchange::~exchange()
{
    if (!response_ended_) {
        abort();
    }
}

void exchange::respond(response const& complete_response)
{
    if (std::exchange(response_started_, true)) {
        return;
    }
    auto text = serialize_response_head(
        complete_response.head, body_framing::length,
        complete_response.body.size(), connection_->announce_close());
    if (head_.method != "HEAD") {
        text += complete_response.body;
    }
    connection_->send(text);
    response_ended_ = true;
    connection_->on_response_finished();
}

void exchange::start_response(response_head const& head,
                              std::optional<std::uint64_t> length)
{
    response_started_ = true;
    no_body_ = head_.method == "HEAD";
    chunked_ = !length && !no_body_;
    auto const framing = chunked_ ? body_framing::chunked
                         : length ? body_framing::length
                                  : body_framing::none;
    connection_->send(serialize_response_head(head, framing, length.value_or(0),
                                              connection_->announce_close()));
}

void exchange::write(std::string_view bytes)
{
    if (bytes.empty() || no_body_) {
        return;
    }
    if (chunked_) {
        connection_->send(encode_chunk(bytes));
    } else {
        connection_->send(bytes);
    }
}

void exchange::finish()
{
    if (std::exchange(response_ended_, true)) {
        return;
    }
    if (chunked_) {
        connection_->send(last_chunk);
    }
    connection_->on_response_finished();
}

void exchange::abort()
{
    if (std::exchange(response_ended_, true)) {
        return;
    }
    response_started_ = true;
    connection_->linger();
}

bool exchange::caller_disconnected() const
{
    return connection_->peer_closed_;
}

bool exchange::caller_has_left() const
{
    return connection_->peer_closed_ ||
           connection_->channel_->peer_has_closed();
}

std::string exchange::caller_address() const
{
    return connection_->channel_->peer_address();
}

std::size_t exchange::unsent_bytes() const
{
    return connection_->channel_->unsent_bytes();
}

void exchange::on_caller_disconnected(std::function<void()> handler)
{
    connection_->caller_disconnected_handler_ = std::move(handler);
}

void exchange::on_write_buffer_empty(std::function<void()> handler)
{
    connection_->write_buffer_empty_handler_ = std::move(handler);
}

server_connection::server_connection(std::shared_ptr<byte_channel> channel,
                                     server_limits const& limits,
                                     server_events const& events)
    : channel_{std::move(channel)}, limits_{limits}, events_{events},
      parser_{message_kind::request, parser_limits_of(limits)}
{}

void server_connection::start(time_point now)
{
    last_activity_ = now;
    head_started_ = now;
    channel_->start(
        {.received = [this](std::string_view bytes) { on_bytes(bytes); },
         .closed = [this](std::error_code reason) { on_closed(reason); },
         .write_buffer_empty =
             [this] {
                 if (auto const handler = write_buffer_empty_handler_) {
                     handler();
                 }
             }});
}

void server_connection::on_bytes(std::string_view bytes)
{
    auto const self = shared_from_this();
    if (state_ == state::lingering) {
        return;
    }
    last_activity_ = monotonic_clock::now();
    newest_bytes_at_ = last_activity_ - channel_->newest_bytes_age();
    if (state_ == state::reading && !parser_.started()) {
        head_started_ = last_activity_;
    }
    unparsed_.append(bytes);
    if (state_ == state::responding && unparsed_.size() > max_unparsed_bytes) {
        channel_->pause();
    }
    read_messages();
}

void server_connection::read_messages()
{
    while (state_ == state::reading && !unparsed_.empty()) {
        auto const consumed = parser_.feed(unparsed_);
        unparsed_.erase(0, consumed);
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
    if (unparsed_.empty()) {
        unparsed_.shrink_to_fit();
    }
}

void server_connection::reject_request()
{
    auto const status = status_of(parser_.failure());
    response_head const head{.status = status, .reason = {}, .headers = {}};
    send(serialize_response_head(head, body_framing::length, 0, true));
    events_.refused(status);
    linger();
}

void server_connection::dispatch_request()
{
    state_ = state::responding;
    close_after_response_ = close_after_response_ || !parser_.keeps_alive();
    auto body = parser_.take_body();
    events_.request(std::make_unique<exchange>(
        shared_from_this(), std::move(parser_.request()), std::move(body),
        last_activity_, newest_bytes_at_));
}

void server_connection::on_response_finished()
{
    caller_disconnected_handler_ = nullptr;
    write_buffer_empty_handler_ = nullptr;
    last_activity_ = monotonic_clock::now();
    if (state_ != state::responding) {
        return;
    }
    if (close_announced_ || peer_closed_) {
        linger();
        return;
    }
    state_ = state::reading;
    head_started_ = last_activity_;
    parser_.reset(parser_limits_of(limits_));
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
    write_buffer_empty_handler_ = nullptr;
    if (state_ == state::closed) {
        return;
    }
    if (peer_closed_) {
        close_now();
        return;
    }
    state_ = state::lingering;
    last_activity_ = monotonic_clock::now();
    unparsed_.clear();
    channel_->shutdown_when_sent();
    channel_->resume();
}

void server_connection::close_now()
{
    state_ = state::closed;
    channel_->close();
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
    if (state_ != state::reading) {
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
        response_head const head{
            .status = request_timeout, .reason = {}, .headers = {}};
        send(serialize_response_head(head, body_framing::length, 0, true));
        events_.refused(request_timeout);
        linger();
    }
}

void server_connection::close_if_idle(time_point now)
{
    if (idle() && now - last_activity_ > min_idle_time) {
        linger();
    }
}

} // namespace medlarstall::http
