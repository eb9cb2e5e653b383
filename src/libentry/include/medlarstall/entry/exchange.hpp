#ifndef MEDLARSTALL_ENTRY_EXCHANGE_HPP
#define MEDLARSTALL_ENTRY_EXCHANGE_HPP

#include <medlarstall/entry/http_message.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace medlarstall::entry {

/// An HTTP request from a client and the response to it, which is sent either
/// in one piece or streamed. Owned jointly by the HTTP server and the code that
/// responds. Not thread-safe: use it only on the thread of the HTTP server.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    /// The functions through which an exchange uses the HTTP library.
    struct transport;

    /// \param request request that was received
    /// \param connection sends the response to the client
    exchange(http_request request, std::unique_ptr<transport> connection);
    /// Closes the connection if no response was started.
    ~exchange();
    exchange(exchange const&) = delete;
    exchange& operator=(exchange const&) = delete;

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
    void start_stream(int status, header_fields fields);

    /// Appends to the body of a streamed response. Chunks that are written
    /// while an earlier one is being sent are sent together.
    /// \param chunk bytes to send
    void write(std::string_view chunk);

    /// Completes a streamed response once everything written was sent.
    void finish();

    /// Closes the connection at once, so that the client can tell that the
    /// response is incomplete.
    void abort();

    /// \return number of body bytes written but not yet passed to the socket
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

    /// Notifies the exchange that its connection was closed. Called by the
    /// HTTP server.
    void connection_closed();

private:
    void mark_closed();
    void flush();
    void handle_sent(bool succeeded, std::size_t bytes);

    http_request request_;
    std::unique_ptr<transport> transport_;
    std::string buffered_;
    std::size_t in_flight_bytes_ = 0;
    bool response_started_ = false;
    bool streaming_ = false;
    bool finish_requested_ = false;
    bool closed_ = false;
    std::function<void()> on_sent_;
    std::function<void()> on_client_disconnected_;
};

} // namespace medlarstall::entry

#endif
