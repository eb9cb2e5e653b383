#include <medlarstall/http/http_listener.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace medlarstall::http {

namespace {

/// Delay before accepting again after an error, such as no free descriptor, or
/// while the number of connections is at its limit.
constexpr std::chrono::milliseconds accept_retry_delay{20};
/// Longest time for which a caller may leave sent bytes unacknowledged.
constexpr std::chrono::milliseconds caller_timeout{10000};
constexpr int accept_backlog = 512;

} // namespace

http_listener::http_listener(asio::io_context& context, server_events events,
                             std::size_t max_connections)
    : acceptor_{context}, retry_timer_{context}, events_{std::move(events)},
      max_connections_{max_connections}
{
    if (!events_.refused) {
        events_.refused = [](int) {
        };
    }
}

status http_listener::listen(asio::ip::tcp::endpoint const& address)
{
    std::error_code failure;
    std::ignore = acceptor_.open(address.protocol(), failure);
    if (!failure) {
        std::ignore = acceptor_.set_option(
            asio::socket_base::reuse_address{true}, failure);
    }
    if (!failure) {
        std::ignore = acceptor_.bind(address, failure);
    }
    if (!failure) {
        std::ignore = acceptor_.listen(accept_backlog, failure);
    }
    if (failure) {
        return error{"listen", address.address().to_string() + ":" +
                                   std::to_string(address.port()) + ": " +
                                   failure.message()};
    }
    accept();
    return success();
}

asio::ip::tcp::endpoint http_listener::address() const
{
    std::error_code ignored;
    return acceptor_.local_endpoint(ignored);
}

void http_listener::accept()
{
    acceptor_.async_accept(
        [this](std::error_code failure, asio::ip::tcp::socket socket) {
            on_accepted(failure, std::move(socket));
        });
}

void http_listener::on_accepted(std::error_code failure,
                                asio::ip::tcp::socket socket)
{
    if (failure == asio::error::operation_aborted) {
        return;
    }
    if (failure) {
        retry_accept_later();
        return;
    }
    auto channel = std::make_shared<byte_channel>(std::move(socket));
    channel->set_peer_timeout(caller_timeout);
    auto connection = std::make_shared<server_connection>(std::move(channel),
                                                          limits_, events_);
    connections_.insert(connection);
    connection->start(monotonic_clock::now());
    if (draining_) {
        connection->drain();
    }
    if (connections_.size() >= max_connections_) {
        retry_accept_later();
        return;
    }
    accept();
}

void http_listener::retry_accept_later()
{
    retry_timer_.expires_after(accept_retry_delay);
    retry_timer_.async_wait([this](std::error_code cancelled) {
        if (cancelled) {
            return;
        }
        close_expired(monotonic_clock::now());
        if (connections_.size() >= max_connections_) {
            retry_accept_later();
        } else {
            accept();
        }
    });
}

void http_listener::close_expired(time_point now)
{
    for (auto const& connection : connections_) {
        connection->check_timeouts(now);
    }
    std::erase_if(connections_,
                  [](auto const& connection) { return connection->closed(); });
}

void http_listener::drain()
{
    draining_ = true;
    for (auto const& connection : connections_) {
        connection->drain();
    }
}

void http_listener::close_idle(time_point now)
{
    for (auto const& connection : connections_) {
        connection->close_if_idle(now);
    }
}

void http_listener::close()
{
    std::error_code ignored;
    std::ignore = acceptor_.close(ignored);
    retry_timer_.cancel();
}

bool http_listener::busy() const
{
    return std::ranges::any_of(connections_, [](auto const& connection) {
        return connection->busy();
    });
}

} // namespace medlarstall::http
