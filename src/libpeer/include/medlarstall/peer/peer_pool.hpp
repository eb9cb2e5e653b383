#ifndef MEDLARSTALL_PEER_PEER_POOL_HPP
#define MEDLARSTALL_PEER_PEER_POOL_HPP

#include <medlarstall/peer/peer_connection.hpp>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace medlarstall::peer {

/// Holds one connection per remote daemon. A connection is made when the first
/// stream to the daemon is opened, and replaced when it is no longer usable.
class peer_pool
{
public:
    /// \param io context that runs the connections, on one thread
    /// \param settings secret and timeouts
    peer_pool(asio::io_context& io, peer_settings settings);

    /// Opens a stream on the connection to a daemon; connects if necessary.
    /// \param address IP address in text form
    /// \param port TCP port
    /// \param path request path, which names the purpose of the stream
    /// \return the stream; it closes as refused if the connection cannot be
    /// made
    [[nodiscard]] std::shared_ptr<peer_stream>
    open_stream(std::string const& address, std::uint16_t port,
                std::string path);

    /// \return number of bytes sent on all connections so far; a connection
    ///     that was replaced counts once its streams are closed
    [[nodiscard]] std::uint64_t bytes_sent() const;
    /// \return number of bytes received, counted like bytes_sent()
    [[nodiscard]] std::uint64_t bytes_received() const;

private:
    /// Keeps a replaced connection until its streams are closed.
    void retire(std::unique_ptr<peer_connection> connection);

    using endpoint = std::pair<std::string, std::uint16_t>;

    asio::io_context& io_;
    peer_settings settings_;
    std::map<endpoint, std::unique_ptr<peer_connection>> connections_;
    /// No longer usable for new streams; kept until their streams are closed.
    std::vector<std::unique_ptr<peer_connection>> retired_;
    std::uint64_t closed_bytes_sent_ = 0;
    std::uint64_t closed_bytes_received_ = 0;
};

} // namespace medlarstall::peer

#endif
