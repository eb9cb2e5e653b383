#ifndef MEDLARSTALL_GATEWAY_ADDRESS_TEXT_HPP
#define MEDLARSTALL_GATEWAY_ADDRESS_TEXT_HPP

#include <asio/ip/tcp.hpp>

#include <string>

namespace medlarstall::gateway {

/// \param address address of a TCP endpoint
/// \return the address as IP:PORT, without brackets around an IPv6 address
[[nodiscard]] inline std::string
format_endpoint(asio::ip::tcp::endpoint const& address)
{
    return address.address().to_string() + ":" + std::to_string(address.port());
}

} // namespace medlarstall::gateway

#endif
