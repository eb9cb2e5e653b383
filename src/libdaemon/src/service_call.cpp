#include "service_call.hpp"

#include "node.hpp"

#include <medlarstall/entry/exchange.hpp>
#include <medlarstall/support/log.hpp>

#include <array>

#include <algorithm>

namespace medlarstall::daemon {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds deadline_margin{3'000};

/// Answers of claimed calls are kept up to this size.
constexpr std::size_t max_kept_body_bytes = 4096;

/// Fields of a service's answer that callers get.
constexpr std::array<std::string_view, 5> answer_fields{
    "Content-Type", "Location", "ETag", "Cache-Control", "Retry-After"};

bool passed_on(std::string_view name)
{
    auto const same = [name](std::string_view other) {
        entry::header_fields const one{{std::string{name}, "x"}};
        return !entry::find_field(one, other).empty();
    };
    return std::ranges::any_of(answer_fields, same);
}

} // namespace

service_call::service_call(node& shared,
                           std::shared_ptr<entry::exchange> caller,
                           service_request asked, scheduling::request request,
                           std::uint64_t fingerprint,
                           outcome_handler on_outcome)
    : node_{shared}, caller_{std::move(caller)}, asked_{std::move(asked)},
      routing_{shared, std::move(request), {}, 0, fingerprint},
      on_outcome_{std::move(on_outcome)}, retry_timer_{shared.io},
      deadline_timer_{shared.io}
{}

service_call::~service_call() = default;

void service_call::start(std::string attempt)
{
    attempt_ = std::move(attempt);
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

void service_call::guard_deadline()
{
    deadline_timer_.expires_at(routing_.request().deadline + deadline_margin);
    deadline_timer_.async_wait([weak = weak_from_this()](auto const& failure) {
        auto const self = weak.lock();
        if (failure || !self || self->ended_ || self->outcome_.status != 0) {
            return;
        }
        bool const sent = self->link_ != nullptr;
        self->give_up(self->routing_.about_all_attempts(
            {.status = 504,
             .code = "deadline",
             .message = "no answer came before the deadline",
             .run = sent ? run_state::unknown : run_state::not_run}));
    });
}

std::vector<std::pair<std::string, std::string>>
service_call::passed_fields() const
{
    std::vector<std::pair<std::string, std::string>> fields;
    auto const& given = caller_->request().fields;
    for (auto const* name : {"Content-Type", "Accept"}) {
        auto const value = entry::find_field(given, name);
        if (!value.empty()) {
            fields.emplace_back(name, value);
        }
    }
    if (!asked_.idempotency_key.empty()) {
        fields.emplace_back("Idempotency-Key", asked_.idempotency_key);
    }
    return fields;
}

void service_call::send()
{
    if (auto const problem = routing_.quarantined()) {
        give_up(*problem);
        return;
    }
    auto target = routing_.choose(attempt_);
    if (!target) {
        follow(routing_.after_no_choice());
        return;
    }
    target_ = *std::move(target);
    dispatched_ = false;
    work_order order{.attempt = attempt_,
                     .kind = catalogue::group_kind::service,
                     .request = routing_.request(),
                     .method = asked_.method,
                     .target = asked_.target,
                     .fields = passed_fields(),
                     .body = caller_->request().body,
                     .fingerprint = routing_.fingerprint()};
    order_handlers handlers;
    auto const weak = weak_from_this();
    handlers.on_event = [weak](work_event event) {
        auto const self = weak.lock();
        if (self && !self->ended_) {
            self->handle(std::move(event));
        }
    };
    handlers.on_lost = [weak] {
        auto const self = weak.lock();
        if (self && !self->ended_) {
            self->link_lost();
        }
    };
    handlers.pending_bytes = [caller = caller_] {
        return caller->pending_bytes();
    };
    link_ = std::make_unique<order_link>(node_, target_.owner, order,
                                         std::move(handlers));
}

void service_call::handle(work_event event)
{
    auto const self = shared_from_this();
    std::visit([this](auto const& one) { on(one); }, event);
}

void service_call::on(work_dispatched const& event)
{
    dispatched_ = true;
    node_.figures.queue_wait(routing_.request().service_class, event.waited);
}

void service_call::on(work_tokens const&) {}

void service_call::on(work_head const& event)
{
    outcome_.status = event.status;
    entry::header_fields fields{
        {"Medlarstall-Daemon", node_.settings.id},
        {"Medlarstall-Backend-Server", target_.backend_server}};
    for (auto const& [name, value] : event.fields) {
        if (passed_on(name)) {
            fields.emplace_back(name, value);
        }
        if (passed_on(name) && fields.back().first.size() == 12 &&
            outcome_.content_type.empty()) {
            outcome_.content_type = value;
        }
    }
    auto const now = decision_clock::now();
    node_.figures.first_token(
        routing_.request().service_class,
        std::chrono::duration_cast<std::chrono::microseconds>(
            now - routing_.request().arrived),
        routing_.request().targets.first_token);
    caller_->start_stream(event.status, std::move(fields));
}

void service_call::on(work_data const& event)
{
    if (outcome_.body.size() + event.bytes.size() <= max_kept_body_bytes) {
        outcome_.body += event.bytes;
    } else {
        outcome_.whole = false;
    }
    caller_->write(event.bytes);
    check_caller();
}

void service_call::on(work_finished const&)
{
    node_.health.record_success(target_.backend_server);
    outcome_.known = true;
    caller_->finish();
    end("finished");
}

void service_call::on(work_refused const& event)
{
    link_.reset();
    follow(routing_.after_refusal(target_, event));
}

void service_call::on(work_failed const& event)
{
    link_.reset();
    if (outcome_.status != 0) {
        // Part of the answer is with the caller; it must see the cut.
        caller_->abort();
        end("cut");
        return;
    }
    follow(routing_.after_failure(target_, event.code, event.message,
                                  event.executed ? run_state::run
                                                 : run_state::unknown));
}

void service_call::link_lost()
{
    node_.router.lose_owner(target_.owner);
    on(work_failed{"owner_lost", "the link to the owner broke", false, false});
}

void service_call::follow(next_step step)
{
    if (auto const* problem = std::get_if<api_error>(&step)) {
        give_up(*problem);
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

void service_call::give_up(api_error const& problem)
{
    log_line{severity::info, "give_up"}
        .with("attempt", attempt_)
        .with("organisation", routing_.request().organisation)
        .with("service", asked_.service)
        .with("code", problem.code)
        .with("run", to_string(problem.run));
    outcome_.ran_nothing = problem.run == run_state::not_run;
    caller_->respond(to_response(problem));
    end(problem.code);
}

void service_call::end(std::string const& outcome)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    node_.calls.remove(this);
    node_.figures.finished(routing_.request().service_class, outcome);
    retry_timer_.cancel();
    deadline_timer_.cancel();
    link_.reset();
    caller_->on_sent(nullptr);
    if (auto const handler = std::exchange(on_outcome_, nullptr)) {
        handler(outcome_);
    }
}

void service_call::abandon()
{
    ended_ = true;
    on_outcome_ = nullptr;
    retry_timer_.cancel();
    deadline_timer_.cancel();
    link_.reset();
    caller_->abort();
}

void service_call::caller_left()
{
    caller_gone_ = true;
    if (asked_.repeatable) {
        end("caller_left");
    }
    // A claimed call goes on, so that its outcome is known to a retry.
}

void service_call::check_caller()
{
    auto const pending = caller_->pending_bytes();
    auto const limit = node_.settings.stream_buffer_bytes;
    bool const should_read = reading_ ? pending <= limit : pending <= limit / 2;
    if (should_read != reading_) {
        reading_ = should_read;
        if (link_) {
            link_->set_reading(reading_);
        }
    }
}

} // namespace medlarstall::daemon
