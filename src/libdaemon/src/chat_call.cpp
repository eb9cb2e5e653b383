#include "chat_call.hpp"

#include "daemon_context.hpp"

#include <medlarstall/entry/exchange.hpp>
#include <medlarstall/support/log.hpp>

#include <algorithm>

namespace medlarstall::daemon {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Time after the deadline that the owner has to report that it has passed.
constexpr milliseconds deadline_margin{3'000};

microseconds duration_between(time_point start, time_point end)
{
    return std::chrono::duration_cast<microseconds>(end - start);
}

std::int64_t unix_seconds()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

} // namespace

chat_call::chat_call(daemon_context& shared,
                     std::shared_ptr<entry::exchange> exchange,
                     chat_request chat, scheduling::request request,
                     std::uint64_t fingerprint)
    : node_{shared}, exchange_{std::move(exchange)},
      chat_request_{std::move(chat)},
      routing_{shared, std::move(request), chat_request_.prefixes,
               chat_request_.prompt_bytes, fingerprint},
      id_{to_string(shared.new_uuid())},
      response_writer_{"chatcmpl-" + id_, chat_request_.model, unix_seconds()},
      retry_timer_{shared.io}, hedge_timer_{shared.io},
      deadline_timer_{shared.io}
{}

chat_call::~chat_call() = default;

void chat_call::start()
{
    // This handler keeps the call alive until the exchange ends.
    exchange_->on_caller_disconnected(
        [self = shared_from_this()] { self->on_caller_left(); });
    exchange_->on_sent([weak = weak_from_this()] {
        if (auto const self = weak.lock()) {
            self->update_reading();
        }
    });
    node_.open_calls.add(this, [weak = weak_from_this()] {
        if (auto const self = weak.lock()) {
            self->abort();
        }
    });
    start_deadline_timer();
    send_attempt();
}

void chat_call::start_deadline_timer()
{
    deadline_timer_.expires_at(routing_.request().deadline + deadline_margin);
    deadline_timer_.async_wait([weak = weak_from_this()](auto const& failure) {
        auto const self = weak.lock();
        if (failure || !self || self->ended_ || self->answer_tokens_ > 0) {
            return;
        }
        bool const ran =
            std::ranges::any_of(self->attempts_, [](auto const& attempt) {
                return attempt->dispatched.has_value();
            });
        self->answer_with_error(
            {.status = 504,
             .code = "deadline",
             .message = "no token came before the deadline",
             .run = ran ? run_state::ran : run_state::unknown,
             .retry_after = milliseconds{1'000}});
    });
}

void chat_call::send_attempt()
{
    if (auto problem = routing_.check_quarantine()) {
        answer_with_error(*std::move(problem));
        return;
    }
    // A backend server accepts each attempt identifier only once, so every
    // attempt gets a new one.
    auto id = to_string(node_.new_uuid());
    auto target = routing_.choose_target(id);
    if (!target) {
        apply_step(routing_.after_no_target());
        return;
    }
    send_attempt_to(*std::move(target), std::move(id));
}

void chat_call::send_attempt_to(call_target target, std::string id)
{
    auto const new_attempt = std::make_shared<call_attempt>();
    new_attempt->id = std::move(id);
    new_attempt->target = std::move(target);
    new_attempt->sent_at = monotonic_clock::now();
    attempts_.push_back(new_attempt);
    work_order order{.attempt_id = new_attempt->id,
                     .request = routing_.request(),
                     .target = "/v1/chat/completions",
                     .body = exchange_->request().body(),
                     .fingerprint = routing_.fingerprint()};
    order_handlers handlers;
    // The attempt owns the link. The handlers of the link hold only a weak
    // pointer to the attempt, to avoid a reference cycle.
    auto const weak = weak_from_this();
    auto const weak_attempt = std::weak_ptr{new_attempt};
    handlers.on_event = [weak, weak_attempt](work_event event) {
        auto const self = weak.lock();
        auto const attempt = weak_attempt.lock();
        if (self && attempt && !self->ended_) {
            self->handle_event(attempt, std::move(event));
        }
    };
    handlers.on_link_lost = [weak, weak_attempt] {
        auto const self = weak.lock();
        auto const attempt = weak_attempt.lock();
        if (self && attempt && !self->ended_) {
            self->on_link_lost(attempt);
        }
    };
    handlers.pending_bytes = [exchange = exchange_] {
        return exchange->pending_bytes();
    };
    new_attempt->link = std::make_unique<order_link>(
        node_, new_attempt->target.owner, order, std::move(handlers));
    start_hedge_timer(new_attempt);
}

void chat_call::start_hedge_timer(attempt_pointer const& attempt)
{
    auto const delay = node_.hedge_policy.hedge_delay(routing_.request());
    if (!delay || attempts_.size() > 1 || answer_tokens_ > 0) {
        return;
    }
    hedge_timer_.expires_after(*delay);
    hedge_timer_.async_wait(
        [weak = weak_from_this(), attempt](auto const& failure) {
            auto const self = weak.lock();
            if (!failure && self && !self->ended_) {
                self->send_hedge(attempt);
            }
        });
}

void chat_call::send_hedge(attempt_pointer const& attempt)
{
    if (answer_tokens_ > 0 || attempts_.size() != 1 ||
        attempts_.front() != attempt) {
        return;
    }
    auto id = to_string(node_.new_uuid());
    auto target = routing_.choose_hedge_target(
        id, attempt->target.backend_server,
        duration_between(attempt->sent_at, monotonic_clock::now()));
    if (target) {
        send_attempt_to(*std::move(target), std::move(id));
    }
}

void chat_call::handle_event(attempt_pointer const& attempt, work_event event)
{
    auto const self = shared_from_this();
    std::visit([&](auto const& typed_event) { on_event(attempt, typed_event); },
               event);
}

void chat_call::on_event(attempt_pointer const& attempt,
                         work_dispatched const& event)
{
    attempt->dispatched = event;
    node_.daemon_metrics.record_queue_wait(routing_.request().service_class,
                                           event.queue_wait);
}

void chat_call::on_event(attempt_pointer const& attempt,
                         work_tokens const& event)
{
    if (std::ranges::find(attempts_, attempt) == attempts_.end()) {
        return;
    }
    cancel_other_attempts(attempt);
    if (event.first_index != attempt->token_count) {
        // Tokens are missing or repeated. Resume the stream at the backend
        // server from the first token that is missing.
        resume_directly(attempt);
        return;
    }
    attempt->token_count += event.token_count;
    if (attempt->token_count == event.token_count) {
        record_first_token(*attempt);
    }
    last_token_at_ = monotonic_clock::now();
    answer_tokens_ = std::max(answer_tokens_, attempt->token_count);
    node_.daemon_metrics.record_tokens(routing_.request().service_class,
                                       event.token_count);
    if (verifying_rerun_) {
        match_delivered_text(*attempt, event.text);
    } else {
        deliver_text(*attempt, event.text);
    }
}

void chat_call::match_delivered_text(call_attempt& attempt,
                                     std::string_view text)
{
    attempt.rerun_text += text;
    auto const common =
        std::min(attempt.rerun_text.size(), answer_text_.size());
    if (attempt.rerun_text.compare(0, common, answer_text_, 0, common) != 0) {
        answer_with_error(
            {.status = 502,
             .code = "answer_interrupted",
             .message = "the backend server was lost and another run gave "
                        "a different answer",
             .run = run_state::ran,
             .retry_after = milliseconds{1'000}});
        return;
    }
    if (attempt.rerun_text.size() >= answer_text_.size()) {
        // The repeated run has produced all text that was delivered before, so
        // the rest of its text continues the answer.
        auto const rest = attempt.rerun_text.substr(answer_text_.size());
        verifying_rerun_ = false;
        attempt.rerun_text.clear();
        deliver_text(attempt, rest);
    }
}

void chat_call::record_first_token(call_attempt const& attempt)
{
    auto const now = monotonic_clock::now();
    auto const& request = routing_.request();
    auto const since_sent = duration_between(attempt.sent_at, now);
    node_.hedge_policy.record_first_token(request.group, request.tier,
                                          since_sent);
    if (attempt.dispatched) {
        node_.health.record_first_token(
            attempt.target.backend_server,
            std::max(since_sent - attempt.dispatched->queue_wait,
                     microseconds{0}),
            request.prompt_tokens, now);
    }
    if (first_token_at_ != time_point{}) {
        return;
    }
    first_token_at_ = now;
    node_.daemon_metrics.record_first_token(
        request.service_class, duration_between(request.arrived, now),
        request.targets.first_token);
}

void chat_call::deliver_text(call_attempt const& attempt, std::string_view text)
{
    answer_text_ += text;
    if (!chat_request_.stream || text.empty()) {
        return;
    }
    start_response(attempt);
    exchange_->write(response_writer_.chunk(text));
    update_reading();
}

void chat_call::start_response(call_attempt const& attempt)
{
    if (exchange_->response_started()) {
        return;
    }
    exchange_->start_stream(
        200, {{"Content-Type", "text/event-stream"},
              {"Cache-Control", "no-cache"},
              {"Medlarstall-Daemon", node_.settings.id},
              {"Medlarstall-Backend-Server",
               attempt.dispatched ? attempt.dispatched->backend_server
                                  : attempt.target.backend_server},
              {"Medlarstall-Attempt", attempt.id}});
}

void chat_call::update_reading()
{
    auto const pending = exchange_->pending_bytes();
    auto const limit = node_.settings.stream_buffer_bytes;
    bool const should_read = reading_ ? pending <= limit : pending <= limit / 2;
    if (should_read == reading_) {
        return;
    }
    reading_ = should_read;
    for (auto const& attempt : attempts_) {
        if (attempt->link) {
            attempt->link->set_reading(reading_);
        }
    }
    if (direct_stream_) {
        direct_stream_->set_reading(reading_);
    }
}

void chat_call::on_event(attempt_pointer const& attempt,
                         work_finished const& event)
{
    if (verifying_rerun_ && attempt->rerun_text.size() < answer_text_.size()) {
        answer_with_error({.status = 502,
                           .code = "answer_interrupted",
                           .message = "a repeated run gave a shorter answer",
                           .run = run_state::ran,
                           .retry_after = milliseconds{1'000}});
        return;
    }
    node_.health.record_success(attempt->target.backend_server);
    if (auto const cleared = node_.quarantine.record_success(
            routing_.fingerprint(), monotonic_clock::now())) {
        node_.broadcast_quarantine_record(*cleared);
    }
    if (attempt->token_count > 1) {
        auto const gap = duration_between(first_token_at_, last_token_at_) /
                         static_cast<std::int64_t>(attempt->token_count - 1);
        node_.daemon_metrics.record_token_interval(
            routing_.request().service_class, gap,
            routing_.request().targets.between_tokens);
        node_.health.record_token_gap(attempt->target.backend_server, gap,
                                      monotonic_clock::now());
    }
    node_.router.on_finish(
        attempt->target.backend_server,
        duration_between(attempt->sent_at, monotonic_clock::now()));
    if (chat_request_.stream) {
        start_response(*attempt);
        exchange_->write(response_writer_.last_chunk(event));
        exchange_->finish();
    } else {
        exchange_->respond(
            {.status = 200,
             .fields = {{"Content-Type", "application/json"},
                        {"Medlarstall-Daemon", node_.settings.id},
                        {"Medlarstall-Backend-Server",
                         attempt->target.backend_server},
                        {"Medlarstall-Attempt", attempt->id}},
             .body = response_writer_.full_response(answer_text_, event)});
    }
    finish("finished");
}

void chat_call::on_event(attempt_pointer const& attempt,
                         work_refused const& event)
{
    if (!remove_attempt(attempt)) {
        return;
    }
    apply_step(routing_.after_refusal(attempt->target, event));
}

void chat_call::on_event(attempt_pointer const& attempt,
                         work_failed const& event)
{
    on_attempt_failed(attempt, event.code, event.message, run_state::ran);
}

void chat_call::on_event(attempt_pointer const&, work_response_head const&) {}

void chat_call::on_event(attempt_pointer const&, work_response_data const&) {}

void chat_call::on_attempt_failed(attempt_pointer const& attempt,
                                  std::string const& code,
                                  std::string const& message, run_state ran)
{
    if (!remove_attempt(attempt)) {
        return;
    }
    verifying_rerun_ = !answer_text_.empty();
    auto step = routing_.after_failure(attempt->target, code, message, ran);
    apply_step(std::move(step));
}

void chat_call::on_link_lost(attempt_pointer const& attempt)
{
    node_.router.mark_owner_lost(attempt->target.owner);
    if (attempt->dispatched) {
        resume_directly(attempt);
        return;
    }
    on_attempt_failed(attempt, "owner_lost",
                      "the connection to the owner was lost",
                      run_state::unknown);
}

void chat_call::resume_directly(attempt_pointer const& attempt)
{
    ++node_.daemon_metrics.resumes;
    attempt->link.reset();
    log_line{severity::warning, "resume"}
        .with("attempt", attempt->id)
        .with("backend_server", attempt->dispatched->backend_server)
        .with("from_token", attempt->token_count)
        .with("reason", "owner_lost");
    direct_stream_ = std::make_shared<backend::engine_stream>(
        node_.io, node_.http_client,
        backend::backend_endpoint{attempt->dispatched->backend_server,
                                  attempt->dispatched->address,
                                  attempt->dispatched->port},
        attempt->id, backend::engine_stream_settings{});
    auto const weak = weak_from_this();
    backend::engine_stream_handlers handlers;
    auto relay = [weak, attempt](work_event event) {
        if (auto const self = weak.lock(); self && !self->ended_) {
            self->handle_event(attempt, std::move(event));
        }
    };
    handlers.on_tokens = [relay](std::uint64_t first, std::uint32_t count,
                                 std::string_view text) {
        relay(work_tokens{first, count, std::string{text}});
    };
    handlers.on_finished = [relay](std::string const& reason,
                                   backend::token_usage const& usage) {
        relay(work_finished{reason, usage.prompt_tokens,
                            usage.completion_tokens, usage.cached_tokens});
    };
    handlers.on_failed = [weak,
                          attempt](backend::engine_failure const& failure) {
        if (auto const self = weak.lock(); self && !self->ended_) {
            self->on_direct_stream_failed(attempt, failure);
        }
    };
    direct_stream_->resume(attempt->token_count, std::move(handlers));
}

void chat_call::on_direct_stream_failed(attempt_pointer const& attempt,
                                        backend::engine_failure const& failure)
{
    auto const self = shared_from_this();
    direct_stream_.reset();
    on_attempt_failed(attempt, failure.code, failure.message,
                      failure.not_run ? run_state::not_run : run_state::ran);
}

void chat_call::apply_step(next_step step)
{
    if (!attempts_.empty()) {
        return; // Another attempt (a hedge or the first) still runs.
    }
    if (auto* problem = std::get_if<api_error>(&step)) {
        answer_with_error(std::move(*problem));
        return;
    }
    retry_timer_.expires_after(std::get<retry_step>(step).delay);
    retry_timer_.async_wait([weak = weak_from_this()](auto const& failure) {
        auto const self = weak.lock();
        if (!failure && self && !self->ended_) {
            self->send_attempt();
        }
    });
}

void chat_call::cancel_other_attempts(attempt_pointer const& winner)
{
    hedge_timer_.cancel();
    if (attempts_.size() > 1) {
        attempts_ = {winner};
    }
}

bool chat_call::remove_attempt(attempt_pointer const& attempt)
{
    return std::erase(attempts_, attempt) > 0;
}

void chat_call::answer_with_error(api_error problem)
{
    log_line{severity::info, "give_up"}
        .with("request", id_)
        .with("organisation", routing_.request().organisation)
        .with("class", routing_.request().service_class)
        .with("code", problem.code)
        .with("run", to_string(problem.run));
    if (answer_tokens_ > 0) {
        problem.run = run_state::ran;
    }
    auto const code = problem.code;
    if (exchange_->response_started()) {
        exchange_->write(response_writer_.error_chunk(problem));
        exchange_->finish();
    } else {
        exchange_->respond(to_response(problem));
    }
    finish(code);
}

void chat_call::finish(std::string const& outcome)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    node_.open_calls.remove(this);
    node_.daemon_metrics.record_finished(routing_.request().service_class,
                                         outcome);
    retry_timer_.cancel();
    hedge_timer_.cancel();
    deadline_timer_.cancel();
    attempts_.clear();
    if (direct_stream_) {
        direct_stream_->cancel();
    }
    exchange_->on_sent(nullptr);
}

void chat_call::abort()
{
    ended_ = true;
    retry_timer_.cancel();
    hedge_timer_.cancel();
    deadline_timer_.cancel();
    attempts_.clear();
    direct_stream_.reset();
    exchange_->abort();
}

void chat_call::on_caller_left()
{
    log_line{severity::info, "caller_left"}.with("request", id_);
    finish("caller_left");
}

} // namespace medlarstall::daemon
