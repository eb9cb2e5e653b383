#include "owned_order.hpp"

#include "engine_body.hpp"
#include "metrics.hpp"
#include "owner_service.hpp"

#include <medlarstall/support/log.hpp>

#include <nlohmann/json.hpp>

namespace medlarstall::daemon {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// A stream times out when no data came for this multiple of the latency target
/// of the service class plus the margin.
constexpr int silence_factor = 4;
constexpr milliseconds silence_margin{1'000};

constexpr std::size_t max_stream_state_bytes = std::size_t{16} * 1024 * 1024;
constexpr milliseconds stream_state_timeout{2'000};

backend::engine_stream_settings
stream_settings(catalogue::latency_targets const& targets)
{
    backend::engine_stream_settings settings;
    settings.first_token_timeout =
        targets.first_token * silence_factor + silence_margin;
    settings.between_tokens_timeout =
        targets.between_tokens * silence_factor + silence_margin;
    return settings;
}

std::string base_url(backend_server_info const& server)
{
    return "http://" + server.address + ":" + std::to_string(server.port);
}

} // namespace

owned_order::owned_order(owner_service& owner,
                         chart::request_chart const& chart, work_order order,
                         event_sink sink)
    : owner_{owner}, lifecycle_{chart.start()}, order_{std::move(order)},
      sink_{std::move(sink)}
{
    fire_event(chart::request_event::admitted);
}

bool owned_order::fire_event(chart::request_event event)
{
    if (lifecycle_.fire(event)) {
        return true;
    }
    log_line{severity::error, "unexpected_event"}
        .with("attempt", order_.attempt_id)
        .with("state", chart::name_of(lifecycle_.state()))
        .with("request_event", chart::name_of(event));
    return false;
}

void owned_order::refuse(work_refused event)
{
    if (fire_event(chart::request_event::refused)) {
        emit(std::move(event));
    } else {
        emit(work_failed{event.code, event.message, false, false});
    }
}

owned_order::~owned_order()
{
    owner_.client_.cancel(transfer_);
}

void owned_order::emit(work_event event) const
{
    sink_.send(std::move(event));
}

bool owned_order::count_crash_at(std::string const& backend_server)
{
    if (crash_counted_ || !running() || server_.id != backend_server) {
        return false;
    }
    crash_counted_ = true;
    return true;
}

void owned_order::log_dispatch(scheduling::dispatch const& action) const
{
    log_line{severity::info, "dispatch"}
        .with("attempt", order_.attempt_id)
        .with("organisation", order_.request.organisation)
        .with("class", order_.request.service_class)
        .with("backend_server", action.backend_server)
        .with("priority", action.priority)
        .with("resume_from", action.resume_from)
        .with("waited", dispatched_at_ - order_.request.arrived)
        .with("reason", action.by_floor ? "floor" : "fair_share");
}

void owned_order::dispatch(scheduling::dispatch const& action,
                           backend_server_info const& server)
{
    fire_event(suspended_at_ ? chart::request_event::resumed
                             : chart::request_event::dispatched);
    server_ = server;
    dispatched_at_ = monotonic_clock::now();
    log_dispatch(action);
    emit(work_dispatched{server_.id, server_.address, server_.port,
                         std::chrono::duration_cast<milliseconds>(
                             dispatched_at_ - order_.request.arrived)});
    if (order_.group_kind == catalogue::group_kind::engine) {
        run_engine(action);
    } else {
        run_service();
    }
}

void owned_order::run_engine(scheduling::dispatch const& action)
{
    stream_ = std::make_shared<backend::engine_stream>(
        owner_.io_, owner_.client_,
        backend::backend_endpoint{server_.id, server_.address, server_.port},
        order_.attempt_id, stream_settings(order_.request.targets));
    if (!suspended_at_) {
        stream_->start(make_engine_body(order_.body, action.priority),
                       engine_handlers());
    } else if (suspended_at_->id == server_.id) {
        resume_stream(action);
    } else {
        move_and_resume_stream(action);
    }
}

void owned_order::resume_stream(scheduling::dispatch const& action)
{
    suspended_at_.reset();
    stream_->continue_suspended(action.resume_from, action.priority,
                                engine_handlers());
}

void owned_order::move_and_resume_stream(scheduling::dispatch const& action)
{
    backend::outgoing_request read_request;
    read_request.url =
        base_url(*suspended_at_) + "/streams/" + order_.attempt_id + "/state";
    read_request.receive_timeout = stream_state_timeout;
    auto const weak = weak_from_this();
    auto on_written = [weak, action](backend::fetch_result const&) {
        // A failed import is not handled here: resuming then fails, because the
        // stream is unknown to the backend server.
        if (auto const self = weak.lock(); self && !self->ended_) {
            self->resume_stream(action);
        }
    };
    auto on_read = [weak, on_written,
                    url = base_url(server_) + "/streams/" + order_.attempt_id +
                          "/state"](backend::fetch_result outcome) {
        auto const self = weak.lock();
        if (!self || self->ended_) {
            return;
        }
        backend::outgoing_request write_request;
        write_request.method = "PUT";
        write_request.url = url;
        write_request.receive_timeout = stream_state_timeout;
        write_request.fields = {{"Content-Type", "application/json"}};
        if (auto* response = std::get_if<backend::fetched_response>(&outcome)) {
            write_request.body = std::move(response->body);
        }
        self->owner_.client_.fetch(std::move(write_request),
                                   max_stream_state_bytes, on_written);
    };
    owner_.client_.fetch(std::move(read_request), max_stream_state_bytes,
                         on_read);
}

backend::engine_stream_handlers owned_order::engine_handlers()
{
    backend::engine_stream_handlers handlers;
    handlers.on_tokens = [this](std::uint64_t first, std::uint32_t count,
                                std::string_view text) {
        auto const self = shared_from_this();
        auto const now = monotonic_clock::now();
        if (!response_started_) {
            response_started_ = true;
            fire_event(chart::request_event::first_token);
            owner_.scheduler_.first_token_received(id(), now, owner_.actions_);
        }
        owner_.scheduler_.tokens_received(id(), count, now, owner_.actions_);
        emit(work_tokens{first, count, std::string{text}});
        update_reading(owner_.stream_buffer_bytes_);
        owner_.perform_actions();
    };
    handlers.on_finished = [this](std::string const& reason,
                                  backend::token_usage const& usage) {
        auto const self = shared_from_this();
        finish(work_finished{reason, usage.prompt_tokens,
                             usage.completion_tokens, usage.cached_tokens},
               true);
    };
    handlers.on_failed = [this](backend::engine_failure const& failure) {
        auto const self = shared_from_this();
        on_engine_failed(failure);
    };
    return handlers;
}

void owned_order::on_engine_failed(backend::engine_failure const& failure)
{
    if (failure.code == "engine_busy" && !suspended_at_) {
        stream_.reset();
        fire_event(chart::request_event::bounced);
        owner_.scheduler_.rejected_as_busy(id(), monotonic_clock::now(),
                                           owner_.actions_);
        owner_.perform_actions();
        return;
    }
    log_line{severity::warning, "attempt_failed"}
        .with("attempt", order_.attempt_id)
        .with("backend_server", server_.id)
        .with("code", failure.code)
        .with("message", failure.message)
        .with("crashed", failure.crashed);
    if (failure.crashed) {
        owner_.report_crash(server_.id);
    }
    if (failure.not_run && !response_started_) {
        bool const retry_elsewhere = failure.code != "engine_refused";
        finish(work_refused{failure.code, failure.message, milliseconds{0},
                            retry_elsewhere},
               false);
        return;
    }
    finish(work_failed{failure.code, failure.message, failure.crashed, true},
           false);
}

void owned_order::run_service()
{
    backend::outgoing_request request;
    request.method = order_.method;
    request.url = base_url(server_) + order_.target;
    request.fields = order_.fields;
    request.fields.emplace_back("X-Attempt-Id", order_.attempt_id);
    request.body = order_.body;
    request.repeatable = order_.request.repeatable;
    request.receive_timeout =
        order_.request.targets.first_token * silence_factor + silence_margin;
    backend::transfer_handlers handlers;
    handlers.on_head = [this](backend::response_head const& head) {
        auto const self = shared_from_this();
        on_service_head(head);
    };
    handlers.on_data = [this](std::string_view data) {
        auto const self = shared_from_this();
        on_service_data(data);
    };
    handlers.on_done = [this](backend::transfer_failure const* failure) {
        auto const self = shared_from_this();
        transfer_ = 0;
        on_service_ended(failure);
    };
    transfer_ = owner_.client_.start(std::move(request), std::move(handlers));
}

void owned_order::on_service_head(backend::response_head const& head)
{
    constexpr int unavailable = 503;
    refused_by_service_ =
        head.status == unavailable &&
        !backend::find_field(head.fields, "X-Not-Run").empty();
    if (refused_by_service_) {
        return;
    }
    response_started_ = true;
    fire_event(chart::request_event::first_token);
    owner_.scheduler_.first_token_received(id(), monotonic_clock::now(),
                                           owner_.actions_);
    emit(work_response_head{head.status, head.fields});
    owner_.perform_actions();
}

void owned_order::on_service_data(std::string_view data)
{
    if (refused_by_service_) {
        return;
    }
    emit(work_response_data{std::string{data}});
    update_reading(owner_.stream_buffer_bytes_);
}

void owned_order::on_service_ended(backend::transfer_failure const* failure)
{
    using backend::transfer_stage;
    if (refused_by_service_) {
        finish(work_refused{"service_busy", "the service refused the call",
                            milliseconds{0}, true},
               false);
        return;
    }
    if (failure == nullptr) {
        finish(work_finished{"stop", 0, 0, 0}, true);
        return;
    }
    if (failure->stage == transfer_stage::nothing_sent) {
        finish(work_refused{"unreachable", failure->message, milliseconds{0},
                            true},
               false);
        return;
    }
    finish(work_failed{failure->timed_out ? "silent" : "connection_lost",
                       failure->message, !failure->timed_out,
                       failure->stage == transfer_stage::receiving},
           false);
}

void owned_order::finish(work_event event, bool succeeded)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    auto const self = shared_from_this();
    auto const now = monotonic_clock::now();
    if (succeeded) {
        owner_.scheduler_.finished(id(), now, owner_.actions_);
    } else {
        owner_.scheduler_.failed(id(), now, owner_.actions_);
    }
    owner_.remove_order(id());
    if (auto* refused = std::get_if<work_refused>(&event)) {
        // The backend server reported that it did not run the attempt.
        fire_event(chart::request_event::bounced);
        refuse(std::move(*refused));
    } else {
        fire_event(succeeded ? chart::request_event::finished
                             : chart::request_event::failed);
        emit(std::move(event));
    }
    owner_.perform_actions();
}

void owned_order::preempt()
{
    auto const stream = std::exchange(stream_, nullptr);
    if (!stream) {
        return;
    }
    fire_event(chart::request_event::preempted);
    ++owner_.metrics_.preemptions;
    auto on_suspended = [weak = weak_from_this()](bool succeeded) {
        auto const self = weak.lock();
        if (!self || self->ended_) {
            return;
        }
        self->suspended_at_ = self->server_;
        if (!succeeded) {
            log_line{severity::warning, "suspend_failed"}.with(
                "attempt", self->order_.attempt_id);
        }
        self->owner_.scheduler_.preempted(self->id(), monotonic_clock::now(),
                                          self->owner_.actions_);
        self->owner_.perform_actions();
    };
    log_line{severity::info, "preempt"}
        .with("attempt", order_.attempt_id)
        .with("organisation", order_.request.organisation)
        .with("class", order_.request.service_class)
        .with("backend_server", server_.id)
        .with("tokens_kept", stream->next_token_index());
    stream->suspend(std::move(on_suspended));
}

void owned_order::cancel()
{
    fire_event(chart::request_event::caller_left);
    ended_ = true;
    if (stream_) {
        stream_->cancel();
    }
    owner_.client_.cancel(std::exchange(transfer_, 0));
}

void owned_order::update_reading(std::size_t limit)
{
    auto const pending = sink_.pending_bytes ? sink_.pending_bytes() : 0;
    bool const should_read = reading_ ? pending <= limit : pending <= limit / 2;
    if (should_read == reading_) {
        return;
    }
    reading_ = should_read;
    if (stream_) {
        stream_->set_reading(reading_);
    } else if (reading_) {
        owner_.client_.resume(transfer_);
    } else {
        owner_.client_.pause(transfer_);
    }
}

} // namespace medlarstall::daemon
