#ifndef MEDLARSTALL_HTTP_UPSTREAM_CONNECTION_HPP
#define MEDLARSTALL_HTTP_UPSTREAM_CONNECTION_HPP

#include <medlarstall/http/byte_channel.hpp>
#include <medlarstall/http/message_parser.hpp>
#include <medlarstall/support/time.hpp>

#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace medlarstall::http {

/// Why a call to a server brought no whole answer.
enum class call_failure
{
    not_connected, ///< No connection came about; nothing was sent.
    nothing_sent,  ///< The connection was lost before a byte was sent.
    connection_lost,
    malformed, ///< What came is no HTTP response.
    truncated  ///< The answer ended before its end.
};

/// \param failure why a call failed
/// \return its name for log lines
[[nodiscard]] char const* name_of(call_failure failure);

/// \param failure why a call failed
/// \return true if the server cannot have seen the request
[[nodiscard]] constexpr bool certainly_not_sent(call_failure failure)
{
    return failure == call_failure::not_connected ||
           failure == call_failure::nothing_sent;
}

/// What the owner of a call is told.
struct call_events
{
    /// Tells whether a response belongs to this call. Others are skipped.
    std::function<bool(response_head const&)> belongs;
    /// The head of an interim response (1xx) was read. May be empty.
    std::function<void(response_head const&)> interim;
    /// The head of the response was read.
    std::function<void(response_head&, body_framing)> head;
    /// A piece of the body was read.
    std::function<void(std::string)> body;
    /// The response was read whole.
    std::function<void()> complete;
    /// The call failed. Nothing else follows.
    std::function<void(call_failure)> failed;
};

/// A connection to a server that carries one call at a time and never repeats
/// one by itself. Owned by its pool while idle, by the call while busy.
class upstream_connection
    : public std::enable_shared_from_this<upstream_connection>
{
public:
    /// \param context event loop
    /// \param address address of the server
    upstream_connection(asio::io_context& context,
                        asio::ip::tcp::endpoint address);
    ~upstream_connection();

    /// Sends a request and reads the response. Connects first if needed.
    /// \param request whole request as text
    /// \param bodiless_answer whether the answer has no body (HEAD)
    /// \param events what to tell the owner
    void start_call(std::string request, bool bodiless_answer,
                    call_events events);

    /// Stops the call by closing the connection; nothing more is told.
    void cancel();

    /// Stops reading the body, so that the server is slowed down.
    void pause() { channel_->pause(); }

    /// Goes on reading the body.
    void resume() { channel_->resume(); }

    /// \return true if a further call may be sent
    [[nodiscard]] bool reusable() const;

    /// Tells what to do when an idle connection is lost.
    /// \param handler called at most once
    void on_idle_lost(std::function<void()> handler);

    /// \return when the last byte was read
    [[nodiscard]] time_point last_activity() const { return last_activity_; }

    /// \return how long the server keeps an idle connection, if it said so
    [[nodiscard]] std::optional<std::chrono::seconds> idle_limit() const
    {
        return idle_limit_;
    }

    /// \return true if any byte of the current request has left
    [[nodiscard]] bool has_sent() const { return channel_->has_sent(); }

private:
    enum class state
    {
        fresh,
        connecting,
        busy,
        idle,
        closed
    };

    void connect();
    void on_connected(std::error_code outcome);
    void send_request();
    void on_bytes(std::string_view bytes);
    void on_closed(std::error_code reason);
    void on_connect_timeout();
    void announce_interim();
    bool announce_head();
    void deliver_body();
    void complete();
    void skip_foreign_answer();
    void fail(call_failure failure);
    void read_idle_limit();

    asio::ip::tcp::endpoint address_;
    std::shared_ptr<byte_channel> channel_;
    asio::steady_timer connect_timer_;
    message_parser parser_{message_kind::response};
    std::string request_;
    call_events events_;
    std::function<void()> idle_lost_;
    std::optional<std::chrono::seconds> idle_limit_;
    time_point last_activity_;
    state state_ = state::fresh;
    int foreign_answers_ = 0;
    bool bodiless_ = false;
    bool head_told_ = false;
    bool foreign_ = false;
    bool reusable_ = false;
};

} // namespace medlarstall::http

#endif
