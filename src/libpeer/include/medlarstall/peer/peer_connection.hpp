#ifndef MEDLARSTALL_PEER_PEER_CONNECTION_HPP
#define MEDLARSTALL_PEER_PEER_CONNECTION_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace medlarstall::peer {

class connection_core;
class peer_stream;

/// What both sides of a link between daemons need to know.
struct peer_settings
{
    std::string secret; ///< Shared by all daemons.
    std::chrono::milliseconds ping_interval{700};
    /// A link on which nothing was heard for this long is closed.
    std::chrono::milliseconds silence_timeout{2'500};
    std::chrono::milliseconds connect_timeout{1'000};
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

    /// Starts to connect.
    /// \param address IP number
    /// \param port TCP port
    void connect(std::string const& address, std::uint16_t port);

    /// Opens a stream; messages may be sent at once. The stream ends as
    /// refused if the connection cannot be made.
    /// \param path what the stream is for
    /// \return the stream
    [[nodiscard]] std::shared_ptr<peer_stream> open(std::string path);

    /// \return false once the connection broke
    [[nodiscard]] bool usable() const;

    /// \return true once the other side answered
    [[nodiscard]] bool established() const;

    /// \return true if no stream is open
    [[nodiscard]] bool idle() const;

    /// \return bytes sent and received so far
    [[nodiscard]] std::uint64_t bytes_sent() const;
    /// \copydoc bytes_sent
    [[nodiscard]] std::uint64_t bytes_received() const;

private:
    std::shared_ptr<connection_core> core_;
};

} // namespace medlarstall::peer

#endif
