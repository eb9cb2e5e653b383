#ifndef MEDLARSTALL_PEER_CONNECTION_CORE_HPP
#define MEDLARSTALL_PEER_CONNECTION_CORE_HPP

#include <medlarstall/peer/peer_connection.hpp>
#include <medlarstall/peer/peer_stream.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <nghttp2/nghttp2.h>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace medlarstall::peer {

/// An nghttp2 session over a TCP socket, for either side of a link. Kept
/// alive by its own pending operations.
class connection_core : public std::enable_shared_from_this<connection_core>
{
public:
    using stream_handler = std::function<void(std::shared_ptr<peer_stream>)>;

    connection_core(asio::io_context& io, peer_settings settings);
    ~connection_core();
    connection_core(connection_core const&) = delete;
    connection_core& operator=(connection_core const&) = delete;

    void connect(std::string const& address, std::uint16_t port);
    void serve(asio::ip::tcp::socket socket, stream_handler on_stream);
    std::shared_ptr<peer_stream> open(std::string path);
    void shut_down();
    void close();

    /// Closes without telling the streams, whose owner is going away.
    void abandon();

    [[nodiscard]] bool usable() const { return !closed_ && !leaving_; }
    [[nodiscard]] bool established() const { return established_; }
    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }
    [[nodiscard]] std::uint64_t bytes_received() const
    {
        return bytes_received_;
    }

    void data_ready(std::int32_t id);
    void reset_stream(std::int32_t id);
    void consumed(std::int32_t id, std::size_t bytes);

    [[nodiscard]] bool idle() const { return streams_.empty(); }

    struct callbacks;

private:
    struct incoming_head
    {
        std::string path;
        std::string secret;
    };

    void start_session(bool server);
    void set_socket_options();
    void read();
    void received(std::size_t bytes);
    void schedule_write();
    void write();
    void ping();
    void close_streams(stream_end how);
    void stream_closed(std::int32_t id, std::uint32_t error_code);
    void head_complete(std::int32_t id);
    void submit_request(peer_stream& stream);
    void accept_stream(std::int32_t id, std::string path);

    asio::io_context& io_;
    peer_settings settings_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    nghttp2_session* session_ = nullptr;
    stream_handler on_stream_;
    std::unordered_map<std::int32_t, std::shared_ptr<peer_stream>> streams_;
    std::unordered_map<std::int32_t, incoming_head> heads_;
    std::array<std::uint8_t, 64 * 1024> input_{};
    std::string output_;
    time_point last_heard_;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
    bool server_ = false;
    bool connected_ = false;
    bool established_ = false;
    bool closed_ = false;
    bool leaving_ = false;
    bool writing_ = false;
    bool write_scheduled_ = false;
};

} // namespace medlarstall::peer

#endif
