#include <medlarstall/http/upstream_connection.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace medlarstall::http {

namespace {

/// Longest time to establish a TCP connection.
constexpr std::chrono::milliseconds connect_timeout{700};
/// Longest time for which a server may leave sent bytes unacknowledged.
constexpr std::chrono::milliseconds server_timeout{2500};

/// Receive buffer of the kernel, since a server that is not read from would
/// otherwise fill one of several MB. The kernel doubles the figure.
constexpr std::size_t receive_buffer_bytes = 131072;

/// Bytes of a request that the kernel accepts before it can send them. The body
/// is held here anyway, until the response has come.
constexpr std::size_t kernel_unsent_bytes = 131072;

/// Number of late responses to earlier calls that are skipped within one call;
/// with one more the call fails.
constexpr int max_unmatched_responses = 4;

} // namespace

char const* name_of(call_failure failure)
{
    switch (failure) {
    case call_failure::not_connected:
        return "not_connected";
    case call_failure::nothing_sent:
        return "nothing_sent";
    case call_failure::connection_lost:
        return "connection_lost";
    case call_failure::malformed:
        return "malformed";
    case call_failure::truncated:
        return "truncated";
    }
    return "unknown";
}

upstream_connection::upstream_connection(asio::io_context& context,
                                         asio::ip::tcp::endpoint address)
    : address_{std::move(address)},
      channel_{std::make_shared<byte_channel>(asio::ip::tcp::socket{context})},
      connect_timer_{context}
{}

upstream_connection::~upstream_connection()
{
    channel_->close();
}

void upstream_connection::open(std::function<void(bool)> opened)
{
    opened_handler_ = std::move(opened);
    connect();
}

void upstream_connection::start_call(std::string head,
                                     std::shared_ptr<std::string const> body,
                                     bool no_body, call_events events)
{
    ++call_count_;
    request_ = std::move(head);
    request_body_ = std::move(body);
    events_ = std::move(events);
    no_body_ = no_body;
    unmatched_responses_ = 0;
    closed_while_idle_handler_ = nullptr;
    if (state_ == state::unconnected) {
        connect();
        return;
    }
    send_request();
}

void upstream_connection::connect()
{
    state_ = state::connecting;
    connect_timer_.expires_after(connect_timeout);
    connect_timer_.async_wait(
        [weak = weak_from_this()](std::error_code cancelled) {
            auto const self = weak.lock();
            if (self && !cancelled) {
                self->on_connect_timeout();
            }
        });
    channel_->connect(address_,
                      [weak = weak_from_this()](std::error_code outcome) {
                          if (auto const self = weak.lock()) {
                              self->on_connected(outcome);
                          }
                      });
}

void upstream_connection::on_connect_timeout()
{
    if (state_ == state::connecting) {
        fail(call_failure::not_connected);
    }
}

void upstream_connection::on_connected(std::error_code outcome)
{
    if (state_ != state::connecting) {
        return;
    }
    connect_timer_.cancel();
    if (outcome) {
        fail(call_failure::not_connected);
        return;
    }
    opened_at_ = last_activity_ = previous_activity_ = monotonic_clock::now();
    channel_->set_peer_timeout(server_timeout);
    channel_->set_receive_buffer(receive_buffer_bytes);
    channel_->set_unsent_limit(kernel_unsent_bytes);
    channel_->start(
        {.received = [this](std::string_view bytes) { on_bytes(bytes); },
         .closed = [this](std::error_code reason) { on_closed(reason); },
         .sent = {}});
    if (auto const opened = std::exchange(opened_handler_, nullptr)) {
        state_ = state::idle;
        opened(true);
        return;
    }
    auto const self = shared_from_this();
    auto const may_send = events_.may_send;
    if (!may_send || may_send()) {
        send_request();
    }
}

void upstream_connection::send_request()
{
    state_ = state::busy;
    head_reported_ = false;
    unmatched_ = false;
    reusable_ = false;
    was_paused_ = false;
    parser_.reset({});
    if (no_body_) {
        parser_.expect_no_body();
    }
    channel_->clear_has_sent();
    channel_->resume();
    channel_->send(std::exchange(request_, {}),
                   std::exchange(request_body_, nullptr));
}

void upstream_connection::on_bytes(std::string_view bytes)
{
    auto const self = shared_from_this();
    if (!was_paused_) {
        previous_activity_ = last_activity_;
    }
    last_activity_ = monotonic_clock::now();
    if (state_ == state::idle) {
        on_closed({}); // The server sent bytes without a request.
        return;
    }
    while (state_ == state::busy && !bytes.empty()) {
        bytes.remove_prefix(parser_.feed(bytes));
        if (parser_.failure() != parse_failure::none) {
            fail(head_reported_ ? call_failure::truncated
                                : call_failure::malformed);
            return;
        }
        report_interim_responses();
        if (parser_.has_head() && !report_head()) {
            return;
        }
        if (!parser_.complete()) {
            deliver_body();
        } else if (unmatched_) {
            skip_unmatched_response();
        } else if (!bytes.empty() &&
                   !message_parser::begins_final_response(bytes)) {
            fail(call_failure::malformed);
            return;
        } else {
            reusable_ = bytes.empty() && parser_.keeps_alive() &&
                        channel_->unsent_bytes() == 0;
            complete();
            return;
        }
    }
}

void upstream_connection::report_interim_responses()
{
    for (auto const& head : parser_.take_interim_responses()) {
        if (events_.interim) {
            events_.interim(head);
        }
    }
}

/// Reports the head of the response to the owner once, unless the response is
/// not the one to this call.
/// \return false if the call has ended
bool upstream_connection::report_head()
{
    if (head_reported_ || unmatched_) {
        return state_ == state::busy;
    }
    unmatched_ = !events_.is_response_to_call(parser_.response());
    if (unmatched_) {
        if (++unmatched_responses_ > max_unmatched_responses) {
            fail(call_failure::malformed);
        }
        return state_ == state::busy;
    }
    head_reported_ = true;
    read_keep_alive_timeout();
    auto const handler = events_.head;
    handler(parser_.response(), parser_.framing());
    return state_ == state::busy;
}

void upstream_connection::deliver_body()
{
    auto bytes = parser_.take_body();
    if (!bytes.empty() && !unmatched_) {
        auto const handler = events_.body;
        handler(std::move(bytes));
    }
}

void upstream_connection::skip_unmatched_response()
{
    if (!parser_.keeps_alive()) {
        fail(call_failure::connection_lost);
        return;
    }
    unmatched_ = false;
    parser_.reset({});
    if (no_body_) {
        parser_.expect_no_body();
    }
}

void upstream_connection::complete()
{
    deliver_body();
    if (state_ != state::busy) {
        return;
    }
    state_ = reusable_ ? state::idle : state::closed;
    if (!reusable_) {
        channel_->close();
    }
    auto const handler = std::move(events_.complete);
    events_ = {};
    handler();
}

void upstream_connection::on_closed(std::error_code reason)
{
    auto const self = shared_from_this();
    if (state_ == state::idle) {
        cancel();
        if (auto const handler =
                std::exchange(closed_while_idle_handler_, nullptr)) {
            handler();
        }
        return;
    }
    if (state_ != state::busy) {
        return;
    }
    // A server that closes while its request is still being sent may have ended
    // within its response.
    if (!reason && parser_.has_head() && !unmatched_ &&
        parser_.framing() == body_framing::until_close &&
        channel_->unsent_bytes() == 0) {
        parser_.finish();
        reusable_ = false;
        complete();
        return;
    }
    if (!channel_->has_sent()) {
        fail(call_failure::nothing_sent);
        return;
    }
    fail(head_reported_ ? call_failure::truncated
                        : call_failure::connection_lost);
}

void upstream_connection::fail(call_failure failure)
{
    state_ = state::closed;
    connect_timer_.cancel();
    channel_->close();
    auto const handler = std::move(events_.failed);
    events_ = {};
    if (auto const opened = std::exchange(opened_handler_, nullptr)) {
        opened(false);
    } else if (handler) {
        handler(failure);
    }
}

void upstream_connection::pause()
{
    was_paused_ = true;
    channel_->pause();
}

void upstream_connection::cancel()
{
    auto const was_busy = std::exchange(state_, state::closed) == state::busy;
    connect_timer_.cancel();
    events_ = {};
    opened_handler_ = nullptr;
    if (was_busy) {
        channel_->abandon();
    } else {
        channel_->close();
    }
}

bool upstream_connection::reusable() const
{
    return state_ == state::idle && channel_->is_open();
}

void upstream_connection::on_closed_while_idle(std::function<void()> handler)
{
    closed_while_idle_handler_ = std::move(handler);
}

void upstream_connection::read_keep_alive_timeout()
{
    auto const* const field = parser_.response().headers.find("keep-alive");
    if (field == nullptr) {
        return;
    }
    constexpr std::string_view name = "timeout=";
    auto const at = field->find(name);
    if (at == std::string::npos) {
        return;
    }
    int seconds = 0;
    auto const* const begin = field->data() + at + name.size();
    std::from_chars(begin, field->data() + field->size(), seconds);
    keep_alive_timeout_ = std::chrono::seconds{seconds};
}

} // namespace medlarstall::http
