#ifndef MEDLARSTALL_GATEWAY_PEER_LINK_HPP
#define MEDLARSTALL_GATEWAY_PEER_LINK_HPP

#include <medlarstall/gateway/peer_update.hpp>
#include <medlarstall/support/result.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::gateway {

/// UDP socket over which daemons exchange their updates. Owned by the gateway.
class peer_link
{
public:
    /// Called with the sender's address as IP:PORT and the datagram's bytes,
    /// which are valid only during the call.
    using receive_handler =
        std::function<void(std::string const&, std::string_view)>;

    /// \param context event loop that runs the socket
    /// \param on_received called for each datagram
    peer_link(asio::io_context& context, receive_handler on_received);

    /// Binds the socket and starts to receive.
    /// \param address local address to bind
    /// \return an error if the address cannot be bound
    [[nodiscard]] status open(asio::ip::udp::endpoint const& address);

    /// Sends a datagram to each address. A datagram that cannot be sent is
    /// dropped without an error.
    /// \param addresses receivers as IP:PORT; others are skipped
    /// \param bytes content of the datagram
    void send(std::vector<std::string> const& addresses,
              std::string const& bytes);

private:
    /// Longest datagram that UDP carries.
    static constexpr std::size_t max_datagram_bytes = 65536;

    void receive();

    asio::ip::udp::socket socket_;
    receive_handler on_received_;
    asio::ip::udp::endpoint sender_;
    std::array<char, max_datagram_bytes> buffer_{};
};

} // namespace medlarstall::gateway

#endif
