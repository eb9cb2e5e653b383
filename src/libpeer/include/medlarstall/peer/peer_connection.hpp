#ifndef MEDLARSTALL_PEER_PEER_CONNECTION_HPP
#define MEDLARSTALL_PEER_PEER_CONNECTION_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace medlarstall::peer {

class http2_connection;
class peer_stream;

/// Settings of a connection between daemons, for both sides.
struct peer_settings
{
    /// Common to all daemons. If it is empty, no connection is accepted for
    /// longer than it takes to refuse it.
    std::string secret;
    /// A ping is sent when nothing was received for this long.
    std::chrono::milliseconds ping_interval{700};
    /// A connection on which nothing was received for this long is closed.
    std::chrono::milliseconds receive_timeout{2'500};
    std::chrono::milliseconds connect_timeout{1'000};
    /// An accepted connection that has not told the secret by then is closed.
    std::chrono::milliseconds authentication_timeout{3'000};
    /// Accepted connections that have not told the secret; with one more, the
    /// oldest is closed.
    std::size_t max_unauthenticated = 64;
};

/// An HTTP/2 connection from this daemon to another.
class peer_connection
{
public:
    /// \param io context that runs the connection, on one thread
    /// \param settings secret and timeouts
    peer_connection(asio::io_context& io, peer_settings settings);
    ~peer_connection();
    peer_connection(peer_connection const&) = delete;
    peer_connection& operator=(peer_connection const&) = delete;

    /// Starts to connect. Streams may be opened before the connection is made.
    /// \param address IP address in text form
    /// \param port TCP port
    void connect(std::string const& address, std::uint16_t port);

    /// Opens a stream. Messages may be sent on it at once.
    /// \param path request path, which names the purpose of the stream
    /// \return the stream; it closes as refused if the connection cannot be
    /// made
    [[nodiscard]] std::shared_ptr<peer_stream> open_stream(std::string path);

    /// \return false once the connection was lost or the other side shuts down
    [[nodiscard]] bool usable() const;

    /// \return true once the other side responded to a request
    [[nodiscard]] bool established() const;

    /// \return true if no stream is open
    [[nodiscard]] bool idle() const;

    /// \return number of bytes sent so far
    [[nodiscard]] std::uint64_t bytes_sent() const;
    /// \return number of bytes received so far
    [[nodiscard]] std::uint64_t bytes_received() const;

private:
    std::shared_ptr<http2_connection> connection_;
};

} // namespace medlarstall::peer

#endif
