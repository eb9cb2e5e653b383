#include <medlarstall/gateway/forwarded_request.hpp>

#include <medlarstall/dispatch/admission_policy.hpp>
#include <medlarstall/dispatch/waiting_policy.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

constexpr int bad_gateway = 502;

/// With less time left than this, no backend server is chosen any more.
constexpr milliseconds min_useful_time{5};
constexpr double percent = 100.0;

std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

milliseconds to_milliseconds(duration span)
{
    return std::chrono::duration_cast<milliseconds>(span);
}

} // namespace

forwarded_request::forwarded_request(
    request_context& context, routed_request request,
    std::unique_ptr<http::exchange> caller,
    std::function<void(forwarded_request*)> on_finished)
    : context_{context}, request_{std::move(request)},
      caller_{std::move(caller)}, on_finished_{std::move(on_finished)},
      deadline_timer_{context.event_loop}, wait_timer_{context.event_loop},
      began_at_{caller_->read_at()}
{
    hash_ = hash_of(request_.metadata.attempt_id);
    service_ = routes::pick_service(*request_.route, hash_);
    auto limit = request_.route->time_limit;
    if (request_.metadata.time_left) {
        limit = std::min(limit, *request_.metadata.time_left);
    }
    arrived_at_ = caller_->arrived_at() - request_.suspended;
    deadline_ = arrived_at_ + limit;
    patience_ = dispatch::patience_of(*request_.route, limit);
}

std::uint64_t forwarded_request::make_fingerprint() const
{
    auto const& head = caller_->head();
    auto const path_hash = hash_of(http::path_of(head.target));
    auto const* const organisation = request_.organisation;
    auto const seed =
        hash_of(organisation != nullptr ? organisation->name : "", path_hash);
    return hash_of(caller_->body(), seed);
}

void forwarded_request::start()
{
    caller_->on_caller_disconnected([weak = weak_from_this()] {
        if (auto const self = weak.lock()) {
            self->on_caller_left();
        }
    });
    caller_->on_sent([weak = weak_from_this()] {
        if (auto const self = weak.lock()) {
            self->resume_if_sent();
        }
    });
    if (end_if_read_late()) {
        return;
    }
    start_deadline_timer();
    crash_suspect_.request = make_fingerprint();
    if (request_.metadata.model_prompt) {
        crash_suspect_.parts =
            request_.metadata.model_prompt->shared_part_ids();
    }
    if (is_taken_up()) {
        list_read_before_ = context_.list_reads.last_begun();
        find_origin();
        return;
    }
    stream_id_ = hash_;
    count_request();
    choose_server();
}

/// Lets the request add to the retry budget of its service, once in the fleet.
void forwarded_request::count_request()
{
    if (!request_.metadata.passed_on) {
        context_.dispatcher.on_request(service_);
    }
}

void forwarded_request::start_deadline_timer()
{
    deadline_timer_.expires_at(deadline_);
    deadline_timer_.async_wait(
        [weak = weak_from_this()](std::error_code cancelled) {
            auto const self = weak.lock();
            if (self && !cancelled) {
                self->on_deadline();
            }
        });
}

dispatch::placement_request forwarded_request::make_placement_request() const
{
    dispatch::placement_request work;
    work.service = service_;
    work.model_prompt = request_.metadata.model_prompt;
    auto const* const service = request_.route_table->find_service(service_);
    if (service != nullptr && service->model) {
        work.pause_sensitivity = dispatch::pause_sensitivity(
            request_.route->pause_objective, service->model->tokens_per_event);
    }
    work.urgency_rank = urgency();
    work.urgency_share = urgency_share();
    work.tie_break_hash = hash_;
    work.excluded_servers = tried_servers_;
    if (origin_ && origin_->service == service_) {
        work.software_version = origin_->version;
    }
    return work;
}

milliseconds forwarded_request::time_left(time_point now) const
{
    return to_milliseconds(deadline_ - now);
}

void forwarded_request::choose_server()
{
    auto const now = monotonic_clock::now();
    if (time_left(now) < min_useful_time) {
        return; // The deadline timer will answer.
    }
    if (withhold_send(now) || end_if_crashing(now) || pass_on(now)) {
        return;
    }
    auto const placement = choose_placement(now);
    if (placement) {
        admit_or_refuse(*placement, now);
        return;
    }
    if (pass_on(now, true)) {
        return;
    }
    auto const pause =
        dispatch::wait_before_next_placement(*request_.route, now - began_at_);
    if (pause > duration::zero()) {
        choose_again_after(pause);
    } else if (caller_->response_started()) {
        abort_answer("no_other_backend_server");
    } else if (attempts_.may_have_run) {
        answer_error(bad_gateway, "no_other_backend_server");
    } else if (auto const booked = context_.dispatcher.book_return(
                   make_placement_request(), now)) {
        refuse_rate_limited(*booked, now);
    } else {
        auto const lacks_room =
            context_.dispatcher.lacks_room(service_, urgency_share(), now);
        refuse(origin_      ? "no_server_of_release"
               : lacks_room ? "no_room"
                            : "no_backend_server",
               retry_delay_after_pause(dispatch::no_server_retry_after));
    }
}

/// Sends a request to the backend server chosen for it. The first send of a
/// request to a model is subject to admission control: it is refused if the
/// backend servers are overloaded.
void forwarded_request::admit_or_refuse(dispatch::placement const& placement,
                                        time_point now)
{
    auto const admission_enabled =
        context_.dispatcher.is_enabled(dispatch::mechanism::admission);
    if (!admission_enabled || !request_.metadata.model_prompt ||
        send_count_ > 0) {
        send_to(placement);
        return;
    }
    auto const input = make_admission_input(placement, now);
    auto const retry_after = dispatch::retry_delay_if_refused(input);
    if (!retry_after) {
        send_to(placement);
        return;
    }
    log_entry{context_.log, log_category::failure, "refused"}
        .with("id", request_.metadata.attempt_id)
        .with("reason", "overloaded")
        .with("server", placement.backend_server)
        .with("urgency", input.urgency_rank)
        .with("expected_first", input.expected_first_event)
        .with("estimate_percent",
              static_cast<std::int64_t>(placement.estimate_factor * percent))
        .with("batches_percent",
              static_cast<std::int64_t>(input.load_per_slot * percent))
        .with("waited", input.waited)
        .with("entry_age", placement.entry_age)
        .with("back", *retry_after);
    refuse("overloaded", *retry_after);
}

dispatch::admission_input
forwarded_request::make_admission_input(dispatch::placement const& placement,
                                        time_point now) const
{
    using fraction_ms = std::chrono::duration<double, std::milli>;
    dispatch::admission_input input;
    input.objective = request_.route->objective;
    input.waited = now - began_at_;
    input.expected_first_event = std::chrono::duration_cast<duration>(
        fraction_ms{placement.expected_first_event} *
        placement.estimate_factor);
    input.load_per_slot = placement.load_per_slot;
    input.urgency_rank = urgency();
    input.rank_count = request_.route_table->urgencies().rank_count();
    input.attempt_hash = hash_;
    return input;
}

void forwarded_request::choose_again_after(duration delay)
{
    wait_timer_.expires_after(delay);
    wait_timer_.async_wait(
        [weak = weak_from_this()](std::error_code cancelled) {
            auto const self = weak.lock();
            if (self && !cancelled && !self->finished_) {
                self->choose_server();
            }
        });
}

/// \return rank of the urgency of the request; 0 is the most urgent
std::uint32_t forwarded_request::urgency() const
{
    return request_.route_table->urgencies().rank(
        routes::urgency_of(*request_.route, request_.organisation));
}

/// \return the rank divided by the number of ranks
double forwarded_request::urgency_share() const
{
    return static_cast<double>(urgency()) /
           static_cast<double>(request_.route_table->urgencies().rank_count());
}

std::string
forwarded_request::serialise_head(dispatch::placement const& placement) const
{
    auto head = caller_->head();
    send_metadata metadata;
    metadata.backend_server = placement.backend_server;
    metadata.time_left = time_left(monotonic_clock::now());
    if (request_.organisation != nullptr) {
        metadata.organisation = request_.organisation->name;
    }
    metadata.urgency_rank = urgency();
    metadata.rank_count = request_.route_table->urgencies().rank_count();
    metadata.copy_source_address = placement.copy_source_address;
    metadata.resume_after = last_event_id_;
    context_.protocol.prepare_request(head, metadata);
    return http::serialize_request_head(head, caller_->body().size());
}

void forwarded_request::send_to(dispatch::placement const& placement)
{
    auto const now = monotonic_clock::now();
    auto const address = parse_endpoint(placement.address);
    tried_servers_.push_back(placement.backend_server);
    if (!address) {
        handle_send_failure(dispatch::send_failure::not_sent, "bad_address");
        return;
    }
    auto const unrepeatable = !request_.route->may_run_again();
    auto const work = make_placement_request();
    current_send_ = send_state{};
    current_send_->number = ++send_count_;
    current_send_->placement = placement;
    current_send_->reservation =
        context_.dispatcher.on_sent(work, placement, now);
    current_send_->last_progress_at = now;
    current_send_->connection = context_.pool.acquire(
        placement.backend_server, *address, unrepeatable, now);
    if (work.model_prompt) {
        auto const has_new_parts =
            placement.cached_tokens < work.model_prompt->shared_tokens();
        context_.announce_prompt(
            {placement.backend_server, work.model_prompt->parts},
            has_new_parts);
    }
    log_send(placement, now);
    auto const bodiless = caller_->head().method == "HEAD";
    auto const connection = current_send_->connection;
    connection->start_call(serialise_head(placement), caller_->shared_body(),
                           bodiless, make_call_events(current_send_->number));
}

/// \return time since the connection of the current send was opened; -1 if it
///     is not open yet
duration forwarded_request::connection_age(time_point now) const
{
    auto const opened_at = current_send_->connection->opened_at();
    return opened_at ? now - *opened_at : duration{milliseconds{-1}};
}

void forwarded_request::log_send(dispatch::placement const& placement,
                                 time_point now)
{
    auto const list_position = context_.server_list_position();
    log_entry line{context_.log, log_category::success, "send"};
    line.with("id", request_.metadata.attempt_id)
        .with("server", placement.backend_server)
        .with("version", placement.software_version)
        .with("attempt", send_count_)
        .with("urgency", urgency())
        .with("candidates", placement.candidate_count)
        .with("cost", static_cast<std::int64_t>(placement.cost))
        .with("expected_first_ms",
              static_cast<std::int64_t>(placement.expected_first_event))
        .with("estimate_percent",
              static_cast<std::int64_t>(placement.estimate_factor * percent))
        .with("cached_tokens", placement.cached_tokens)
        .with("copied_tokens", placement.copied_tokens)
        .with("in_flight", static_cast<std::int64_t>(placement.in_flight))
        .with("health", name_of(placement.state))
        .with("list_era", list_position.era)
        .with("list", list_position.offset)
        .with("list_age", context_.server_list_age())
        .with("entry_age", placement.entry_age)
        .with("entry_started", placement.started_unix_ms)
        .with("connection_age", connection_age(now))
        .with("waited", now - began_at_)
        .with("left", time_left(now));
    if (origin_) {
        line.with("continues", origin_->version);
    }
    if (last_event_id_) {
        line.with("after_event", *last_event_id_);
    } else if (request_.metadata.resume_after) {
        line.with("after_event", *request_.metadata.resume_after)
            .with("resumes", request_.metadata.resumed_attempt);
    }
    auto const* const limit =
        context_.dispatcher.rate_limit_of(placement.backend_server);
    if (placement.withheld_count > 0) {
        line.with("withheld", placement.withheld_count);
        context_.metrics.count_rate_limit_decision("placed_elsewhere");
    }
    if (limit != nullptr && limit->requests_per_second()) {
        context_.metrics.count_rate_limit_decision("sent");
        line.with("limit_per_second",
                  std::to_string(*limit->requests_per_second()))
            .with("limit_age", now - limit->observed_at().value_or(now));
    }
}

http::call_events forwarded_request::make_call_events(std::uint64_t number)
{
    // Events of a send that has already ended are ignored.
    auto const current = [weak = weak_from_this(),
                          number]() -> std::shared_ptr<forwarded_request> {
        auto self = weak.lock();
        auto const valid = self && self->current_send_ &&
                           self->current_send_->number == number;
        return valid ? self : nullptr;
    };
    http::call_events events;
    events.is_response_to_call = [current](http::response_head const& head) {
        auto const self = current();
        return self && self->belongs_to_request(head);
    };
    events.interim = [current](http::response_head const& head) {
        if (auto const self = current()) {
            self->on_interim_head(head);
        }
    };
    events.may_send = [current] {
        auto const self = current();
        return self && self->confirm_send();
    };
    events.head = [current](http::response_head& head,
                            http::body_framing framing) {
        if (auto const self = current()) {
            self->current_send_->ends_with_connection =
                framing == http::body_framing::until_close;
            self->on_head(head);
        }
    };
    events.body = [current](std::string const& bytes) {
        if (auto const self = current()) {
            self->on_body(bytes);
        }
    };
    events.complete = [current] {
        if (auto const self = current()) {
            self->on_answer_end();
        }
    };
    events.failed = [current](http::call_failure failure) {
        if (auto const self = current()) {
            self->on_failed(failure);
        }
    };
    return events;
}

void forwarded_request::end_send(dispatch::send_outcome outcome)
{
    if (!current_send_) {
        return;
    }
    constexpr std::array names = {"good", "failed", "turned_away", "withdrawn"};
    context_.metrics.count_attempt(names.at(static_cast<std::size_t>(outcome)));
    context_.dispatcher.on_send_ended(current_send_->reservation, outcome,
                                      monotonic_clock::now());
    auto const connection = std::move(current_send_->connection);
    current_send_.reset();
    count_held_answer();
    if (connection && !connection->reusable()) {
        connection->cancel();
    }
}

} // namespace medlarstall::gateway
