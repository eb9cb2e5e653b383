#ifndef MEDLARSTALL_HTTP_BYTE_CHANNEL_HPP
#define MEDLARSTALL_HTTP_BYTE_CHANNEL_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace medlarstall::http {

/// Callbacks by which a channel notifies its owner. Each may be empty.
struct channel_events
{
    /// Bytes have arrived. They are valid only during the call.
    std::function<void(std::string_view)> received;
    /// The peer has closed its side (no error), or the connection has failed.
    std::function<void(std::error_code)> closed;
    /// The kernel has accepted bytes that had to wait for it.
    std::function<void()> sent;
    /// Asked before each read for the number of bytes that the owner can take
    /// now; reading pauses if it is 0. Without it, as much is read as arrives.
    std::function<std::size_t()> read_limit;
};

/// A TCP connection with asynchronous reads and buffered, non-blocking writes.
/// It has no read buffer of its own, so that an idle connection uses little
/// memory. It is owned by a server connection or an upstream connection, and
/// its pending operations keep it alive.
class byte_channel : public std::enable_shared_from_this<byte_channel>
{
public:
    /// \param socket connected socket, or a new one for connect()
    explicit byte_channel(asio::ip::tcp::socket socket);

    /// Connects to a peer.
    /// \param address address and port of the peer
    /// \param done called with the outcome, unless the channel was closed in
    ///     the meantime
    void connect(asio::ip::tcp::endpoint const& address,
                 std::function<void(std::error_code)> done);

    /// Starts reading from the connected socket.
    /// \param events callbacks of the owner
    void start(channel_events events);

    /// Drops all callbacks, so that the owner gets no further notification.
    void detach() { events_ = {}; }

    /// Sends bytes in order. Bytes that the kernel does not accept at once are
    /// buffered. Does nothing if the channel is closed.
    /// \param bytes bytes to send; they are copied if they must be buffered
    void send(std::string_view bytes);

    /// Sends a head and then a body, of which no copy is made unless it is
    /// small.
    /// \param head bytes to send first
    /// \param body body that follows, or nullptr; must not change any more
    void send(std::string head, std::shared_ptr<std::string const> body);

    /// \return number of bytes that the kernel has not accepted yet
    [[nodiscard]] std::size_t unsent_bytes() const
    {
        auto const body = body_ ? body_->size() - body_offset_ : 0;
        return write_buffer_.size() - write_offset_ + body;
    }

    /// \return bytes that the buffer of the channel holds; a shared body
    ///     belongs to its sender
    [[nodiscard]] std::size_t held_bytes() const;

    /// \return number of bytes received and sent so far
    [[nodiscard]] std::uint64_t moved_bytes() const { return moved_bytes_; }

    /// Limits what the kernel holds for a peer that sends faster than it is
    /// read from.
    /// \param bytes size of the kernel's receive buffer
    void set_receive_buffer(std::size_t bytes);

    /// Limits what the kernel holds for a peer that does not read.
    /// \param bytes bytes that the kernel accepts beyond those it can send
    void set_unsent_limit(std::size_t bytes);

    /// \return true if the kernel has accepted a byte since the last call of
    ///     clear_has_sent()
    [[nodiscard]] bool has_sent() const { return has_sent_; }

    /// Resets has_sent(), so that it describes the next message only.
    void clear_has_sent() { has_sent_ = false; }

    /// Stops reading, so that TCP flow control slows the peer down.
    void pause() { paused_ = true; }

    /// Reads again after pause().
    void resume();

    /// \return true while reading is paused
    [[nodiscard]] bool paused() const { return paused_; }

    /// \return size in bytes that was set for the kernel's receive buffer; 0 if
    ///     none was
    [[nodiscard]] std::size_t receive_buffer() const { return receive_buffer_; }

    /// Shuts down the sending side once the write buffer is empty.
    void shutdown_when_sent();

    /// \return executor that runs the callbacks of this connection
    [[nodiscard]] asio::ip::tcp::socket::executor_type executor()
    {
        return socket_.get_executor();
    }

    /// Closes the connection at once and drops all callbacks. Buffered bytes
    /// are not sent.
    void close();

    /// Closes the connection with a TCP reset, so that the peer cannot take a
    /// partial message for a complete one.
    void reset();

    /// \return IP address of the peer; empty if it is not connected
    [[nodiscard]] std::string peer_address() const;

    /// \return true until close() or reset() is called
    [[nodiscard]] bool is_open() const { return socket_.is_open(); }

    /// Asks the kernel, which knows of a close before it was read here.
    /// \return true if the peer has not closed its side; false also while
    ///     reading is stopped, since the kernel may then not have heard of it
    [[nodiscard]] bool is_established();

    /// Asks the kernel, which knows of a close before it was read here.
    /// \return true if the peer has closed its side, or the connection failed
    [[nodiscard]] bool peer_has_closed();

    /// \return time since the kernel has received the newest bytes; zero if it
    ///     does not say
    [[nodiscard]] std::chrono::milliseconds newest_bytes_age();

    /// Closes the connection at once. Bytes that the peer has not acknowledged
    /// are not sent again: it must not get them once nobody waits for what
    /// follows.
    void abandon();

    /// Makes the connection fail if the peer does not acknowledge sent bytes in
    /// time, and turns on TCP keep-alive probes for an idle connection.
    /// \param timeout longest time without an acknowledgement
    void set_peer_timeout(std::chrono::milliseconds timeout);

private:
    void wait_readable();
    void on_readable(std::error_code failure);
    std::size_t write_now(std::string_view bytes);
    void flush();
    void compact();
    void wait_writable();
    void shutdown_if_sent();
    void report_closed(std::error_code reason);

    asio::ip::tcp::socket socket_;
    channel_events events_;
    std::string write_buffer_;
    std::size_t write_offset_ = 0; ///< Bytes of the buffer already sent.
    std::shared_ptr<std::string const> body_; ///< Follows the write buffer.
    std::size_t body_offset_ = 0;             ///< Bytes of it already sent.
    std::uint64_t moved_bytes_ = 0;
    std::size_t receive_buffer_ = 0;
    bool has_sent_ = false;
    bool paused_ = false;
    bool waiting_read_ = false;
    bool waiting_write_ = false;
    bool close_reported_ = false;
    bool shutting_down_ = false;
};

} // namespace medlarstall::http

#endif
