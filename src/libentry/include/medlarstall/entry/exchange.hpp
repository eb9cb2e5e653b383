#ifndef MEDLARSTALL_ENTRY_EXCHANGE_HPP
#define MEDLARSTALL_ENTRY_EXCHANGE_HPP

#include <medlarstall/entry/http_message.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace medlarstall::http {
class exchange;
}

namespace medlarstall::entry {

/// An HTTP request from a client and the response to it, which is sent either
/// in one piece or streamed. Owned jointly by those who respond. Not
/// thread-safe: use it only on the thread of the HTTP server.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    /// \param call request that was received, with its connection
    /// \param open_count number of exchanges whose response is not complete;
    ///     includes this one until it is
    exchange(std::unique_ptr<http::exchange> call,
             std::shared_ptr<std::size_t> open_count);
    /// Closes the connection if no response was started.
    ~exchange();
    exchange(exchange const&) = delete;
    exchange& operator=(exchange const&) = delete;

    /// Notices from now on that the client disconnects. To be called once.
    void watch_connection();

    /// \return the request as the client sent it
    [[nodiscard]] http_request const& request() const { return request_; }

    /// Sends a complete response. Does nothing if a response was already
    /// started or the client has disconnected.
    /// \param response status, header fields and body
    void respond(http_response response);

    /// Starts a streamed response by sending its header. Does nothing if a
    /// response was already started or the client has disconnected.
    /// \param status HTTP status code
    /// \param fields header fields of the response
    void start_stream(int status, header_fields const& fields);

    /// Appends to the body of a streamed response.
    /// \param chunk bytes to send
    void write(std::string_view chunk);

    /// Completes a streamed response after its last chunk.
    void finish();

    /// Closes the connection at once, so that the client can tell that the
    /// response is incomplete.
    void abort();

    /// \return number of bytes written that the kernel has not accepted yet
    [[nodiscard]] std::size_t pending_bytes() const;

    /// \return true once a response was started
    [[nodiscard]] bool response_started() const { return response_started_; }

    /// \return true once the client disconnected or the response was completed
    [[nodiscard]] bool closed() const { return closed_; }

    /// Sets the handler that is called each time pending bytes were sent.
    /// \param handler called on the thread of the HTTP server
    void on_sent(std::function<void()> handler);

    /// Sets the handler that is called once if the client disconnects before
    /// the response is complete.
    /// \param handler called on the thread of the HTTP server
    void on_caller_disconnected(std::function<void()> handler);

private:
    void connection_closed();
    void mark_closed();

    std::unique_ptr<http::exchange> call_;
    std::shared_ptr<std::size_t> open_count_;
    http_request request_;
    bool response_started_ = false;
    bool streaming_ = false;
    bool closed_ = false;
    std::function<void()> on_sent_;
    std::function<void()> on_client_disconnected_;
};

} // namespace medlarstall::entry

#endif
