#ifndef MEDLARSTALL_BACKEND_ENGINE_STREAM_HPP
#define MEDLARSTALL_BACKEND_ENGINE_STREAM_HPP

#include <medlarstall/backend/event_stream.hpp>
#include <medlarstall/backend/http_client.hpp>
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

/// Address of a backend server.
struct backend_endpoint
{
    std::string id;
    std::string address; ///< IP number.
    std::uint16_t port = 0;
};

/// When a stream counts as silent, and how often it is taken up again.
struct engine_stream_settings
{
    std::chrono::milliseconds first_token_timeout{10'000};
    std::chrono::milliseconds between_tokens_timeout{2'000};
    unsigned max_resumes = 8; ///< Without a token in between.
    std::chrono::milliseconds resume_delay{50};
};

/// Why an engine's stream gave no whole answer.
struct engine_failure
{
    std::string code; ///< Stable, for errors and log lines.
    std::string message;
    bool not_run = false; ///< The engine promised that nothing ran.
    bool crashed = false; ///< The engine is gone, or lost the stream.
};

/// Receives an engine's stream. None is called after finished, failed,
/// cancel() or suspend().
struct engine_stream_handlers
{
    /// Adjacent tokens: index of the first, their number, their text.
    std::function<void(std::uint64_t, std::uint32_t, std::string_view)>
        on_tokens;
    std::function<void(std::string const& reason, token_usage const&)>
        on_finished;
    std::function<void(engine_failure const&)> on_failed;
};

/// One attempt at an engine: takes only its own tokens in their order, and
/// takes the stream up again on a new connection when tokens are missing, the
/// connection broke or went silent.
class engine_stream : public std::enable_shared_from_this<engine_stream>
{
public:
    /// \param io context that runs the stream
    /// \param client sends the requests; outlives the stream
    /// \param endpoint the engine
    /// \param attempt identifier that the engine echoes
    /// \param settings timeouts
    engine_stream(asio::io_context& io, http_client& client,
                  backend_endpoint endpoint, std::string attempt,
                  engine_stream_settings settings);
    ~engine_stream();
    engine_stream(engine_stream const&) = delete;
    engine_stream& operator=(engine_stream const&) = delete;

    /// Starts the attempt.
    /// \param body JSON body, with "stream" and "priority" set
    /// \param handlers receivers
    void start(std::string body, engine_stream_handlers handlers);

    /// Takes up an attempt that already runs at the engine.
    /// \param from index of the first token wanted
    /// \param handlers receivers
    void resume(std::uint64_t from, engine_stream_handlers handlers);

    /// Goes on with a suspended attempt.
    /// \param from index of the first token wanted
    /// \param priority tier
    /// \param handlers receivers
    void go_on(std::uint64_t from, unsigned priority,
               engine_stream_handlers handlers);

    /// Stops or goes on reading; the engine is slowed down by TCP.
    /// \param reading false to stop
    void set_reading(bool reading);

    /// Ends the attempt and frees its slot at the engine.
    void cancel();

    /// Frees the slot but keeps the tokens at the engine.
    /// \param on_done called with false if the engine did not keep them
    void suspend(std::function<void(bool)> on_done);

    /// \return tokens handed on so far, counted from the first one wanted
    [[nodiscard]] std::uint64_t next_token() const { return next_; }

    /// \return events refused because they belong to another attempt
    [[nodiscard]] std::uint64_t foreign_events() const { return foreign_; }

    /// \return the engine
    [[nodiscard]] backend_endpoint const& endpoint() const { return endpoint_; }

private:
    enum class event_verdict
    {
        go_on,
        gap,
        whole
    };

    void send(outgoing_request request);
    outgoing_request stream_request(std::string method,
                                    std::string const& suffix) const;
    void take_head(response_head const& head);
    void take_data(std::string_view data);
    bool take_event(std::string_view text);
    event_verdict judge_event();
    event_verdict keep_early();
    void take_token(std::string const& content);
    void take_early();
    void hand_on();
    void transfer_ended(transfer_failure const* failure);
    void refused();
    void take_up_again(std::string code, std::string message, bool gone);
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
    transfer_id transfer_ = 0;
    event_stream events_;
    token_event event_;
    token_event_reader reader_;
    std::map<std::uint64_t, std::string> early_; ///< Came before their turn.
    std::optional<std::uint64_t> early_finish_;  ///< Index of its mark.
    std::string finish_reason_;
    token_usage usage_;
    int status_ = 0;
    bool not_run_ = false;
    bool resuming_ = false; ///< The engine has seen the attempt before.
    bool started_ = false;  ///< The engine accepted the attempt.
    bool ended_ = false;
    bool paused_ = false;
    std::string error_body_;
    std::uint64_t next_ = 0;
    std::uint64_t foreign_ = 0;
    unsigned resumes_ = 0;
    // Tokens of the events that are being read, handed on together.
    std::uint64_t batch_first_ = 0;
    std::uint32_t batch_count_ = 0;
    std::string batch_text_;
};

} // namespace medlarstall::backend

#endif
