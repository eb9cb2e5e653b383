#include <medlarstall/backend/engine_stream.hpp>

#include <asio/io_context.hpp>

namespace medlarstall::backend {

namespace {

/// Limit on the part of an error response that goes into the error message.
constexpr std::size_t max_error_body_bytes = 4096;
/// Receive timeout of requests that cancel or suspend an attempt.
constexpr std::chrono::milliseconds control_request_timeout{2'000};

/// Tokens that may arrive out of order before the stream is resumed to request
/// the missing one.
constexpr std::size_t max_buffered_tokens = 4;

constexpr int http_ok = 200;
constexpr int http_not_found = 404;

} // namespace

engine_stream::engine_stream(asio::io_context& io, http_client& client,
                             backend_endpoint endpoint, std::string attempt,
                             engine_stream_settings settings)
    : io_{io}, client_{client}, endpoint_{std::move(endpoint)},
      attempt_{std::move(attempt)}, settings_{settings}, retry_timer_{io}
{}

engine_stream::~engine_stream()
{
    stop_transfer();
}

std::string engine_stream::url(std::string const& path) const
{
    return "http://" + endpoint_.address + ":" +
           std::to_string(endpoint_.port) + path;
}

outgoing_request engine_stream::stream_request(std::string method,
                                               std::string const& suffix) const
{
    outgoing_request request;
    request.method = std::move(method);
    request.url = url("/streams/" + attempt_ + suffix);
    request.receive_timeout = settings_.first_token_timeout;
    return request;
}

void engine_stream::start(std::string body, engine_stream_handlers handlers)
{
    handlers_ = std::move(handlers);
    outgoing_request request;
    request.method = "POST";
    request.url = url("/v1/chat/completions");
    request.fields = {{"Content-Type", "application/json"},
                      {"X-Attempt-Id", attempt_}};
    request.body = std::move(body);
    request.receive_timeout = settings_.first_token_timeout;
    send(std::move(request));
}

void engine_stream::resume(std::uint64_t from, engine_stream_handlers handlers)
{
    handlers_ = std::move(handlers);
    next_token_index_ = from;
    known_to_engine_ = true;
    send(stream_request("GET", "?from=" + std::to_string(next_token_index_)));
}

void engine_stream::continue_suspended(std::uint64_t from, unsigned priority,
                                       engine_stream_handlers handlers)
{
    handlers_ = std::move(handlers);
    next_token_index_ = from;
    known_to_engine_ = true;
    send(stream_request("POST",
                        "/continue?from=" + std::to_string(next_token_index_) +
                            "&priority=" + std::to_string(priority)));
}

void engine_stream::send(outgoing_request request)
{
    sse_parser_ = {};
    buffered_tokens_.clear();
    finish_index_.reset();
    status_ = 0;
    not_run_ = false;
    error_body_.clear();
    // The transfer is cancelled when this object is destroyed, so no handler
    // outlives it. While a handler runs it holds a shared pointer, because the
    // code that it calls may release the object.
    transfer_handlers handlers;
    handlers.on_head = [this](response_head const& head) {
        handle_head(head);
    };
    handlers.on_data = [this](std::string_view data) {
        auto const self = shared_from_this();
        handle_data(data);
    };
    handlers.on_done = [this](transfer_failure const* failure) {
        auto const self = shared_from_this();
        transfer_id_ = 0;
        handle_transfer_end(failure);
    };
    transfer_id_ = client_.start(std::move(request), std::move(handlers));
}

void engine_stream::handle_head(response_head const& head)
{
    status_ = head.status;
    not_run_ = !find_field(head.fields, "X-Not-Run").empty();
    accepted_ = accepted_ || status_ == http_ok;
}

void engine_stream::handle_data(std::string_view data)
{
    if (status_ != http_ok) {
        error_body_.append(data.substr(
            0, max_error_body_bytes -
                   std::min(error_body_.size(), max_error_body_bytes)));
        return;
    }
    bool const parsing = sse_parser_.feed(
        data, [this](std::string_view text) { return handle_event(text); });
    deliver_batch();
    if (!parsing && !ended_) {
        stop_transfer();
        schedule_resume("bad_stream", "tokens are missing or malformed", false);
    }
}

bool engine_stream::handle_event(std::string_view text)
{
    if (ended_) {
        return false;
    }
    if (text == "[DONE]") {
        return true;
    }
    if (failed(event_parser_.parse(text, event_))) {
        return false;
    }
    switch (process_event()) {
    case event_result::gap:
        return false;
    case event_result::complete:
        deliver_batch();
        ended_ = true;
        client_.discard(std::exchange(transfer_id_, 0));
        handlers_.on_finished(finish_reason_, usage_);
        return false;
    case event_result::proceed:
        break;
    }
    return true;
}

engine_stream::event_result engine_stream::process_event()
{
    if (event_.attempt != attempt_) {
        ++mismatched_events_;
        return event_result::proceed;
    }
    if (!event_.finish_reason.empty()) {
        finish_index_ = event_.token_index;
        finish_reason_ = event_.finish_reason;
        usage_ = event_.usage;
    } else if (event_.token_index > next_token_index_) {
        return buffer_token();
    } else if (event_.token_index == next_token_index_) {
        append_token(event_.content);
        append_buffered_tokens();
    }
    return finish_index_ == next_token_index_ ? event_result::complete
                                              : event_result::proceed;
}

engine_stream::event_result engine_stream::buffer_token()
{
    buffered_tokens_.insert_or_assign(event_.token_index, event_.content);
    return buffered_tokens_.size() > max_buffered_tokens
               ? event_result::gap
               : event_result::proceed;
}

void engine_stream::append_buffered_tokens()
{
    while (!buffered_tokens_.empty() &&
           buffered_tokens_.begin()->first <= next_token_index_) {
        auto const node = buffered_tokens_.extract(buffered_tokens_.begin());
        if (node.key() == next_token_index_) {
            append_token(node.mapped());
        }
    }
}

void engine_stream::append_token(std::string const& content)
{
    if (batch_count_ == 0) {
        batch_first_ = next_token_index_;
    }
    ++next_token_index_;
    ++batch_count_;
    batch_text_ += content;
}

void engine_stream::deliver_batch()
{
    if (batch_count_ == 0) {
        return;
    }
    if (batch_first_ == 0 || consecutive_resumes_ > 0) {
        client_.set_receive_timeout(transfer_id_,
                                    settings_.between_tokens_timeout);
    }
    consecutive_resumes_ = 0;
    auto const count = std::exchange(batch_count_, 0);
    handlers_.on_tokens(batch_first_, count, batch_text_);
    batch_text_.clear();
}

void engine_stream::handle_transfer_end(transfer_failure const* failure)
{
    if (ended_) {
        return;
    }
    if (failure == nullptr && status_ != http_ok) {
        handle_error_status();
        return;
    }
    if (failure == nullptr) {
        schedule_resume("cut_stream",
                        "the event with the finish reason is missing", false);
        return;
    }
    bool const nothing_sent = failure->stage == transfer_stage::nothing_sent;
    if (nothing_sent && !known_to_engine_) {
        fail({.code = "unreachable",
              .message = failure->message,
              .not_run = true,
              .crashed = false});
        return;
    }
    schedule_resume(failure->timed_out ? "silent" : "connection_lost",
                    failure->message, nothing_sent);
}

void engine_stream::handle_error_status()
{
    auto const message =
        "status " + std::to_string(status_) + ": " + error_body_;
    if (known_to_engine_ && status_ == http_not_found) {
        // An attempt that the engine never accepted did not run there.
        fail({.code = "stream_unknown",
              .message = message,
              .not_run = !accepted_ && next_token_index_ == 0,
              .crashed = accepted_ || next_token_index_ > 0});
        return;
    }
    if (not_run_) {
        fail({.code = "engine_busy",
              .message = message,
              .not_run = true,
              .crashed = false});
        return;
    }
    constexpr int first_client_error = 400;
    constexpr int first_server_error = 500;
    bool const client_error =
        status_ >= first_client_error && status_ < first_server_error;
    fail({.code = client_error ? "engine_refused" : "engine_error",
          .message = message,
          .not_run = client_error,
          .crashed = false});
}

void engine_stream::schedule_resume(std::string code, std::string message,
                                    bool unreachable)
{
    ++consecutive_resumes_;
    if (consecutive_resumes_ > settings_.max_resumes ||
        (unreachable && consecutive_resumes_ > 2)) {
        fail({.code = std::move(code),
              .message = std::move(message),
              .not_run = false,
              .crashed = unreachable});
        return;
    }
    known_to_engine_ = true;
    retry_timer_.expires_after(settings_.resume_delay * consecutive_resumes_);
    retry_timer_.async_wait([weak = weak_from_this()](auto const& failure) {
        auto const self = weak.lock();
        if (failure || !self || self->ended_) {
            return;
        }
        self->send(self->stream_request(
            "GET", "?from=" + std::to_string(self->next_token_index_)));
        if (self->paused_) {
            self->client_.pause(self->transfer_id_);
        }
    });
}

void engine_stream::fail(engine_failure const& failure)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    stop_transfer();
    handlers_.on_failed(failure);
}

void engine_stream::set_reading(bool reading)
{
    if (paused_ == !reading || ended_) {
        return;
    }
    paused_ = !reading;
    if (paused_) {
        client_.pause(transfer_id_);
    } else {
        client_.resume(transfer_id_);
    }
}

void engine_stream::stop_transfer()
{
    retry_timer_.cancel();
    client_.cancel(std::exchange(transfer_id_, 0));
}

void engine_stream::cancel()
{
    if (ended_) {
        return;
    }
    ended_ = true;
    stop_transfer();
    auto request = stream_request("DELETE", "");
    request.receive_timeout = control_request_timeout;
    client_.fetch(std::move(request), max_error_body_bytes, [](auto const&) {});
}

void engine_stream::suspend(std::function<void(bool)> on_done)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    stop_transfer();
    auto request = stream_request("DELETE", "?keep=1");
    request.receive_timeout = control_request_timeout;
    client_.fetch(
        std::move(request), max_error_body_bytes,
        [on_done = std::move(on_done)](fetch_result outcome) {
            auto const* response = std::get_if<fetched_response>(&outcome);
            on_done(response != nullptr && response->status == http_ok);
        });
}

} // namespace medlarstall::backend
