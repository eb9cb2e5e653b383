#ifndef MEDLARSTALL_HTTP_HTTP_LISTENER_HPP
#define MEDLARSTALL_HTTP_HTTP_LISTENER_HPP

#include <medlarstall/http/server_connection.hpp>
#include <medlarstall/support/result.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace medlarstall::http {

/// Field of the error of listening at an address that another socket has.
inline constexpr char const* address_in_use = "address in use";

/// Accepts connections of callers at one address and owns them. Owned by the
/// gateway.
class http_listener
{
public:
    /// \param context event loop that runs all callbacks
    /// \param events callbacks for requests; `request` must be set
    /// \param max_connections number of open connections from which on no
    ///     more are accepted until one closes or can be closed
    /// \param account account of the memory that connections hold; nullptr if
    ///     it is not limited
    http_listener(asio::io_context& context, server_events events,
                  std::size_t max_connections,
                  std::shared_ptr<memory_account> account = nullptr);
    ~http_listener();
    http_listener(http_listener const&) = delete;
    http_listener& operator=(http_listener const&) = delete;

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

    /// Closes connections that exceeded a timeout, decides about those that
    /// hold memory, and releases closed ones. To be called periodically.
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

    /// \return number of requests of which reading is paused for lack of
    ///     memory
    [[nodiscard]] std::size_t waiting_for_memory() const;

    /// \return true while a request on any connection awaits its response
    [[nodiscard]] bool busy() const;

private:
    void accept();
    void on_accepted(std::error_code failure, asio::ip::tcp::socket socket);
    void retry_accept_later();
    void request_memory_check();
    void check_memory(time_point now);
    void decide_memory(time_point now);
    bool make_room(time_point now);
    void set_kernel_limits(byte_channel& channel) const;
    void remove_closed();

    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer retry_timer_;
    server_events events_;
    server_limits limits_;
    std::size_t max_connections_;
    std::shared_ptr<memory_account> account_;
    std::function<void()> on_memory_exceeded_;
    /// Shared with handlers that may run after this is destroyed.
    std::shared_ptr<bool> check_pending_ = std::make_shared<bool>(false);
    std::set<std::shared_ptr<server_connection>> connections_;
    bool draining_ = false;
};

} // namespace medlarstall::http

#endif
