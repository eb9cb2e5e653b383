#ifndef MEDLARSTALL_HTTP_UPSTREAM_CONNECTION_HPP
#define MEDLARSTALL_HTTP_UPSTREAM_CONNECTION_HPP

#include <medlarstall/http/byte_channel.hpp>
#include <medlarstall/http/message_parser.hpp>
#include <medlarstall/support/time.hpp>

#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace medlarstall::http {

/// Why a call to a server did not yield a complete response.
enum class call_failure
{
    not_connected,   ///< Connecting failed or timed out; nothing was sent.
    nothing_sent,    ///< The connection was lost before any byte was sent.
    connection_lost, ///< It was lost between the request and the response.
    malformed,       ///< The server sent no valid HTTP response to this call.
    truncated        ///< The connection was lost within the response.
};

/// \param failure why a call failed
/// \return name of the enumerator, as it stands in log records
[[nodiscard]] char const* name_of(call_failure failure);

/// \param failure why a call failed
/// \return true if no byte of the request was sent, so that the server cannot
///     have seen it
[[nodiscard]] constexpr bool certainly_not_sent(call_failure failure)
{
    return failure == call_failure::not_connected ||
           failure == call_failure::nothing_sent;
}

/// Callbacks by which a connection notifies the owner of a call. All but
/// `interim` and `may_send` must be set.
struct call_events
{
    /// Decides whether a response is the one to this call. Other responses,
    /// which a server sends late to earlier calls, are skipped.
    std::function<bool(response_head const&)> is_response_to_call;
    /// The head of an interim response (1xx) was read.
    std::function<void(response_head const&)> interim;
    /// A new connection is established and the request is sent next. Returns
    /// false if it must not be; the owner has then cancelled the call.
    std::function<bool()> may_send;
    /// The head of the response was read.
    std::function<void(response_head&, body_framing)> head;
    /// Part of the body was read.
    std::function<void(std::string)> body;
    /// The response was read to its end. No other callback follows.
    std::function<void()> complete;
    /// The call failed. No other callback follows.
    std::function<void(call_failure)> failed;
};

/// A connection to a server that carries one call at a time. It never retries a
/// call by itself. Owned by its pool while idle and by the call while busy.
class upstream_connection
    : public std::enable_shared_from_this<upstream_connection>
{
public:
    /// \param context event loop that runs all callbacks
    /// \param address address and port of the server
    upstream_connection(asio::io_context& context,
                        asio::ip::tcp::endpoint address);
    ~upstream_connection();

    /// Connects without a call, so that the connection is ready for one.
    /// \param opened called with true when it is, or with false if that failed
    void open(std::function<void(bool)> opened);

    /// Sends a request and reads the response. Connects first if needed.
    /// \param request complete request as serialised
    /// \param no_body whether the response has no body, as one to HEAD
    /// \param events callbacks of the owner of the call
    void start_call(std::string request, bool no_body, call_events events)
    {
        start_call(std::move(request), nullptr, no_body, std::move(events));
    }

    /// Sends a request whose body is shared, and reads the response.
    /// \param head complete head of the request as serialised
    /// \param body body that follows, or nullptr
    /// \param no_body whether the response has no body, as one to HEAD
    /// \param events callbacks of the owner of the call
    void start_call(std::string head, std::shared_ptr<std::string const> body,
                    bool no_body, call_events events);

    /// Cancels the call by closing the connection. No callback follows.
    void cancel();

    /// Stops reading, so that TCP flow control slows the server down.
    void pause();

    /// Reads again after pause().
    void resume() { channel_->resume(); }

    /// \return true if the connection is open and idle, ready for a call
    [[nodiscard]] bool reusable() const;

    /// \return true if it is connected, read from, and neither side has closed
    [[nodiscard]] bool is_established() const
    {
        return (state_ == state::idle || state_ == state::busy) &&
               channel_->is_established();
    }

    /// \return true if it was closed or has failed
    [[nodiscard]] bool is_closed() const { return state_ == state::closed; }

    /// \return address and port of the server
    [[nodiscard]] asio::ip::tcp::endpoint const& address() const
    {
        return address_;
    }

    /// Sets the callback for an idle connection that closes or fails.
    /// start_call() removes it.
    /// \param handler called at most once
    void on_closed_while_idle(std::function<void()> handler);

    /// \return when bytes were last read from the server
    [[nodiscard]] time_point last_activity() const { return last_activity_; }

    /// \return when the connection was established; empty before
    [[nodiscard]] std::optional<time_point> opened_at() const
    {
        return opened_at_;
    }

    /// \return when bytes were read before last_activity(), or the connection
    ///     was established. The server was still running at this time. Stands
    ///     once reading was paused, as bytes may then wait in a buffer.
    [[nodiscard]] time_point previous_activity() const
    {
        return previous_activity_;
    }

    /// \return true if reading was paused within the present call, so that
    ///     bytes and the end of the connection may be read late
    [[nodiscard]] bool was_paused() const { return was_paused_; }

    /// \return how long the server keeps an idle connection open, from the
    ///     timeout parameter of its Keep-Alive field; empty if it sent none
    [[nodiscard]] std::optional<std::chrono::seconds> keep_alive_timeout() const
    {
        return keep_alive_timeout_;
    }

    /// \return true if the connection has carried another call before
    [[nodiscard]] bool is_reused() const { return call_count_ > 1; }

    /// \return true if the kernel has accepted any byte of the current request
    [[nodiscard]] bool has_sent() const { return channel_->has_sent(); }

private:
    enum class state
    {
        unconnected,
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
    void report_interim_responses();
    bool report_head();
    void deliver_body();
    void complete();
    void skip_unmatched_response();
    void fail(call_failure failure);
    void read_keep_alive_timeout();

    asio::ip::tcp::endpoint address_;
    std::shared_ptr<byte_channel> channel_;
    asio::steady_timer connect_timer_;
    message_parser parser_{message_kind::response};
    std::string request_;
    std::shared_ptr<std::string const> request_body_;
    call_events events_;
    std::uint64_t call_count_ = 0;
    std::function<void()> closed_while_idle_handler_;
    std::function<void(bool)> opened_handler_; ///< Of open().
    std::optional<std::chrono::seconds> keep_alive_timeout_;
    std::optional<time_point> opened_at_;
    time_point last_activity_;
    time_point previous_activity_;
    state state_ = state::unconnected;
    int unmatched_responses_ = 0;
    bool no_body_ = false;
    bool was_paused_ = false; ///< Since the present call began.
    bool head_reported_ = false;
    bool unmatched_ = false;
    bool reusable_ = false;
};

} // namespace medlarstall::http

#endif
