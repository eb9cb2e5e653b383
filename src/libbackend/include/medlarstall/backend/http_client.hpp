#ifndef MEDLARSTALL_BACKEND_HTTP_CLIENT_HPP
#define MEDLARSTALL_BACKEND_HTTP_CLIENT_HPP

#include <medlarstall/support/result.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace asio {
class io_context;
}

namespace medlarstall::backend {

/// Header fields in the order in which they are sent.
using header_fields = std::vector<std::pair<std::string, std::string>>;

/// An HTTP request to another system.
struct outgoing_request
{
    std::string method = "GET";
    std::string url; ///< http://IP:PORT/PATH
    header_fields fields;
    std::string body;
    /// False if the request must not be sent twice. It then uses a connection
    /// of its own, because libcurl repeats a request if the connection that it
    /// reused turns out to be closed.
    bool repeatable = true;
    std::chrono::milliseconds connect_timeout{1'000};
    /// Longest time without data from the server, from the start of the
    /// transfer on; zero for no limit. It does not run during a pause.
    std::chrono::milliseconds receive_timeout{0};
    /// Longest time for the whole transfer; zero for no limit.
    std::chrono::milliseconds total_timeout{0};
};

/// The stage that a transfer had reached when it failed.
enum class transfer_stage
{
    nothing_sent, ///< No byte of the request was sent.
    sent,         ///< Some bytes were sent, no response arrived.
    receiving     ///< The response is incomplete.
};

/// Describes why a transfer failed.
struct transfer_failure
{
    transfer_stage stage = transfer_stage::nothing_sent;
    bool timed_out = false; ///< One of the timeouts of the request expired.
    std::string message;
};

/// Status and header fields of a response.
struct response_head
{
    int status = 0;
    header_fields fields;
};

/// A complete response.
struct fetched_response
{
    int status = 0;
    header_fields fields;
    std::string body;
};

/// Looks up a header field by name.
/// \param fields header fields of a message
/// \param name name of the field; case is ignored
/// \return value of the first field with this name, empty if there is none
[[nodiscard]] std::string_view find_field(header_fields const& fields,
                                          std::string_view name);

/// Result of http_client::fetch().
using fetch_result = std::variant<fetched_response, transfer_failure>;

/// Handlers for a response that arrives in parts. None is called after on_done,
/// nor after the transfer was cancelled or discarded.
struct transfer_handlers
{
    /// Called once before the first on_data.
    std::function<void(response_head const&)> on_head;
    /// Called with each part of the body.
    std::function<void(std::string_view)> on_data;
    /// Called last; the failure is null if the response is complete.
    std::function<void(transfer_failure const*)> on_done;
};

/// Identifies a running transfer of a client.
using transfer_id = std::uint64_t;

/// Limits on the connections of a client.
struct http_client_settings
{
    std::size_t max_idle_connections = 1'024;
    /// An older connection is not reused.
    std::chrono::seconds max_connection_age{60};
    /// A connection whose sent data is not acknowledged for this long is
    /// closed.
    std::chrono::milliseconds tcp_user_timeout{3'000};
};

/// Sends HTTP requests with libcurl on an Asio context. Not thread-safe: use it
/// only on the thread that runs the context.
class http_client
{
public:
    /// \param io context that runs the transfers
    /// \param settings limits on connections
    http_client(asio::io_context& io, http_client_settings settings);
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// Starts a transfer that delivers the response in parts. No handler is
    /// called before this returns.
    /// \param request request to send
    /// \param handlers called as the response arrives
    /// \return identifier of the transfer for the other functions
    transfer_id start(outgoing_request request, transfer_handlers handlers);

    /// Starts a transfer that delivers the response in one piece.
    /// \param request request to send
    /// \param max_body_bytes maximum size of the body; a response with a larger
    ///     body is a failure
    /// \param on_done called once with the response or the failure
    /// \return identifier of the transfer for cancel()
    transfer_id fetch(outgoing_request request, std::size_t max_body_bytes,
                      std::function<void(fetch_result)> on_done);

    /// Stops reading the response until resume() is called.
    /// \param id transfer; if it has ended, nothing happens
    void pause(transfer_id id);

    /// Resumes reading a response after pause().
    /// \param id transfer; if it has ended, nothing happens
    void resume(transfer_id id);

    /// Changes the receive timeout of a transfer.
    /// \param id transfer; if it has ended, nothing happens
    /// \param timeout longest time without data; zero for no limit
    void set_receive_timeout(transfer_id id, std::chrono::milliseconds timeout);

    /// Lets a transfer that is about to end complete in the background, so that
    /// its connection can be reused. No handler is called any more.
    /// \param id transfer; if it has ended, nothing happens
    void discard(transfer_id id);

    /// Ends a transfer and closes its connection. No handler is called any
    /// more.
    /// \param id transfer; if it has ended, nothing happens
    void cancel(transfer_id id);

    /// \return number of transfers that have not ended
    [[nodiscard]] std::size_t running_transfers() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace medlarstall::backend

#endif
