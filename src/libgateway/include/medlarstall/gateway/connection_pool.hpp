#ifndef MEDLARSTALL_GATEWAY_CONNECTION_POOL_HPP
#define MEDLARSTALL_GATEWAY_CONNECTION_POOL_HPP

#include <medlarstall/http/upstream_connection.hpp>
#include <medlarstall/support/time.hpp>

#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarstall::gateway {

/// Parses an endpoint.
/// \param text IP address and port, "IP:PORT"
/// \return the endpoint, or nothing if the text is malformed
[[nodiscard]] std::optional<asio::ip::tcp::endpoint>
parse_endpoint(std::string_view text);

/// When an idle connection may be reused, and how many are kept.
struct pool_settings
{
    /// Idle limit for servers that do not state their keep-alive timeout.
    std::chrono::milliseconds default_idle_limit{800};
    /// Subtracted from a stated keep-alive timeout, since a request takes time
    /// to arrive.
    std::chrono::milliseconds idle_margin{700};
    /// Upper idle limit for calls that must not be repeated: the server may
    /// close a connection that was idle for longer just as the call is sent.
    std::chrono::milliseconds unrepeatable_idle_limit{1500};
    std::size_t max_idle_per_server = 64;
    /// Open connections above which all idle ones are closed.
    std::size_t max_connections = 4096;
};

/// Idle connections to backend servers. Owned by the gateway.
class connection_pool
{
public:
    using connection = std::shared_ptr<http::upstream_connection>;

    /// \param context event loop
    /// \param settings idle limits
    explicit connection_pool(asio::io_context& context,
                             pool_settings settings = {});

    /// Takes an idle connection out of the pool, or creates a new one.
    /// \param server id of the backend server
    /// \param address its address
    /// \param unrepeatable whether the call must not be repeated if it is lost
    /// \param now current time
    /// \return a connection for one call; a new one is not connected yet
    [[nodiscard]] connection acquire(std::string const& server,
                                     asio::ip::tcp::endpoint const& address,
                                     bool unrepeatable, time_point now);

    /// \param server id of the backend server
    /// \param address its address
    /// \return a connection that is not connected yet
    [[nodiscard]] connection create(std::string const& server,
                                    asio::ip::tcp::endpoint const& address);

    /// \param server id of the backend server
    /// \param address its address
    /// \param except a connection that does not count; may be null
    /// \return when the oldest connection to the address that is open, busy or
    ///     idle, was established; empty if there is none
    [[nodiscard]] std::optional<time_point>
    oldest_open(std::string const& server,
                asio::ip::tcp::endpoint const& address,
                http::upstream_connection const* except) const;

    /// Returns a connection to the pool after its call. Closes it if it is not
    /// reusable or the pool of the backend server is full.
    /// \param server id of the backend server
    /// \param used the connection
    void release(std::string const& server, connection used);

    /// Closes the idle connections to a backend server.
    /// \param server id of the backend server
    void close_idle(std::string const& server);

    /// Closes all idle connections, for example after the instance was
    /// suspended.
    void close_all_idle();

    /// Sets a function that is called with the server of each idle connection
    /// that the server closes.
    /// \param handler the function; must not change this pool
    void on_idle_closed(std::function<void(std::string const& server)> handler)
    {
        idle_closed_handler_ = std::move(handler);
    }

    /// Closes connections that have been idle for longer than their limit.
    /// \param now current time
    void close_expired(time_point now);

    /// \return number of connections created since the start
    [[nodiscard]] std::uint64_t opened_count() const { return opened_count_; }

private:
    [[nodiscard]] bool is_usable(http::upstream_connection const& idle,
                                 bool unrepeatable, time_point now) const;
    void remove_idle(std::string const& server,
                     http::upstream_connection* lost);
    void remove_expired();

    asio::io_context& context_;
    pool_settings settings_;
    std::function<void(std::string const&)> idle_closed_handler_;
    std::map<std::string, std::vector<connection>> idle_;
    /// All connections to each server in the order in which they were created.
    /// Expired ones are removed by close_expired().
    std::map<std::string, std::vector<std::weak_ptr<http::upstream_connection>>>
        all_;
    std::uint64_t opened_count_ = 0;
    /// Connections in all_ after remove_expired(), and those created since.
    std::size_t open_estimate_ = 0;
};

} // namespace medlarstall::gateway

#endif
