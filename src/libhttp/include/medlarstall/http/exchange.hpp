#ifndef MEDLARSTALL_HTTP_EXCHANGE_HPP
#define MEDLARSTALL_HTTP_EXCHANGE_HPP

#include <medlarstall/http/message.hpp>
#include <medlarstall/support/time.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace medlarstall::http {

class server_connection;

/// A complete request and the means to respond to it. Owned by the handler of
/// the request. If it is destroyed before the response is complete, the
/// connection is closed.
class exchange
{
public:
    /// \param connection connection that the request came from
    /// \param head start line and header fields of the request
    /// \param body complete body of the request
    /// \param read_at when the last byte of the request was read
    /// \param arrived_at when the kernel received it
    exchange(std::shared_ptr<server_connection> connection, request_head head,
             std::string body, time_point read_at, time_point arrived_at);
    ~exchange();
    exchange(exchange const&) = delete;
    exchange& operator=(exchange const&) = delete;

    /// \return start line and header fields of the request
    [[nodiscard]] request_head& head() { return head_; }

    /// \return complete body of the request, may be empty
    [[nodiscard]] std::string const& body() const { return *body_; }

    /// \return the body, to be sent on without a copy
    [[nodiscard]] std::shared_ptr<std::string const> shared_body() const
    {
        return body_;
    }

    /// \return when the last byte of the request was read
    [[nodiscard]] time_point read_at() const { return read_at_; }

    /// \return when the kernel received the last bytes of the request, which
    ///     may have waited until they were read
    [[nodiscard]] time_point arrived_at() const { return arrived_at_; }

    /// Sends a complete response. Does nothing if a response was started.
    /// \param complete_response status, header fields and body
    void respond(response const& complete_response);

    /// Sends the head of a response whose body follows by write().
    /// \param head status and header fields
    /// \param length body length in bytes; if it is not known, the body is
    ///     chunked
    void start_response(response_head const& head,
                        std::optional<std::uint64_t> length = std::nullopt);

    /// Sends part of the response body.
    /// \param bytes next bytes of the body; nothing is sent if empty
    void write(std::string_view bytes);

    /// Completes the response after its last part.
    void finish();

    /// Closes the connection without completing the response, so that the
    /// caller sees it as incomplete.
    void abort();

    /// \return true once respond(), start_response() or abort() was called
    [[nodiscard]] bool response_started() const { return response_started_; }

    /// \return true if the caller has closed the connection
    [[nodiscard]] bool caller_disconnected() const;

    /// \return true if the caller has closed the connection, as the kernel
    ///     knows, even if that was not read yet
    [[nodiscard]] bool caller_has_left() const;

    /// \return IP address of the caller; empty if it has disconnected
    [[nodiscard]] std::string caller_address() const;

    /// \return number of response bytes that the kernel has not accepted yet
    [[nodiscard]] std::size_t unsent_bytes() const;

    /// Sets the callback for a caller that closes the connection before the
    /// response is complete.
    /// \param handler called at most once
    void on_caller_disconnected(std::function<void()> handler);

    /// Sets the callback for sent bytes, so that a slow caller can be fed at
    /// its own rate.
    /// \param handler called each time the kernel has accepted bytes that had
    ///     to wait
    void on_sent(std::function<void()> handler);

    /// \return largest number of unsent bytes for which the answer should be
    ///     read on from its server
    [[nodiscard]] std::size_t max_unsent_bytes() const;

    /// \return true if the connections of the process hold so much that an
    ///     answer should be passed on rather than collected
    [[nodiscard]] bool memory_is_scarce() const;

    /// Counts memory that the handler of the request holds for it.
    /// \param bytes what it holds now
    void set_held_bytes(std::size_t bytes);

private:
    std::shared_ptr<server_connection> connection_;
    request_head head_;
    std::shared_ptr<std::string const> body_;
    std::size_t request_bytes_; ///< Counted for head and body.
    std::size_t handler_bytes_ = 0;
    time_point read_at_;
    time_point arrived_at_;
    bool response_started_ = false;
    bool response_ended_ = false;
    bool chunked_ = false;
    bool no_body_ = false; ///< The request was HEAD.
};

} // namespace medlarstall::http

#endif
