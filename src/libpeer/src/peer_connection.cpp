#include <medlarstall/peer/peer_connection.hpp>

#include "connection_core.hpp"

namespace medlarstall::peer {

peer_connection::peer_connection(asio::io_context& io, peer_settings settings)
    : core_{std::make_shared<connection_core>(io, std::move(settings))}
{}

peer_connection::~peer_connection()
{
    core_->abandon();
}

void peer_connection::connect(std::string const& address, std::uint16_t port)
{
    core_->connect(address, port);
}

std::shared_ptr<peer_stream> peer_connection::open(std::string path)
{
    return core_->open(std::move(path));
}

bool peer_connection::usable() const
{
    return core_->usable();
}

bool peer_connection::established() const
{
    return core_->established();
}

bool peer_connection::idle() const
{
    return core_->idle();
}

std::uint64_t peer_connection::bytes_sent() const
{
    return core_->bytes_sent();
}

std::uint64_t peer_connection::bytes_received() const
{
    return core_->bytes_received();
}

} // namespace medlarstall::peer
