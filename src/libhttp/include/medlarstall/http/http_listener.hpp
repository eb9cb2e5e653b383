#ifndef MEDLARSTALL_HTTP_HTTP_LISTENER_HPP
#define MEDLARSTALL_HTTP_HTTP_LISTENER_HPP

#include <medlarstall/http/server_connection.hpp>
#include <medlarstall/support/result.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <memory>
#include <set>

namespace medlarstall::http {

/// Accepts connections of callers at one address and owns them. Owned by the
/// gateway.
class http_listener
{
public:
    /// \param context event loop that runs all callbacks
    /// \param events callbacks for requests; `request` must be set
    /// \param max_connections number of open connections from which on no
    ///     more are accepted until one closes
    http_listener(asio::io_context& context, server_events events,
                  std::size_t max_connections);

    /// Binds to an address and starts accepting.
    /// \param address address to listen at; port 0 selects a free port
    /// \return an error if the address cannot be bound
    [[nodiscard]] status listen(asio::ip::tcp::endpoint const& address);

    /// \return the bound address; the empty endpoint before listen()
    [[nodiscard]] asio::ip::tcp::endpoint address() const;

    /// Sets the limits of requests.
    /// \param limits new limits; an open connection applies the sizes after
    ///     its next response and the timeouts at once
    void set_limits(server_limits limits) { limits_ = limits; }

    /// Closes connections that exceeded a timeout and releases closed ones.
    /// To be called periodically.
    /// \param now current time
    void close_expired(time_point now);

    /// Closes each connection after its current or next response.
    void drain();

    /// Closes the connections that have been idle for long enough that no
    /// request is likely to be in transit.
    /// \param now current time
    void close_idle(time_point now);

    /// Stops accepting; open connections stay open.
    void close();

    /// \return number of connections, with closed ones that are not released
    ///     yet
    [[nodiscard]] std::size_t size() const { return connections_.size(); }

    /// \return true while a request on any connection awaits its response
    [[nodiscard]] bool busy() const;

private:
    void accept();
    void on_accepted(std::error_code failure, asio::ip::tcp::socket socket);
    void retry_accept_later();

    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer retry_timer_;
    server_events events_;
    server_limits limits_;
    std::size_t max_connections_;
    std::set<std::shared_ptr<server_connection>> connections_;
    bool draining_ = false;
};

} // namespace medlarstall::http

#endif
