#ifndef MEDLARSTALL_HTTP_SERVER_CONNECTION_HPP
#define MEDLARSTALL_HTTP_SERVER_CONNECTION_HPP

#include <medlarstall/http/byte_channel.hpp>
#include <medlarstall/http/exchange.hpp>
#include <medlarstall/http/memory_account.hpp>
#include <medlarstall/http/memory_pressure_policy.hpp>
#include <medlarstall/http/message_parser.hpp>
#include <medlarstall/http/progress_tracker.hpp>
#include <medlarstall/support/time.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace medlarstall::http {

/// Largest request that a server accepts, and its timeouts.
struct server_limits
{
    std::size_t max_head_bytes = 16384;
    std::uint64_t max_body_bytes = 4194304;
    /// From the first byte of a request to the end of its header fields.
    std::chrono::milliseconds head_timeout{3000};
    /// Without any byte received, between requests or within one.
    std::chrono::milliseconds idle_timeout{15000};
    /// From the first byte of a request to its end; without the time in which
    /// reading is paused.
    std::optional<std::chrono::milliseconds> request_timeout;
    std::size_t max_target_bytes = std::numeric_limits<std::size_t>::max();
    /// Of the name and of the value of one header field.
    std::size_t max_field_bytes = std::numeric_limits<std::size_t>::max();
    std::size_t max_fields = std::numeric_limits<std::size_t>::max();
};

/// Why a connection was closed to keep the limits of the process.
struct limit_closure
{
    char const* reason = ""; ///< "memory" or "connections".
    memory_holder holder;    ///< What the connection held.
    std::size_t held = 0;    ///< Bytes that all connections held.
    std::size_t limit = 0;   ///< Budget that was exceeded or used up.
};

/// Callbacks of a server for the requests on its connections.
struct server_events
{
    /// A request was read completely; the callback must respond to it.
    std::function<void(std::unique_ptr<exchange>)> request;
    /// A request was rejected as invalid, too large or too slow, with this
    /// status code. The connection has sent the response already.
    std::function<void(int)> refused;
    /// A connection is being closed for lack of memory or of descriptors.
    std::function<void(limit_closure const&)> closed_for_limit;
    /// Makes the response to a request that is rejected with this status code.
    std::function<response(int)> refusal;
};

/// A connection from a caller. It reads one request at a time and passes it to
/// the callback of the server. Owned by its listener until it is closed.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    /// \param channel accepted TCP connection
    /// \param limits limits, read again for each request; must outlive this
    /// \param events callbacks of the server; must outlive this
    /// \param account account of the memory that connections hold
    /// \param check_memory called when a decision about memory is due; the
    ///     connection may be closed only later
    server_connection(std::shared_ptr<byte_channel> channel,
                      server_limits const& limits, server_events const& events,
                      std::shared_ptr<memory_account> account,
                      std::function<void()> const& check_memory);

    /// Starts reading requests.
    /// \param now current time
    void start(time_point now);

    /// Closes the connection if it exceeded a timeout. A caller that has sent
    /// part of a request gets status 408 first.
    /// \param now current time
    void check_timeouts(time_point now);

    /// Closes the connection after the current or next response.
    void drain() { close_after_response_ = true; }

    /// Closes the connection if it has been idle for long enough that no
    /// request is likely to be in transit.
    /// \param now current time
    void close_if_idle(time_point now);

    /// Describes what the connection holds, and notes the progress since the
    /// last call.
    /// \param now current time
    [[nodiscard]] memory_holder describe(time_point now);

    /// Reads a request to its end that was paused for lack of memory.
    /// \param now current time
    void resume_request(time_point now);

    /// Reads while there is room for what arrives, whatever has made or taken
    /// it.
    void update_reading();

    /// Frees the memory: refuses an unfinished request, drops further requests
    /// that were read ahead, or breaks off an answer that is not read.
    void release_memory();

    /// Closes the connection at once, after a refusal if a request has begun.
    void close_for_descriptors();

    /// Closes the connection at once, without notice to the handler of a
    /// request, since what this refers to is being destroyed.
    void detach();

    /// \return true once the connection is closed
    [[nodiscard]] bool closed() const { return state_ == state::closed; }

    /// \return true until the response to a request was sent completely
    [[nodiscard]] bool busy() const
    {
        return state_ == state::responding || state_ == state::sending;
    }

    /// \return true while a request awaits the end of its response
    [[nodiscard]] bool awaits_response() const
    {
        return state_ == state::responding;
    }

    /// \return true while reading is paused for lack of memory
    [[nodiscard]] bool waits_for_memory() const
    {
        return waiting_since_.has_value();
    }

    /// \return when the connection last received bytes or ended a response
    [[nodiscard]] time_point last_activity() const { return last_activity_; }

    /// \return true between requests, when no byte of the next was read
    [[nodiscard]] bool idle() const
    {
        return state_ == state::reading && !parser_.started() &&
               unparsed_.empty();
    }

private:
    friend class exchange;

    enum class state
    {
        reading,
        responding,
        sending,   ///< The response is complete, but not all of it is sent.
        lingering, ///< The last response is sent; waits for the peer to close.
        closed
    };

    void on_bytes(std::string_view bytes);
    void on_closed(std::error_code reason);
    void read_further_requests();
    void read_further_requests_later();
    std::string_view read_part(std::string_view bytes);
    void keep_unparsed(std::string_view bytes);
    void discard(std::size_t bytes);
    void drop_unparsed();
    void drop_further_requests();
    [[nodiscard]] std::size_t read_limit();
    [[nodiscard]] std::size_t max_read_ahead() const;
    void reject_request();
    void refuse(int status);
    void break_off();
    void count_exchange(std::size_t before, std::size_t after);
    void update_memory();
    void pause_for_memory();
    void on_sent();
    void dispatch_request();
    void on_response_finished();
    void on_response_sent();
    void linger();
    void close_now();
    /// \return true if the response to be sent must announce the close
    bool announce_close() { return close_announced_ = close_after_response_; }
    void send(std::string_view bytes);

    std::shared_ptr<byte_channel> channel_;
    server_limits const& limits_;
    server_events const& events_;
    message_parser parser_;
    std::string unparsed_; ///< Received bytes after the current request.
    std::size_t parsed_bytes_ = 0; ///< At the start of unparsed_.
    std::function<void()> caller_disconnected_handler_;
    std::function<void()> sent_handler_;
    std::function<void()> const& check_memory_;
    held_memory held_;
    progress_tracker progress_;
    std::optional<time_point> waiting_since_; ///< Paused for lack of memory.
    std::size_t exchange_bytes_ = 0;  ///< Held for the requests being answered.
    std::size_t discarded_bytes_ = 0; ///< Received after the last response.
    bool may_grow_ = false;           ///< The request was resumed to its end.
    state state_ = state::reading;
    bool close_after_response_ = false;
    bool close_announced_ = false; ///< By the current response.
    bool further_dropped_ = false; ///< Further requests are not read any more.
    bool further_posted_ = false;  ///< read_further_requests() will be called.
    bool peer_closed_ = false;
    time_point last_activity_;
    time_point last_discarded_; ///< When bytes last came after the response.
    /// End of the last pause of reading, which is not the delay of a request
    /// that the caller has sent meanwhile.
    time_point reading_since_;
    time_point head_started_; ///< When the request began.
};

} // namespace medlarstall::http

#endif
