#ifndef MEDLARSTALL_PEER_PEER_POOL_HPP
#define MEDLARSTALL_PEER_PEER_POOL_HPP

#include <medlarstall/peer/peer_connection.hpp>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace medlarstall::peer {

/// Keeps one connection to each daemon that was asked for, and makes a new one
/// when it broke.
class peer_pool
{
public:
    /// \param io context that runs the connections, on one thread
    /// \param settings secret and timeouts
    peer_pool(asio::io_context& io, peer_settings settings);

    /// Opens a stream on the connection to a daemon.
    /// \param address IP number
    /// \param port TCP port
    /// \param path what the stream is for
    /// \return the stream
    [[nodiscard]] std::shared_ptr<peer_stream>
    open(std::string const& address, std::uint16_t port, std::string path);

    /// \return bytes sent and received on the connections so far
    [[nodiscard]] std::uint64_t bytes_sent() const;
    /// \copydoc bytes_sent
    [[nodiscard]] std::uint64_t bytes_received() const;

private:
    void retire(std::unique_ptr<peer_connection> connection);

    using endpoint = std::pair<std::string, std::uint16_t>;

    asio::io_context& io_;
    peer_settings settings_;
    std::map<endpoint, std::unique_ptr<peer_connection>> connections_;
    /// Left by the other side; kept until their streams have ended.
    std::vector<std::unique_ptr<peer_connection>> retired_;
    std::uint64_t closed_sent_ = 0;
    std::uint64_t closed_received_ = 0;
};

} // namespace medlarstall::peer

#endif
