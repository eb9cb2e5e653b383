#include <medlarstall/peer/peer_pool.hpp>

#include <medlarstall/peer/peer_stream.hpp>

namespace medlarstall::peer {

peer_pool::peer_pool(asio::io_context& io, peer_settings settings)
    : io_{io}, settings_{std::move(settings)}
{}

std::shared_ptr<peer_stream> peer_pool::open_stream(std::string const& address,
                                                    std::uint16_t port,
                                                    std::string path)
{
    auto& connection = connections_[{address, port}];
    if (!connection || !connection->usable()) {
        retire(std::move(connection));
        connection = std::make_unique<peer_connection>(io_, settings_);
        connection->connect(address, port);
    }
    return connection->open_stream(std::move(path));
}

void peer_pool::retire(std::unique_ptr<peer_connection> connection)
{
    std::erase_if(retired_, [this](auto const& retired) {
        if (!retired->idle()) {
            return false;
        }
        closed_bytes_sent_ += retired->bytes_sent();
        closed_bytes_received_ += retired->bytes_received();
        return true;
    });
    if (connection) {
        retired_.push_back(std::move(connection));
    }
}

std::uint64_t peer_pool::bytes_sent() const
{
    auto total = closed_bytes_sent_;
    for (auto const& [endpoint, connection] : connections_) {
        total += connection->bytes_sent();
    }
    return total;
}

std::uint64_t peer_pool::bytes_received() const
{
    auto total = closed_bytes_received_;
    for (auto const& [endpoint, connection] : connections_) {
        total += connection->bytes_received();
    }
    return total;
}

} // namespace medlarstall::peer
