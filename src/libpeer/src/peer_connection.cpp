#include <medlarstall/peer/peer_connection.hpp>

#include "http2_connection.hpp"

namespace medlarstall::peer {

peer_connection::peer_connection(asio::io_context& io, peer_settings settings)
    : connection_{std::make_shared<http2_connection>(io, std::move(settings))}
{}

peer_connection::~peer_connection()
{
    connection_->close_without_notifying();
}

void peer_connection::connect(std::string const& address, std::uint16_t port)
{
    connection_->connect(address, port);
}

std::shared_ptr<peer_stream> peer_connection::open_stream(std::string path)
{
    return connection_->open_stream(std::move(path));
}

bool peer_connection::usable() const
{
    return connection_->usable();
}

bool peer_connection::established() const
{
    return connection_->established();
}

bool peer_connection::idle() const
{
    return connection_->idle();
}

std::uint64_t peer_connection::bytes_sent() const
{
    return connection_->bytes_sent();
}

std::uint64_t peer_connection::bytes_received() const
{
    return connection_->bytes_received();
}

} // namespace medlarstall::peer
