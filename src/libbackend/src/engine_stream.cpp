#include <medlarstall/backend/engine_stream.hpp>

#include <asio/io_context.hpp>

namespace medlarstall::backend {

namespace {

constexpr std::size_t max_error_body_bytes = 4096;
constexpr std::chrono::milliseconds control_timeout{2'000};

/// Tokens that may come before their turn until the missing one is asked for.
constexpr std::size_t max_early_tokens = 4;

constexpr int ok = 200;
constexpr int not_found = 404;

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
    request.silence_timeout = settings_.first_token_timeout;
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
    request.silence_timeout = settings_.first_token_timeout;
    send(std::move(request));
}

void engine_stream::resume(std::uint64_t from, engine_stream_handlers handlers)
{
    handlers_ = std::move(handlers);
    next_ = from;
    resuming_ = true;
    send(stream_request("GET", "?from=" + std::to_string(next_)));
}

void engine_stream::go_on(std::uint64_t from, unsigned priority,
                          engine_stream_handlers handlers)
{
    handlers_ = std::move(handlers);
    next_ = from;
    resuming_ = true;
    send(stream_request("POST", "/continue?from=" + std::to_string(next_) +
                                    "&priority=" + std::to_string(priority)));
}

void engine_stream::send(outgoing_request request)
{
    events_ = {};
    early_.clear();
    early_finish_.reset();
    status_ = 0;
    not_run_ = false;
    error_body_.clear();
    // The transfer is cancelled when this object goes, so no handler outlives
    // it; a shared pointer is held while a handler runs.
    transfer_handlers handlers;
    handlers.on_head = [this](response_head const& head) {
        take_head(head);
    };
    handlers.on_data = [this](std::string_view data) {
        auto const self = shared_from_this();
        take_data(data);
    };
    handlers.on_done = [this](transfer_failure const* failure) {
        auto const self = shared_from_this();
        transfer_ = 0;
        transfer_ended(failure);
    };
    transfer_ = client_.start(std::move(request), std::move(handlers));
}

void engine_stream::take_head(response_head const& head)
{
    status_ = head.status;
    not_run_ = !find_field(head.fields, "X-Not-Run").empty();
    started_ = started_ || status_ == ok;
}

void engine_stream::take_data(std::string_view data)
{
    if (status_ != ok) {
        error_body_.append(data.substr(
            0, max_error_body_bytes -
                   std::min(error_body_.size(), max_error_body_bytes)));
        return;
    }
    bool const going_on = events_.feed(
        data, [this](std::string_view text) { return take_event(text); });
    hand_on();
    if (!going_on && !ended_) {
        stop_transfer();
        take_up_again("bad_stream", "tokens are missing or malformed", false);
    }
}

bool engine_stream::take_event(std::string_view text)
{
    if (ended_) {
        return false;
    }
    if (text == "[DONE]") {
        return true;
    }
    if (failed(reader_.read(text, event_))) {
        return false;
    }
    switch (judge_event()) {
    case event_verdict::gap:
        return false;
    case event_verdict::whole:
        hand_on();
        ended_ = true;
        client_.discard(std::exchange(transfer_, 0));
        handlers_.on_finished(finish_reason_, usage_);
        return false;
    case event_verdict::go_on:
        break;
    }
    return true;
}

engine_stream::event_verdict engine_stream::judge_event()
{
    if (event_.attempt != attempt_) {
        ++foreign_;
        return event_verdict::go_on;
    }
    if (!event_.finish_reason.empty()) {
        early_finish_ = event_.token_index;
        finish_reason_ = event_.finish_reason;
        usage_ = event_.usage;
    } else if (event_.token_index > next_) {
        return keep_early();
    } else if (event_.token_index == next_) {
        take_token(event_.content);
        take_early();
    }
    return early_finish_ == next_ ? event_verdict::whole : event_verdict::go_on;
}

engine_stream::event_verdict engine_stream::keep_early()
{
    early_.insert_or_assign(event_.token_index, event_.content);
    return early_.size() > max_early_tokens ? event_verdict::gap
                                            : event_verdict::go_on;
}

void engine_stream::take_early()
{
    while (!early_.empty() && early_.begin()->first <= next_) {
        auto const node = early_.extract(early_.begin());
        if (node.key() == next_) {
            take_token(node.mapped());
        }
    }
}

void engine_stream::take_token(std::string const& content)
{
    if (batch_count_ == 0) {
        batch_first_ = next_;
    }
    ++next_;
    ++batch_count_;
    batch_text_ += content;
}

void engine_stream::hand_on()
{
    if (batch_count_ == 0) {
        return;
    }
    if (batch_first_ == 0 || resumes_ > 0) {
        client_.set_silence_timeout(transfer_,
                                    settings_.between_tokens_timeout);
    }
    resumes_ = 0;
    auto const count = std::exchange(batch_count_, 0);
    handlers_.on_tokens(batch_first_, count, batch_text_);
    batch_text_.clear();
}

void engine_stream::transfer_ended(transfer_failure const* failure)
{
    if (ended_) {
        return;
    }
    if (failure == nullptr && status_ != ok) {
        refused();
        return;
    }
    if (failure == nullptr) {
        take_up_again("cut_stream", "the finish mark is missing", false);
        return;
    }
    bool const nothing_sent = failure->stage == transfer_stage::nothing_sent;
    if (nothing_sent && !resuming_) {
        fail({.code = "unreachable",
              .message = failure->message,
              .not_run = true,
              .crashed = false});
        return;
    }
    take_up_again(failure->timed_out ? "silent" : "connection_lost",
                  failure->message, nothing_sent);
}

void engine_stream::refused()
{
    auto const message =
        "status " + std::to_string(status_) + ": " + error_body_;
    if (resuming_ && status_ == not_found) {
        // A stream that never started was not run here.
        fail({.code = "stream_unknown",
              .message = message,
              .not_run = !started_ && next_ == 0,
              .crashed = started_ || next_ > 0});
        return;
    }
    if (not_run_) {
        fail({.code = "engine_busy",
              .message = message,
              .not_run = true,
              .crashed = false});
        return;
    }
    constexpr int client_errors = 400;
    constexpr int server_errors = 500;
    bool const bad_request =
        status_ >= client_errors && status_ < server_errors;
    fail({.code = bad_request ? "engine_refused" : "engine_error",
          .message = message,
          .not_run = bad_request,
          .crashed = false});
}

void engine_stream::take_up_again(std::string code, std::string message,
                                  bool gone)
{
    ++resumes_;
    if (resumes_ > settings_.max_resumes || (gone && resumes_ > 2)) {
        fail({.code = std::move(code),
              .message = std::move(message),
              .not_run = false,
              .crashed = gone});
        return;
    }
    resuming_ = true;
    retry_timer_.expires_after(settings_.resume_delay * resumes_);
    retry_timer_.async_wait([weak = weak_from_this()](auto const& failure) {
        auto const self = weak.lock();
        if (failure || !self || self->ended_) {
            return;
        }
        self->send(self->stream_request(
            "GET", "?from=" + std::to_string(self->next_)));
        if (self->paused_) {
            self->client_.pause(self->transfer_);
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
        client_.pause(transfer_);
    } else {
        client_.resume(transfer_);
    }
}

void engine_stream::stop_transfer()
{
    retry_timer_.cancel();
    client_.cancel(std::exchange(transfer_, 0));
}

void engine_stream::cancel()
{
    if (ended_) {
        return;
    }
    ended_ = true;
    stop_transfer();
    auto request = stream_request("DELETE", "");
    request.silence_timeout = control_timeout;
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
    request.silence_timeout = control_timeout;
    client_.fetch(std::move(request), max_error_body_bytes,
                  [on_done = std::move(on_done)](fetch_result outcome) {
                      auto const* response =
                          std::get_if<fetched_response>(&outcome);
                      on_done(response != nullptr && response->status == ok);
                  });
}

} // namespace medlarstall::backend
