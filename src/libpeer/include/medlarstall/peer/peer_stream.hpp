#ifndef MEDLARSTALL_PEER_PEER_STREAM_HPP
#define MEDLARSTALL_PEER_PEER_STREAM_HPP

#include <medlarstall/peer/message.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace medlarstall::peer {

class http2_connection;

/// How a stream between two daemons was closed.
enum class stream_outcome
{
    complete,        ///< Both sides finished sending.
    reset,           ///< The other side reset the stream.
    connection_lost, ///< The connection was lost.
    refused          ///< The other side did not process the stream.
};

/// A bidirectional stream of messages between two daemons, carried by one
/// HTTP/2 stream. Owned jointly by the connection and the code that uses it.
/// Not thread-safe: use it only on the thread of the connection.
class peer_stream : public std::enable_shared_from_this<peer_stream>
{
public:
    /// \param connection connection that carries the stream
    /// \param path request path, which names the purpose of the stream
    peer_stream(std::weak_ptr<http2_connection> connection, std::string path);
    peer_stream(peer_stream const&) = delete;
    peer_stream& operator=(peer_stream const&) = delete;

    /// \return the request path, which names the purpose of the stream
    [[nodiscard]] std::string const& path() const { return path_; }

    /// Queues a message for sending. Does nothing once the stream was closed
    /// or half_close() was called.
    /// \param content message
    void send(message const& content);

    /// Ends the sending direction after the queued messages. Messages from the
    /// other side are still received.
    void half_close();

    /// Resets the stream without calling any further handler.
    void reset();

    /// Pauses or resumes the delivery of messages. While it is paused, HTTP/2
    /// flow control slows down the other side.
    /// \param reading false to pause
    void set_reading(bool reading);

    /// \return number of encoded bytes not yet passed to the HTTP/2 session
    [[nodiscard]] std::size_t pending_bytes() const
    {
        return outgoing_.size() - sent_bytes_;
    }

    /// \return true until the stream is closed
    [[nodiscard]] bool is_open() const { return open_; }

    /// Sets the handler for received messages.
    /// \param handler called for each message, in the order of sending
    void on_message(std::function<void(message)> handler);

    /// Sets the handler that is called once when the stream is closed.
    /// \param handler called with the way in which the stream was closed
    void on_closed(std::function<void(stream_outcome)> handler);

    /// Sets the handler that is called when pending bytes were sent.
    /// \param handler called each time pending_bytes() decreases
    void on_sent(std::function<void()> handler);

private:
    friend class http2_connection;

    void receive(std::string_view bytes);
    void deliver_messages();
    void close(stream_outcome outcome);
    std::size_t read_outgoing(std::uint8_t* buffer, std::size_t size);

    std::weak_ptr<http2_connection> connection_;
    std::string path_;
    std::int32_t id_ = -1;
    message_decoder decoder_;
    std::string undelivered_;    ///< Received, not yet decoded.
    std::string outgoing_;       ///< Encoded messages.
    std::size_t sent_bytes_ = 0; ///< Of outgoing_, from its start.
    bool open_ = true;
    bool reading_ = true;
    bool delivering_ = false;
    bool sending_finished_ = false;
    bool receiving_finished_ = false;
    bool headers_sent_ = false;
    std::function<void(message)> on_message_;
    std::function<void(stream_outcome)> on_closed_;
    std::function<void()> on_sent_;
};

} // namespace medlarstall::peer

#endif
