#include <medlarstall/gateway/peer_link.hpp>

#include <medlarstall/gateway/connection_pool.hpp>
#include <medlarstall/http/http_listener.hpp>

#include <asio/buffer.hpp>

#include <tuple>
#include <utility>

namespace medlarstall::gateway {

peer_link::peer_link(asio::io_context& context, receive_handler on_received)
    : socket_{context}, on_received_{std::move(on_received)}
{}

status peer_link::open(asio::ip::udp::endpoint const& address)
{
    std::error_code failure;
    std::ignore = socket_.open(address.protocol(), failure);
    if (!failure) {
        std::ignore = socket_.bind(address, failure);
    }
    if (!failure) {
        std::ignore = socket_.non_blocking(true, failure);
    }
    if (failure) {
        auto const in_use = failure == asio::error::address_in_use;
        return error{in_use ? http::address_in_use : "peer address",
                     failure.message()};
    }
    receive();
    return success();
}

void peer_link::receive()
{
    socket_.async_receive_from(
        asio::buffer(buffer_), sender_,
        [this](std::error_code failure, std::size_t count) {
            if (failure == asio::error::operation_aborted) {
                return;
            }
            if (!failure) {
                auto const from = sender_.address().to_string() + ":" +
                                  std::to_string(sender_.port());
                on_received_(from, {buffer_.data(), count});
            }
            receive();
        });
}

void peer_link::send(std::vector<std::string> const& addresses,
                     std::string const& bytes)
{
    for (auto const& address : addresses) {
        auto const target = parse_endpoint(address);
        if (!target) {
            continue;
        }
        // A lost datagram needs no retry: updates are sent periodically.
        std::error_code ignored;
        socket_.send_to(asio::buffer(bytes),
                        {target->address(), target->port()}, 0, ignored);
    }
}

} // namespace medlarstall::gateway
