#ifndef MEDLARSTALL_BACKEND_ENGINE_STREAM_HPP
#define MEDLARSTALL_BACKEND_ENGINE_STREAM_HPP

#include <medlarstall/backend/http_client.hpp>
#include <medlarstall/backend/sse_parser.hpp>
#include <medlarstall/backend/token_event.hpp>

#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace medlarstall::backend {

/// Network address of a backend server.
struct backend_endpoint
{
    std::string id;      ///< Identifier of the backend server.
    std::string address; ///< IP address in text form.
    std::uint16_t port = 0;
};

/// Timeouts of an engine stream, and limits on resuming it.
struct engine_stream_settings
{
    /// Receive timeout until the first token of a request arrives.
    std::chrono::milliseconds first_token_timeout{10'000};
    /// Receive timeout after that.
    std::chrono::milliseconds between_tokens_timeout{2'000};
    unsigned max_resumes = 8; ///< In a row, without a new token in between.
    /// Delay before the first resume; grows linearly with each further one.
    std::chrono::milliseconds resume_delay{50};
};

/// Why an engine stream ended without a complete response.
struct engine_failure
{
    std::string code; ///< Stable identifier, for errors and log lines.
    std::string message;
    bool not_run = false; ///< The engine certainly did not run the request.
    bool crashed = false; ///< The engine is unreachable or lost the stream.
};

/// Handlers for the events of an engine stream. None is called after
/// on_finished, on_failed, cancel() or suspend().
struct engine_stream_handlers
{
    /// Called with consecutive tokens: index of the first token, number of
    /// tokens, and their text.
    std::function<void(std::uint64_t, std::uint32_t, std::string_view)>
        on_tokens;
    /// Called once the response is complete, with the reason for its end.
    std::function<void(std::string const& reason, token_usage const&)>
        on_finished;
    /// Called once the stream failed and is not resumed any further.
    std::function<void(engine_failure const&)> on_failed;
};

/// Streams the tokens of one attempt from the inference engine of a backend
/// server. It delivers the tokens of this attempt only, in their order. If
/// tokens are missing, or the connection is lost or times out, it resumes the
/// stream on a new connection.
class engine_stream : public std::enable_shared_from_this<engine_stream>
{
public:
    /// \param io context that runs the stream
    /// \param client sends the requests; must outlive the stream
    /// \param endpoint address of the engine
    /// \param attempt identifier that the engine repeats in each event
    /// \param settings timeouts and limits
    engine_stream(asio::io_context& io, http_client& client,
                  backend_endpoint endpoint, std::string attempt,
                  engine_stream_settings settings);
    ~engine_stream();
    engine_stream(engine_stream const&) = delete;
    engine_stream& operator=(engine_stream const&) = delete;

    /// Sends the request to the engine.
    /// \param body JSON body, with "stream" and "priority" set
    /// \param handlers called for the events of the stream
    void start(std::string body, engine_stream_handlers handlers);

    /// Connects to an attempt that the engine is already running.
    /// \param from index of the first token to receive
    /// \param handlers called for the events of the stream
    void resume(std::uint64_t from, engine_stream_handlers handlers);

    /// Lets the engine continue an attempt that was suspended.
    /// \param from index of the first token to receive
    /// \param priority priority tier at the engine
    /// \param handlers called for the events of the stream
    void continue_suspended(std::uint64_t from, unsigned priority,
                            engine_stream_handlers handlers);

    /// Pauses or resumes reading. While it is paused, TCP flow control slows
    /// down the engine.
    /// \param reading false to pause
    void set_reading(bool reading);

    /// Ends the attempt and frees its slot at the engine.
    void cancel();

    /// Frees the slot at the engine, which keeps the tokens for
    /// continue_suspended().
    /// \param on_done called with false if the engine did not keep them
    void suspend(std::function<void(bool)> on_done);

    /// \return index of the next token to be received
    [[nodiscard]] std::uint64_t next_token_index() const
    {
        return next_token_index_;
    }

    /// \return number of events ignored because they belong to another attempt
    [[nodiscard]] std::uint64_t mismatched_events() const
    {
        return mismatched_events_;
    }

    /// \return address of the engine
    [[nodiscard]] backend_endpoint const& endpoint() const { return endpoint_; }

private:
    enum class event_result
    {
        proceed, ///< More events are expected.
        gap,     ///< Tokens are missing.
        complete ///< All tokens and the finish reason were received.
    };

    void send(outgoing_request request);
    outgoing_request stream_request(std::string method,
                                    std::string const& suffix) const;
    void handle_head(response_head const& head);
    void handle_data(std::string_view data);
    bool handle_event(std::string_view text);
    event_result process_event();
    event_result buffer_token();
    void append_token(std::string const& content);
    void append_buffered_tokens();
    void deliver_batch();
    void handle_transfer_end(transfer_failure const* failure);
    void handle_error_status();
    void schedule_resume(std::string code, std::string message,
                         bool unreachable);
    void fail(engine_failure const& failure);
    void stop_transfer();
    [[nodiscard]] std::string url(std::string const& path) const;

    asio::io_context& io_;
    http_client& client_;
    backend_endpoint endpoint_;
    std::string attempt_;
    engine_stream_settings settings_;
    engine_stream_handlers handlers_;
    asio::steady_timer retry_timer_;
    transfer_id transfer_id_ = 0;
    sse_parser sse_parser_;
    token_event event_;
    token_event_parser event_parser_;
    std::map<std::uint64_t, std::string>
        buffered_tokens_; ///< Arrived out of order.
    std::optional<std::uint64_t>
        finish_index_; ///< Of the event with the finish reason.
    std::string finish_reason_;
    token_usage usage_;
    int status_ = 0;
    bool not_run_ = false;
    bool known_to_engine_ = false; ///< The engine may already know the attempt.
    bool accepted_ = false; ///< The engine answered a request with status 200.
    bool ended_ = false;
    bool paused_ = false;
    std::string error_body_;
    std::uint64_t next_token_index_ = 0;
    std::uint64_t mismatched_events_ = 0;
    unsigned consecutive_resumes_ = 0;
    // Tokens of the events that are being parsed, delivered in one call.
    std::uint64_t batch_first_ = 0;
    std::uint32_t batch_count_ = 0;
    std::string batch_text_;
};

} // namespace medlarstall::backend

#endif
