#ifndef MEDLARSTALL_GATEWAY_PEER_LINK_HPP
#define MEDLARSTALL_GATEWAY_PEER_LINK_HPP

#include <medlarstall/gateway/peer_news.hpp>
#include <medlarstall/support/result.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::gateway {

/// Sends and receives news between daemons as datagrams. Owned by the gateway.
class peer_link
{
public:
    /// Told the sender's address as IP:PORT, and the bytes.
    using handler = std::function<void(std::string const&, std::string_view)>;

    /// \param context event loop
    /// \param received what to do with datagrams
    peer_link(asio::io_context& context, handler received);

    /// Starts to receive.
    /// \param address address to use
    /// \return an error if it cannot be used
    [[nodiscard]] status open(asio::ip::udp::endpoint const& address);

    /// Sends a datagram to each address; what cannot be sent is lost.
    /// \param addresses addresses as IP:PORT
    /// \param bytes the datagram
    void send(std::vector<std::string> const& addresses,
              std::string const& bytes);

private:
    /// Longest datagram that UDP carries.
    static constexpr std::size_t most_bytes = 65536;

    void receive();

    asio::ip::udp::socket socket_;
    handler received_;
    asio::ip::udp::endpoint sender_;
    std::array<char, most_bytes> buffer_{};
};

} // namespace medlarstall::gateway

#endif
