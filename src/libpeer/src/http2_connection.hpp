#ifndef MEDLARSTALL_PEER_HTTP2_CONNECTION_HPP
#define MEDLARSTALL_PEER_HTTP2_CONNECTION_HPP

#include <medlarstall/peer/peer_connection.hpp>
#include <medlarstall/peer/peer_stream.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <nghttp2/nghttp2.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace medlarstall::peer {

/// An HTTP/2 connection between two daemons: an nghttp2 session over a TCP
/// socket. Used by the daemon that connects and by the one that accepts. Its
/// pending socket operations keep it alive.
class http2_connection : public std::enable_shared_from_this<http2_connection>
{
public:
    using stream_handler = std::function<void(std::shared_ptr<peer_stream>)>;

    /// \param io context that runs the connection, on one thread
    /// \param settings secret and timeouts
    http2_connection(asio::io_context& io, peer_settings settings);
    ~http2_connection();
    http2_connection(http2_connection const&) = delete;
    http2_connection& operator=(http2_connection const&) = delete;

    /// Connects to another daemon and acts as the HTTP/2 client.
    /// \param address IP address in text form
    /// \param port TCP port
    void connect(std::string const& address, std::uint16_t port);

    /// Takes over an accepted socket and acts as the HTTP/2 server.
    /// \param socket connected socket
    /// \param on_stream called for each stream that the other daemon opens
    void accept(asio::ip::tcp::socket socket, stream_handler on_stream);

    /// Opens a stream to the other daemon.
    /// \param path request path, which names the purpose of the stream
    /// \return the stream; it closes later as refused if the connection is not
    ///     usable
    std::shared_ptr<peer_stream> open_stream(std::string path);

    /// Sends GOAWAY, so that the other daemon opens no further streams.
    void shut_down();

    /// Closes the socket and all streams.
    void close();

    /// Closes without calling the handlers of the streams, because the owner
    /// of the connection is being destroyed.
    void close_without_notifying();

    /// \return false once the connection was closed or either side sent GOAWAY
    [[nodiscard]] bool usable() const { return !closed_ && !going_away_; }
    [[nodiscard]] bool established() const { return established_; }

    /// \return true while an accepted connection is open whose client has not
    ///     told the secret yet
    [[nodiscard]] bool unauthenticated() const
    {
        return is_server_ && !authenticated_ && !closed_;
    }
    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }
    [[nodiscard]] std::uint64_t bytes_received() const
    {
        return bytes_received_;
    }

    /// Resumes sending on a stream that has new data or was finished.
    /// \param id HTTP/2 stream identifier
    void resume_sending(std::int32_t id);

    /// Sends RST_STREAM with the code CANCEL.
    /// \param id HTTP/2 stream identifier
    void reset_stream(std::int32_t id);

    /// Reopens the flow control windows by bytes that were processed.
    /// \param id HTTP/2 stream identifier
    /// \param bytes number of bytes processed
    void acknowledge_consumed(std::int32_t id, std::size_t bytes);

    [[nodiscard]] bool idle() const { return streams_.empty(); }

    struct callbacks;

private:
    /// Header fields of a request that is being received.
    struct request_header
    {
        std::string path;
        std::string secret;
    };

    void start_session(bool server);
    void set_socket_options();
    void start_read();
    void on_readable();
    void handle_input(std::uint8_t const* data, std::size_t bytes);
    void schedule_write();
    void start_write();
    void schedule_ping();
    void close_streams(stream_outcome outcome);
    void handle_stream_closed(std::int32_t id, std::uint32_t error_code);
    void handle_headers_received(std::int32_t id);
    void submit_request(peer_stream& stream);
    void accept_stream(std::int32_t id, std::string path);

    asio::io_context& io_;
    peer_settings settings_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    nghttp2_session* session_ = nullptr;
    stream_handler on_stream_;
    std::unordered_map<std::int32_t, std::shared_ptr<peer_stream>> streams_;
    std::unordered_map<std::int32_t, request_header> request_headers_;
    std::string output_buffer_;
    time_point last_receive_time_;
    time_point accepted_at_;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
    bool is_server_ = false;
    bool connected_ = false;
    bool established_ = false;
    bool authenticated_ = false; ///< The client has told the secret.
    bool closed_ = false;
    bool going_away_ = false;
    bool writing_ = false;
    bool write_scheduled_ = false;
};

} // namespace medlarstall::peer

#endif
