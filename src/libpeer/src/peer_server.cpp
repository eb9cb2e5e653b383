#include <medlarstall/peer/peer_server.hpp>

#include "http2_connection.hpp"

#include <algorithm>
#include <vector>

namespace medlarstall::peer {

namespace {

/// Delay before accepting again after an error.
constexpr std::chrono::milliseconds accept_retry_delay{20};

} // namespace

class peer_server::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& io, peer_settings settings,
                   stream_handler on_stream)
        : io_{io}, settings_{std::move(settings)}, acceptor_{io},
          retry_timer_{io}, on_stream_{std::move(on_stream)}
    {}

    result<std::uint16_t> listen(std::string const& address, std::uint16_t port)
    {
        try {
            asio::ip::tcp::endpoint const endpoint{
                asio::ip::make_address(address), port};
            acceptor_.open(endpoint.protocol());
            acceptor_.set_option(asio::socket_base::reuse_address(true));
            acceptor_.bind(endpoint);
            acceptor_.listen();
        } catch (std::system_error const& failure) {
            return error{"listen " + address + ":" + std::to_string(port),
                         failure.what()};
        }
        accept_next();
        return acceptor_.local_endpoint().port();
    }

    void shut_down()
    {
        for (auto const& weak : connections_) {
            if (auto const connection = weak.lock()) {
                connection->shut_down();
            }
        }
    }

    void close()
    {
        asio::error_code ignored;
        ignored = acceptor_.close(ignored);
        retry_timer_.cancel();
        on_stream_ = [](auto const&) {
        };
        for (auto const& weak : connections_) {
            if (auto const connection = weak.lock()) {
                connection->close();
            }
        }
    }

private:
    void accept_next()
    {
        acceptor_.async_accept(
            [weak = weak_from_this()](auto const& failure,
                                      asio::ip::tcp::socket socket) {
                auto const self = weak.lock();
                if (!self || failure == asio::error::operation_aborted) {
                    return;
                }
                if (failure) {
                    self->accept_later();
                    return;
                }
                self->add_connection(std::move(socket));
                if (self->acceptor_.is_open()) {
                    self->accept_next();
                }
            });
    }

    /// Accepts again after a pause, as there may be no free descriptor.
    void accept_later()
    {
        retry_timer_.expires_after(accept_retry_delay);
        retry_timer_.async_wait(
            [weak = weak_from_this()](auto const& cancelled) {
                auto const self = weak.lock();
                if (!cancelled && self && self->acceptor_.is_open()) {
                    self->accept_next();
                }
            });
    }

    void add_connection(asio::ip::tcp::socket socket)
    {
        std::erase_if(connections_,
                      [](auto const& weak) { return weak.expired(); });
        close_excess_unauthenticated();
        auto const connection =
            std::make_shared<http2_connection>(io_, settings_);
        connections_.push_back(connection);
        connection->accept(std::move(socket),
                           [weak = weak_from_this()](auto stream) {
                               if (auto const self = weak.lock()) {
                                   self->on_stream_(std::move(stream));
                               }
                           });
    }

    /// Closes the oldest connections whose clients have not told the secret,
    /// so that there is room for one more.
    void close_excess_unauthenticated()
    {
        std::vector<std::shared_ptr<http2_connection>> unauthenticated;
        for (auto const& weak : connections_) {
            auto connection = weak.lock();
            if (connection && connection->unauthenticated()) {
                unauthenticated.push_back(std::move(connection));
            }
        }
        for (auto left = unauthenticated.size();
             left >= settings_.max_unauthenticated; --left) {
            unauthenticated[unauthenticated.size() - left]->close();
        }
    }

    asio::io_context& io_;
    peer_settings settings_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer retry_timer_;
    stream_handler on_stream_;
    std::vector<std::weak_ptr<http2_connection>> connections_;
};

peer_server::peer_server(asio::io_context& io, peer_settings settings,
                         stream_handler on_stream)
    : implementation_{std::make_shared<implementation>(io, std::move(settings),
                                                       std::move(on_stream))}
{}

peer_server::~peer_server()
{
    implementation_->close();
}

result<std::uint16_t> peer_server::listen(std::string const& address,
                                          std::uint16_t port)
{
    return implementation_->listen(address, port);
}

void peer_server::shut_down()
{
    implementation_->shut_down();
}

} // namespace medlarstall::peer
