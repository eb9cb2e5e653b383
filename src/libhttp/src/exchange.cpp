#include <medlarstall/http/exchange.hpp>

#include <medlarstall/http/server_connection.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::http {

namespace {

/// Unsent bytes of an answer above which its server is not read from while
/// memory is scarce.
constexpr std::size_t min_answer_bytes = 32768;
/// One answer may hold this part of the budget while memory is not scarce, so
/// that a server need not wait for a slow caller.
constexpr std::size_t answer_divisor = 4;

} // namespace

exchange::exchange(std::shared_ptr<server_connection> connection,
                   request_head head, std::string body, time_point read_at,
                   time_point arrived_at)
    : connection_{std::move(connection)}, head_{std::move(head)},
      body_{std::make_shared<std::string const>(std::move(body))},
      request_bytes_{heap_bytes(*body_) + head_.headers.held_bytes()},
      read_at_{read_at}, arrived_at_{arrived_at}
{
    connection_->count_exchange(0, request_bytes_);
}

exchange::~exchange()
{
    if (!response_ended_) {
        abort();
    }
    connection_->count_exchange(request_bytes_ + handler_bytes_, 0);
    connection_->update_memory();
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

void exchange::on_sent(std::function<void()> handler)
{
    connection_->sent_handler_ = std::move(handler);
}

std::size_t exchange::max_unsent_bytes() const
{
    auto const& account = connection_->held_.account();
    return account.under_pressure()
               ? min_answer_bytes
               : std::max(min_answer_bytes, account.limit() / answer_divisor);
}

bool exchange::memory_is_scarce() const
{
    return connection_->held_.account().under_pressure();
}

void exchange::set_held_bytes(std::size_t bytes)
{
    connection_->count_exchange(handler_bytes_, bytes);
    handler_bytes_ = bytes;
    connection_->update_memory();
}

} // namespace medlarstall::http
