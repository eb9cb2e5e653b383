#include "service_call.hpp"

#include "daemon_context.hpp"

#include <medlarstall/entry/exchange.hpp>
#include <medlarstall/support/log.hpp>

#include <array>

#include <algorithm>

namespace medlarstall::daemon {

namespace {

using std::chrono::milliseconds;

/// Time after the deadline that the owner has to report that it has passed.
constexpr milliseconds deadline_margin{3'000};

/// The answer of a claimed call is stored with its claim up to this size.
constexpr std::size_t max_stored_body_bytes = 4096;

/// Header fields of a service's answer that are forwarded to the caller.
constexpr std::array<std::string_view, 5> forwarded_response_fields{
    "Content-Type", "Location", "ETag", "Cache-Control", "Retry-After"};

bool is_forwarded_response_field(std::string_view name)
{
    auto const matches = [name](std::string_view other) {
        entry::header_fields const single_field{{std::string{name}, "x"}};
        return !entry::find_field(single_field, other).empty();
    };
    return std::ranges::any_of(forwarded_response_fields, matches);
}

} // namespace

service_call::service_call(daemon_context& shared,
                           std::shared_ptr<entry::exchange> exchange,
                           service_request call_request,
                           scheduling::request request,
                           std::uint64_t fingerprint,
                           outcome_handler on_outcome)
    : node_{shared}, exchange_{std::move(exchange)},
      service_request_{std::move(call_request)},
      routing_{shared, std::move(request), {}, 0, fingerprint},
      on_outcome_{std::move(on_outcome)}, retry_timer_{shared.io},
      deadline_timer_{shared.io}
{}

service_call::~service_call() = default;

void service_call::start(std::string attempt_id)
{
    attempt_id_ = std::move(attempt_id);
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

void service_call::start_deadline_timer()
{
    deadline_timer_.expires_at(routing_.request().deadline + deadline_margin);
    deadline_timer_.async_wait([weak = weak_from_this()](auto const& failure) {
        auto const self = weak.lock();
        if (failure || !self || self->ended_ || self->outcome_.status != 0) {
            return;
        }
        bool const sent = self->link_ != nullptr;
        self->answer_with_error(self->routing_.with_combined_run_state(
            {.status = 504,
             .code = "deadline",
             .message = "no answer came before the deadline",
             .run = sent ? run_state::unknown : run_state::not_run}));
    });
}

std::vector<std::pair<std::string, std::string>>
service_call::forwarded_request_fields() const
{
    std::vector<std::pair<std::string, std::string>> fields;
    auto const& request_fields = exchange_->request().fields;
    for (auto const* name : {"Content-Type", "Accept"}) {
        auto const value = entry::find_field(request_fields, name);
        if (!value.empty()) {
            fields.emplace_back(name, value);
        }
    }
    if (!service_request_.idempotency_key.empty()) {
        fields.emplace_back("Idempotency-Key",
                            service_request_.idempotency_key);
    }
    return fields;
}

void service_call::send_attempt()
{
    if (auto const problem = routing_.check_quarantine()) {
        answer_with_error(*problem);
        return;
    }
    auto target = routing_.choose_target(attempt_id_);
    if (!target) {
        apply_step(routing_.after_no_target());
        return;
    }
    target_ = *std::move(target);
    dispatched_ = false;
    work_order order{.attempt_id = attempt_id_,
                     .group_kind = catalogue::group_kind::service,
                     .request = routing_.request(),
                     .method = service_request_.method,
                     .target = service_request_.target,
                     .fields = forwarded_request_fields(),
                     .body = exchange_->request().body(),
                     .fingerprint = routing_.fingerprint()};
    order_handlers handlers;
    auto const weak = weak_from_this();
    handlers.on_event = [weak](work_event event) {
        auto const self = weak.lock();
        if (self && !self->ended_) {
            self->handle_event(std::move(event));
        }
    };
    handlers.on_link_lost = [weak] {
        auto const self = weak.lock();
        if (self && !self->ended_) {
            self->on_link_lost();
        }
    };
    handlers.pending_bytes = [exchange = exchange_] {
        return exchange->pending_bytes();
    };
    link_ = std::make_unique<order_link>(node_, target_.owner, order,
                                         std::move(handlers));
}

void service_call::handle_event(work_event event)
{
    auto const self = shared_from_this();
    std::visit([this](auto const& one) { on_event(one); }, event);
}

void service_call::on_event(work_dispatched const& event)
{
    dispatched_ = true;
    node_.daemon_metrics.record_queue_wait(routing_.request().service_class,
                                           event.queue_wait);
}

void service_call::on_event(work_tokens const&) {}

void service_call::on_event(work_response_head const& event)
{
    outcome_.status = event.status;
    entry::header_fields fields{
        {"Medlarstall-Daemon", node_.settings.id},
        {"Medlarstall-Backend-Server", target_.backend_server}};
    for (auto const& [name, value] : event.fields) {
        if (is_forwarded_response_field(name)) {
            fields.emplace_back(name, value);
        }
        // Content-Type is the only forwarded field name with 12 letters.
        if (is_forwarded_response_field(name) &&
            fields.back().first.size() == 12 && outcome_.content_type.empty()) {
            outcome_.content_type = value;
        }
    }
    auto const now = monotonic_clock::now();
    node_.daemon_metrics.record_first_token(
        routing_.request().service_class,
        std::chrono::duration_cast<std::chrono::microseconds>(
            now - routing_.request().arrived),
        routing_.request().targets.first_token);
    exchange_->start_stream(event.status, fields);
}

void service_call::on_event(work_response_data const& event)
{
    if (outcome_.body.size() + event.bytes.size() <= max_stored_body_bytes) {
        outcome_.body += event.bytes;
    } else {
        outcome_.body_kept = false;
    }
    exchange_->write(event.bytes);
    update_reading();
}

void service_call::on_event(work_finished const&)
{
    node_.health.record_success(target_.backend_server);
    outcome_.answer_complete = true;
    exchange_->finish();
    finish("finished");
}

void service_call::on_event(work_refused const& event)
{
    link_.reset();
    apply_step(routing_.after_refusal(target_, event));
}

void service_call::on_event(work_failed const& event)
{
    link_.reset();
    if (outcome_.status != 0) {
        // The caller has part of the answer. Abort the connection, so that the
        // caller can tell that the answer is incomplete.
        exchange_->abort();
        finish("cut");
        return;
    }
    apply_step(routing_.after_failure(target_, event.code, event.message,
                                      event.executed ? run_state::ran
                                                     : run_state::unknown));
}

void service_call::on_link_lost()
{
    node_.router.mark_owner_lost(target_.owner);
    on_event(work_failed{"owner_lost", "the connection to the owner was lost",
                         false, false});
}

void service_call::apply_step(next_step step)
{
    if (auto const* problem = std::get_if<api_error>(&step)) {
        answer_with_error(*problem);
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

void service_call::answer_with_error(api_error const& problem)
{
    log_line{severity::info, "give_up"}
        .with("attempt", attempt_id_)
        .with("organisation", routing_.request().organisation)
        .with("service", service_request_.service)
        .with("code", problem.code)
        .with("run", to_string(problem.run));
    outcome_.not_executed = problem.run == run_state::not_run;
    exchange_->respond(to_response(problem));
    finish(problem.code);
}

void service_call::finish(std::string const& outcome)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    node_.open_calls.remove(this);
    node_.daemon_metrics.record_finished(routing_.request().service_class,
                                         outcome);
    retry_timer_.cancel();
    deadline_timer_.cancel();
    link_.reset();
    exchange_->on_sent(nullptr);
    if (auto const handler = std::exchange(on_outcome_, nullptr)) {
        handler(outcome_);
    }
}

void service_call::abort()
{
    ended_ = true;
    on_outcome_ = nullptr;
    retry_timer_.cancel();
    deadline_timer_.cancel();
    link_.reset();
    exchange_->abort();
}

void service_call::on_caller_left()
{
    caller_disconnected_ = true;
    if (service_request_.repeatable) {
        finish("caller_left");
    }
    // A call that may not be repeated goes on, so that a retry with the same
    // key gets its outcome.
}

void service_call::update_reading()
{
    auto const pending = exchange_->pending_bytes();
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
