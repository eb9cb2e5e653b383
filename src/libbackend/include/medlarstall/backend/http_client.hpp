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

/// A request to an outside system. Plain data.
struct outgoing_request
{
    std::string method = "GET";
    std::string url; ///< http://IP:PORT/PATH
    header_fields fields;
    std::string body;
    /// A request that must not be sent twice gets a connection of its own:
    /// the library repeats a request whose reused connection was closed.
    bool repeatable = true;
    std::chrono::milliseconds connect_timeout{1'000};
    /// Longest time without a byte from the server once the request was
    /// sent; zero for no bound.
    std::chrono::milliseconds silence_timeout{0};
    /// Longest time in all; zero for no bound.
    std::chrono::milliseconds total_timeout{0};
};

/// How far a failed transfer got.
enum class transfer_stage
{
    nothing_sent, ///< No byte of the request left this process.
    sent,         ///< Some bytes were sent, no answer came.
    answering     ///< The answer was cut midway.
};

/// Why a transfer failed.
struct transfer_failure
{
    transfer_stage stage = transfer_stage::nothing_sent;
    bool timed_out = false;
    std::string message;
};

/// Status and fields of an answer.
struct response_head
{
    int status = 0;
    header_fields fields;
};

/// A whole answer.
struct fetched_response
{
    int status = 0;
    header_fields fields;
    std::string body;
};

/// Finds a header field.
/// \param fields fields to search
/// \param name name in any case
/// \return its value, or an empty text if there is none
[[nodiscard]] std::string_view find_field(header_fields const& fields,
                                          std::string_view name);

/// The outcome of a whole transfer.
using fetch_result = std::variant<fetched_response, transfer_failure>;

/// Receives the parts of an answer. None is called after on_done, nor after
/// the transfer was cancelled.
struct transfer_handlers
{
    std::function<void(response_head const&)> on_head;
    std::function<void(std::string_view)> on_data;
    /// Null failure: the answer is complete.
    std::function<void(transfer_failure const*)> on_done;
};

/// Identifies a running transfer of a client.
using transfer_id = std::uint64_t;

/// Bounds on the connections of a client.
struct http_client_settings
{
    std::size_t max_idle_connections = 1'024;
    std::chrono::seconds max_connection_age{60};
    std::chrono::milliseconds user_timeout{3'000};
};

/// Sends HTTP requests with libcurl on an Asio context. Used on the thread
/// that runs the context.
class http_client
{
public:
    /// \param io context that runs the transfers
    /// \param settings bounds on connections
    http_client(asio::io_context& io, http_client_settings settings);
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// Starts a transfer whose answer comes in parts. No handler is called
    /// before this returns.
    /// \param request what to send
    /// \param handlers called as the answer comes
    /// \return identifier for the other functions
    transfer_id start(outgoing_request request, transfer_handlers handlers);

    /// Starts a transfer whose answer comes whole.
    /// \param request what to send
    /// \param max_body_bytes an answer with a larger body is a failure
    /// \param on_done called once
    /// \return identifier for cancel()
    transfer_id fetch(outgoing_request request, std::size_t max_body_bytes,
                      std::function<void(fetch_result)> on_done);

    /// Stops reading the answer until resume() is called.
    /// \param id a transfer; does nothing if it has ended
    void pause(transfer_id id);

    /// \copydoc pause
    void resume(transfer_id id);

    /// Changes the bound on the silence of the server.
    /// \param id a transfer; does nothing if it has ended
    /// \param timeout longest time without a byte; zero for no bound
    void set_silence_timeout(transfer_id id, std::chrono::milliseconds timeout);

    /// Lets a transfer that is about to end do so on its own, so that its
    /// connection can be used again; calls no handler.
    /// \param id a transfer; does nothing if it has ended
    void discard(transfer_id id);

    /// Ends a transfer and closes its connection; calls no handler.
    /// \param id a transfer; does nothing if it has ended
    void cancel(transfer_id id);

    /// \return running transfers
    [[nodiscard]] std::size_t running() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace medlarstall::backend

#endif
