#ifndef MEDLARSTALL_PEER_PEER_SERVER_HPP
#define MEDLARSTALL_PEER_PEER_SERVER_HPP

#include <medlarstall/peer/peer_connection.hpp>
#include <medlarstall/support/result.hpp>

#include <functional>
#include <memory>
#include <string>

namespace medlarstall::peer {

/// Accepts connections from other daemons.
class peer_server
{
public:
    /// Receives each stream that another daemon opened.
    using stream_handler = std::function<void(std::shared_ptr<peer_stream>)>;

    /// \param io context that runs the server, on one thread
    /// \param settings secret and timeouts
    /// \param on_stream called for each stream that another daemon opens
    peer_server(asio::io_context& io, peer_settings settings,
                stream_handler on_stream);
    ~peer_server();
    peer_server(peer_server const&) = delete;
    peer_server& operator=(peer_server const&) = delete;

    /// Binds an address and starts to accept connections.
    /// \param address IP address in text form
    /// \param port TCP port; 0 selects a free one
    /// \return the port that was bound, or an error if that failed
    [[nodiscard]] result<std::uint16_t> listen(std::string const& address,
                                               std::uint16_t port);

    /// Sends GOAWAY to every connected daemon, so that it opens no further
    /// streams here. Streams that are open continue.
    void shut_down();

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace medlarstall::peer

#endif
