#ifndef MEDLARSTALL_PEER_PEER_STREAM_HPP
#define MEDLARSTALL_PEER_PEER_STREAM_HPP

#include <medlarstall/peer/message.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace medlarstall::peer {

class connection_core;

/// How a stream between two daemons ended.
enum class stream_end
{
    complete, ///< Both sides ended it.
    reset,    ///< The other side broke it off.
    lost,     ///< The connection broke.
    refused   ///< It never reached the other side.
};

/// One stream of messages between two daemons. Shared by the connection and
/// its user; used on the thread of the connection.
class peer_stream : public std::enable_shared_from_this<peer_stream>
{
public:
    /// \param core connection that carries the stream
    /// \param path what the stream is for
    peer_stream(std::weak_ptr<connection_core> core, std::string path);
    peer_stream(peer_stream const&) = delete;
    peer_stream& operator=(peer_stream const&) = delete;

    /// \return what the stream is for
    [[nodiscard]] std::string const& path() const { return path_; }

    /// Sends a message. Does nothing once the stream ended.
    /// \param content message
    void send(message const& content);

    /// Ends this side after what was sent.
    void end();

    /// Breaks the stream off.
    void reset();

    /// Stops or goes on taking messages; the other side is slowed down by
    /// flow control.
    /// \param reading false to stop
    void set_reading(bool reading);

    /// \return encoded bytes that the other side did not yet take
    [[nodiscard]] std::size_t pending_bytes() const
    {
        return outgoing_.size() - sent_;
    }

    /// \return true until the stream ended
    [[nodiscard]] bool open() const { return open_; }

    /// Sets what receives messages.
    /// \param handler called for each message
    void on_message(std::function<void(message)> handler);

    /// Sets what is called once when the stream ended.
    /// \param handler called with the way in which it ended
    void on_end(std::function<void(stream_end)> handler);

    /// Sets what is called when pending bytes were taken.
    /// \param handler called after some were sent
    void on_sent(std::function<void()> handler);

private:
    friend class connection_core;

    void receive(std::string_view bytes);
    void deliver();
    void finished(stream_end how);
    std::size_t take(std::uint8_t* buffer, std::size_t size);

    std::weak_ptr<connection_core> core_;
    std::string path_;
    std::int32_t id_ = -1;
    message_decoder decoder_;
    std::string held_;     ///< Received while reading is stopped.
    std::string outgoing_; ///< Encoded; sent up to sent_.
    std::size_t sent_ = 0;
    bool open_ = true;
    bool reading_ = true;
    bool delivering_ = false;
    bool ended_here_ = false;
    bool ended_there_ = false;
    bool headers_sent_ = false;
    std::function<void(message)> on_message_;
    std::function<void(stream_end)> on_end_;
    std::function<void()> on_sent_;
};

} // namespace medlarstall::peer

#endif
