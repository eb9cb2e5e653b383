#ifndef MEDLARSTALL_ENTRY_HTTP_SERVER_HPP
#define MEDLARSTALL_ENTRY_HTTP_SERVER_HPP

#include <medlarstall/support/result.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace medlarstall::entry {

class exchange;

/// Address to listen on, and limits on what clients may send.
struct http_server_settings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 selects a free port.
    std::size_t max_connections = 20'000;
    std::size_t max_field_bytes =
        std::size_t{16} * 1024; ///< Of one header field.
    std::size_t max_fields = 64;
    std::size_t max_target_bytes = std::size_t{8} * 1024;
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    /// Bytes that all connections together may hold for unfinished requests
    /// and responses.
    std::size_t max_held_bytes = std::size_t{100} * 1024 * 1024;
    std::chrono::milliseconds request_read_timeout{15'000};
};

/// The HTTP/1.1 server that clients, other daemons and operators connect to.
class http_server
{
public:
    /// Receives each request together with the means to respond to it.
    using request_handler = std::function<void(std::shared_ptr<exchange>)>;

    /// \param io context that runs the server, on one thread
    /// \param settings address and limits
    /// \param on_request called for each request
    http_server(asio::io_context& io, http_server_settings settings,
                request_handler on_request);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// Binds the address and starts to accept connections.
    /// \return the port that was bound, or an error if that failed
    [[nodiscard]] result<std::uint16_t> listen();

    /// From now on, closes each connection once its response is complete.
    void disable_keep_alive();

    /// \return number of exchanges whose response is not complete
    [[nodiscard]] std::size_t open_exchange_count() const;

    /// \return true if each response is complete and was sent
    [[nodiscard]] bool idle() const;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace medlarstall::entry

#endif
