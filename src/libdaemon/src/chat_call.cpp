#include "chat_call.hpp"

#include "node.hpp"

#include <medlarstall/entry/exchange.hpp>
#include <medlarstall/support/log.hpp>

#include <algorithm>

namespace medlarstall::daemon {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// What the owner may take beyond the deadline to say so.
constexpr milliseconds deadline_margin{3'000};

microseconds span(time_point from, time_point to)
{
    return std::chrono::duration_cast<microseconds>(to - from);
}

std::int64_t unix_seconds()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

} // namespace

chat_call::chat_call(node& shared, std::shared_ptr<entry::exchange> caller,
                     chat_request asked, scheduling::request request,
                     std::uint64_t fingerprint)
    : node_{shared}, caller_{std::move(caller)}, asked_{std::move(asked)},
      routing_{shared, std::move(request), asked_.prefixes, asked_.prompt_bytes,
               fingerprint},
      id_{to_string(shared.new_uuid())},
      writer_{"chatcmpl-" + id_, asked_.model, unix_seconds()},
      retry_timer_{shared.io}, hedge_timer_{shared.io},
      deadline_timer_{shared.io}
{}

chat_call::~chat_call() = default;

void chat_call::start()
{
    // The handler keeps the call alive until the answer ends.
    caller_->on_caller_left(
        [self = shared_from_this()] { self->caller_left(); });
    caller_->on_sent([weak = weak_from_this()] {
        if (auto const self = weak.lock()) {
            self->check_caller();
        }
    });
    node_.calls.add(this, [weak = weak_from_this()] {
        if (auto const self = weak.lock()) {
            self->abandon();
        }
    });
    guard_deadline();
    send();
}

void chat_call::guard_deadline()
{
    deadline_timer_.expires_at(routing_.request().deadline + deadline_margin);
    deadline_timer_.async_wait([weak = weak_from_this()](auto const& failure) {
        auto const self = weak.lock();
        if (failure || !self || self->ended_ || self->tokens_ > 0) {
            return;
        }
        bool const ran =
            std::ranges::any_of(self->attempts_, [](auto const& one) {
                return one->dispatched.has_value();
            });
        self->give_up({.status = 504,
                       .code = "deadline",
                       .message = "no token came before the deadline",
                       .run = ran ? run_state::run : run_state::unknown,
                       .retry_after = milliseconds{1'000}});
    });
}

void chat_call::send()
{
    if (auto problem = routing_.quarantined()) {
        give_up(*std::move(problem));
        return;
    }
    // A backend server takes an attempt once, so each gets its own name.
    auto id = to_string(node_.new_uuid());
    auto target = routing_.choose(id);
    if (!target) {
        follow(routing_.after_no_choice());
        return;
    }
    send_to(*std::move(target), std::move(id));
}

void chat_call::send_to(call_target target, std::string id)
{
    auto const made = std::make_shared<attempt>();
    made->id = std::move(id);
    made->target = std::move(target);
    made->sent_at = decision_clock::now();
    attempts_.push_back(made);
    work_order order{.attempt = made->id,
                     .request = routing_.request(),
                     .target = "/v1/chat/completions",
                     .body = caller_->request().body,
                     .fingerprint = routing_.fingerprint()};
    order_handlers handlers;
    // The attempt owns the link, so the link's handlers must not own it.
    auto const weak = weak_from_this();
    auto const weak_attempt = std::weak_ptr{made};
    handlers.on_event = [weak, weak_attempt](work_event event) {
        auto const self = weak.lock();
        auto const from = weak_attempt.lock();
        if (self && from && !self->ended_) {
            self->handle(from, std::move(event));
        }
    };
    handlers.on_lost = [weak, weak_attempt] {
        auto const self = weak.lock();
        auto const from = weak_attempt.lock();
        if (self && from && !self->ended_) {
            self->link_lost(from);
        }
    };
    handlers.pending_bytes = [caller = caller_] {
        return caller->pending_bytes();
    };
    made->link = std::make_unique<order_link>(node_, made->target.owner, order,
                                              std::move(handlers));
    arm_hedge(made);
}

void chat_call::arm_hedge(attempt_pointer const& from)
{
    auto const delay = node_.hedges.delay(routing_.request());
    if (!delay || attempts_.size() > 1 || tokens_ > 0) {
        return;
    }
    hedge_timer_.expires_after(*delay);
    hedge_timer_.async_wait(
        [weak = weak_from_this(), from](auto const& failure) {
            auto const self = weak.lock();
            if (!failure && self && !self->ended_) {
                self->hedge(from);
            }
        });
}

void chat_call::hedge(attempt_pointer const& from)
{
    if (tokens_ > 0 || attempts_.size() != 1 || attempts_.front() != from) {
        return;
    }
    auto id = to_string(node_.new_uuid());
    auto target =
        routing_.choose_hedge(id, from->target.backend_server,
                              span(from->sent_at, decision_clock::now()));
    if (target) {
        send_to(*std::move(target), std::move(id));
    }
}

void chat_call::handle(attempt_pointer const& from, work_event event)
{
    auto const self = shared_from_this();
    std::visit([&](auto const& one) { on(from, one); }, event);
}

void chat_call::on(attempt_pointer const& from, work_dispatched const& event)
{
    from->dispatched = event;
    node_.figures.queue_wait(routing_.request().service_class, event.waited);
}

void chat_call::on(attempt_pointer const& from, work_tokens const& event)
{
    if (std::ranges::find(attempts_, from) == attempts_.end()) {
        return;
    }
    keep_only(from);
    if (event.first != from->tokens) {
        // Never guess at a hole: the stream is taken up where it was left.
        take_up_directly(from);
        return;
    }
    from->tokens += event.count;
    if (from->tokens == event.count) {
        note_first_token(*from);
    }
    last_token_at_ = decision_clock::now();
    tokens_ = std::max(tokens_, from->tokens);
    node_.figures.tokens(routing_.request().service_class, event.count);
    if (repeated_) {
        meet_former_text(*from, event.text);
    } else {
        deliver(*from, event.text);
    }
}

void chat_call::meet_former_text(attempt& from, std::string_view text)
{
    from.text += text;
    auto const common = std::min(from.text.size(), text_.size());
    if (from.text.compare(0, common, text_, 0, common) != 0) {
        give_up({.status = 502,
                 .code = "answer_interrupted",
                 .message = "the backend server was lost and another run gave "
                            "a different answer",
                 .run = run_state::run,
                 .retry_after = milliseconds{1'000}});
        return;
    }
    if (from.text.size() >= text_.size()) {
        // From here on the answer is that of this run, whole.
        auto const rest = from.text.substr(text_.size());
        repeated_ = false;
        from.text.clear();
        deliver(from, rest);
    }
}

void chat_call::note_first_token(attempt const& from)
{
    auto const now = decision_clock::now();
    auto const& request = routing_.request();
    auto const since_sent = span(from.sent_at, now);
    node_.hedges.record_first_token(request.group, request.tier, since_sent);
    if (from.dispatched) {
        node_.health.record_first_token(
            from.target.backend_server,
            std::max(since_sent - from.dispatched->waited, microseconds{0}),
            request.prompt_tokens, now);
    }
    if (first_token_at_ != time_point{}) {
        return;
    }
    first_token_at_ = now;
    node_.figures.first_token(request.service_class, span(request.arrived, now),
                              request.targets.first_token);
}

void chat_call::deliver(attempt const& from, std::string_view text)
{
    text_ += text;
    if (!asked_.stream || text.empty()) {
        return;
    }
    start_answer(from);
    caller_->write(writer_.chunk(text));
    check_caller();
}

void chat_call::start_answer(attempt const& from)
{
    if (caller_->started()) {
        return;
    }
    caller_->start_stream(200,
                          {{"Content-Type", "text/event-stream"},
                           {"Cache-Control", "no-cache"},
                           {"Medlarstall-Daemon", node_.settings.id},
                           {"Medlarstall-Backend-Server",
                            from.dispatched ? from.dispatched->backend_server
                                            : from.target.backend_server},
                           {"Medlarstall-Attempt", from.id}});
}

void chat_call::check_caller()
{
    auto const pending = caller_->pending_bytes();
    auto const limit = node_.settings.stream_buffer_bytes;
    bool const should_read = reading_ ? pending <= limit : pending <= limit / 2;
    if (should_read == reading_) {
        return;
    }
    reading_ = should_read;
    for (auto const& one : attempts_) {
        if (one->link) {
            one->link->set_reading(reading_);
        }
    }
    if (direct_) {
        direct_->set_reading(reading_);
    }
}

void chat_call::on(attempt_pointer const& from, work_finished const& event)
{
    if (repeated_ && from->text.size() < text_.size()) {
        give_up({.status = 502,
                 .code = "answer_interrupted",
                 .message = "another run gave a shorter answer",
                 .run = run_state::run,
                 .retry_after = milliseconds{1'000}});
        return;
    }
    node_.health.record_success(from->target.backend_server);
    if (auto const cleared = node_.suspects.record_success(
            routing_.fingerprint(), decision_clock::now())) {
        node_.tell_suspects(*cleared);
    }
    if (from->tokens > 1) {
        auto const gap = span(first_token_at_, last_token_at_) /
                         static_cast<std::int64_t>(from->tokens - 1);
        node_.figures.between_tokens(routing_.request().service_class, gap,
                                     routing_.request().targets.between_tokens);
        node_.health.record_token_gap(from->target.backend_server, gap,
                                      decision_clock::now());
    }
    node_.router.note_finish(from->target.backend_server,
                             span(from->sent_at, decision_clock::now()));
    if (asked_.stream) {
        start_answer(*from);
        caller_->write(writer_.last_chunk(event));
        caller_->finish();
    } else {
        caller_->respond({.status = 200,
                          .fields = {{"Content-Type", "application/json"},
                                     {"Medlarstall-Daemon", node_.settings.id},
                                     {"Medlarstall-Backend-Server",
                                      from->target.backend_server},
                                     {"Medlarstall-Attempt", from->id}},
                          .body = writer_.whole(text_, event)});
    }
    end("finished");
}

void chat_call::on(attempt_pointer const& from, work_refused const& event)
{
    if (!drop(from)) {
        return;
    }
    follow(routing_.after_refusal(from->target, event));
}

void chat_call::on(attempt_pointer const& from, work_failed const& event)
{
    failed(from, event.code, event.message, run_state::run);
}

void chat_call::on(attempt_pointer const&, work_head const&) {}

void chat_call::on(attempt_pointer const&, work_data const&) {}

void chat_call::failed(attempt_pointer const& from, std::string const& code,
                       std::string const& message, run_state ran)
{
    if (!drop(from)) {
        return;
    }
    repeated_ = !text_.empty();
    auto step = routing_.after_failure(from->target, code, message, ran);
    follow(std::move(step));
}

void chat_call::link_lost(attempt_pointer const& from)
{
    node_.router.lose_owner(from->target.owner);
    if (from->dispatched) {
        take_up_directly(from);
        return;
    }
    failed(from, "owner_lost", "the link to the owner broke",
           run_state::unknown);
}

void chat_call::take_up_directly(attempt_pointer const& from)
{
    ++node_.figures.resumes;
    from->link.reset();
    log_line{severity::warning, "resume"}
        .with("attempt", from->id)
        .with("backend_server", from->dispatched->backend_server)
        .with("from_token", from->tokens)
        .with("reason", "owner_lost");
    direct_ = std::make_shared<backend::engine_stream>(
        node_.io, node_.client,
        backend::backend_endpoint{from->dispatched->backend_server,
                                  from->dispatched->address,
                                  from->dispatched->port},
        from->id, backend::engine_stream_settings{});
    auto const weak = weak_from_this();
    backend::engine_stream_handlers handlers;
    auto relay = [weak, from](work_event event) {
        if (auto const self = weak.lock(); self && !self->ended_) {
            self->handle(from, std::move(event));
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
    handlers.on_failed = [weak, from](backend::engine_failure const& failure) {
        if (auto const self = weak.lock(); self && !self->ended_) {
            self->direct_failed(from, failure);
        }
    };
    direct_->resume(from->tokens, std::move(handlers));
}

void chat_call::direct_failed(attempt_pointer const& from,
                              backend::engine_failure const& failure)
{
    auto const self = shared_from_this();
    direct_.reset();
    failed(from, failure.code, failure.message,
           failure.not_run ? run_state::not_run : run_state::run);
}

void chat_call::follow(next_step step)
{
    if (!attempts_.empty()) {
        return; // A hedge still runs.
    }
    if (auto* problem = std::get_if<api_error>(&step)) {
        give_up(std::move(*problem));
        return;
    }
    retry_timer_.expires_after(std::get<try_again>(step).delay);
    retry_timer_.async_wait([weak = weak_from_this()](auto const& failure) {
        auto const self = weak.lock();
        if (!failure && self && !self->ended_) {
            self->send();
        }
    });
}

void chat_call::keep_only(attempt_pointer const& winner)
{
    hedge_timer_.cancel();
    if (attempts_.size() > 1) {
        attempts_ = {winner};
    }
}

bool chat_call::drop(attempt_pointer const& from)
{
    return std::erase(attempts_, from) > 0;
}

void chat_call::give_up(api_error problem)
{
    log_line{severity::info, "give_up"}
        .with("request", id_)
        .with("organisation", routing_.request().organisation)
        .with("class", routing_.request().service_class)
        .with("code", problem.code)
        .with("run", to_string(problem.run));
    if (tokens_ > 0) {
        problem.run = run_state::run;
    }
    auto const code = problem.code;
    if (caller_->started()) {
        caller_->write(writer_.error_chunk(problem));
        caller_->finish();
    } else {
        caller_->respond(to_response(problem));
    }
    end(code);
}

void chat_call::end(std::string const& outcome)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    node_.calls.remove(this);
    node_.figures.finished(routing_.request().service_class, outcome);
    retry_timer_.cancel();
    hedge_timer_.cancel();
    deadline_timer_.cancel();
    attempts_.clear();
    if (direct_) {
        direct_->cancel();
    }
    caller_->on_sent(nullptr);
}

void chat_call::abandon()
{
    ended_ = true;
    retry_timer_.cancel();
    hedge_timer_.cancel();
    deadline_timer_.cancel();
    attempts_.clear();
    direct_.reset();
    caller_->abort();
}

void chat_call::caller_left()
{
    log_line{severity::info, "caller_left"}.with("request", id_);
    end("caller_left");
}

} // namespace medlarstall::daemon
