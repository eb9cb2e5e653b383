#ifndef MEDLARSTALL_STANDINS_TRACKED_SOCKET_HPP
#define MEDLARSTALL_STANDINS_TRACKED_SOCKET_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <unordered_set>
#include <vector>

namespace medlarstall::standins {

/// The sockets of one io_context, so that a stand-in can reset connections
/// that RESTinio owns.
class socket_registry : public asio::execution_context::service
{
public:
    using key_type = socket_registry;
    static inline asio::execution_context::id id;

    explicit socket_registry(asio::execution_context& context)
        : asio::execution_context::service{context}
    {}

    void add(asio::ip::tcp::socket& socket) { sockets_.insert(&socket); }
    void remove(asio::ip::tcp::socket& socket) { sockets_.erase(&socket); }

    /// \param port local port of the wanted connections
    /// \return connected sockets of that port
    [[nodiscard]] std::vector<asio::ip::tcp::socket*>
    connected(std::uint16_t port) const
    {
        std::vector<asio::ip::tcp::socket*> found;
        for (auto* socket : sockets_) {
            asio::error_code failure;
            auto const local = socket->local_endpoint(failure);
            if (!failure && local.port() == port) {
                found.push_back(socket);
            }
        }
        return found;
    }

private:
    void shutdown() override { sockets_.clear(); }

    std::unordered_set<asio::ip::tcp::socket*> sockets_;
};

/// A stream socket for RESTinio that is listed in its context's registry.
class tracked_socket : public asio::ip::tcp::socket
{
public:
    explicit tracked_socket(asio::io_context& context)
        : asio::ip::tcp::socket{context}, registry_{&registry_of(*this)}
    {
        registry_->add(*this);
    }

    tracked_socket(tracked_socket&& other) noexcept
        : asio::ip::tcp::socket{std::move(other)},
          registry_{&registry_of(*this)}
    {
        registry_->add(*this);
    }

    tracked_socket& operator=(tracked_socket&&) = delete;

    ~tracked_socket() { registry_->remove(*this); }

private:
    static socket_registry& registry_of(asio::ip::tcp::socket& socket)
    {
        return asio::use_service<socket_registry>(
            asio::query(socket.get_executor(), asio::execution::context));
    }

    socket_registry* registry_;
};

} // namespace medlarstall::standins

#endif
