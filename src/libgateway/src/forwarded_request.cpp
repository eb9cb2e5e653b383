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

constexpr milliseconds least_useful_time{5};
constexpr milliseconds silent_stream{1200};
constexpr milliseconds crash_return{5000};
constexpr double percent = 100.0;

std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

milliseconds whole_ms(duration span)
{
    return std::chrono::duration_cast<milliseconds>(span);
}

} // namespace

forwarded_request::forwarded_request(
    request_context& shared, admitted_request request,
    std::unique_ptr<http::exchange> caller,
    std::function<void(forwarded_request*)> over)
    : shared_{shared}, request_{std::move(request)}, caller_{std::move(caller)},
      over_{std::move(over)}, deadline_timer_{shared.loop},
      wait_timer_{shared.loop}, began_{caller_->read_at()}
{
    hash_ = hash_of(request_.facts.attempt_id);
    service_ = routes::pick_service(*request_.route, hash_);
    auto limit = request_.route->time_limit;
    if (request_.facts.time_left) {
        limit = std::min(limit, *request_.facts.time_left);
    }
    deadline_ = began_ + limit;
}

std::uint64_t forwarded_request::make_fingerprint() const
{
    auto const& head = caller_->head();
    auto const path = hash_of(http::path_of(head.target));
    auto const* const holder = request_.organisation;
    auto const who = hash_of(holder != nullptr ? holder->name : "", path);
    return hash_of(caller_->body(), who);
}

void forwarded_request::start()
{
    auto const now = decision_clock::now();
    caller_->on_caller_left([weak = weak_from_this()] {
        if (auto const self = weak.lock()) {
            self->on_caller_left();
        }
    });
    caller_->on_drained([weak = weak_from_this()] {
        auto const self = weak.lock();
        if (self && self->send_) {
            self->send_->connection->resume();
        }
    });
    arm_deadline();
    fingerprint_ = make_fingerprint();
    shared_.dispatcher.note_request(service_, now);
    if (shared_.dispatcher.crashes().refuses(fingerprint_, now)) {
        refuse("crashes_backend_servers", crash_return);
        return;
    }
    look_for_server();
}

void forwarded_request::arm_deadline()
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

dispatch::work forwarded_request::work_to_place() const
{
    dispatch::work wanted;
    wanted.service = service_;
    wanted.asked = request_.facts.asked;
    auto const* const service = request_.table->find_service(service_);
    if (service != nullptr && service->model) {
        wanted.sensitivity = dispatch::pause_sensitivity(
            request_.route->pause_objective, service->model->tokens_per_event);
    }
    wanted.hash = hash_;
    wanted.excluded = tried_;
    return wanted;
}

milliseconds forwarded_request::time_left(time_point now) const
{
    return whole_ms(deadline_ - now);
}

void forwarded_request::look_for_server()
{
    auto const now = decision_clock::now();
    if (time_left(now) < least_useful_time) {
        return; // The deadline timer answers.
    }
    auto const where = shared_.dispatcher.choose(work_to_place(), now);
    if (where) {
        send_or_refuse(*where, now);
        return;
    }
    auto const pause =
        dispatch::pause_before_next_look(*request_.route, now - began_);
    if (pause > duration::zero()) {
        look_again_after(pause);
    } else if (attempts_.may_have_run) {
        give_up(bad_gateway, "no_other_backend_server");
    } else {
        refuse("no_backend_server",
               return_when_wanted(dispatch::no_server_return));
    }
}

/// Sends a request to its choice. A first send to a model is refused if there
/// is too much to do already.
void forwarded_request::send_or_refuse(dispatch::placement const& where,
                                       time_point now)
{
    auto const decides =
        shared_.dispatcher.uses(dispatch::mechanism::admission);
    if (!decides || !request_.facts.asked || sends_ > 0) {
        send_to(where);
        return;
    }
    auto const facts = admission(where, now);
    auto const back = dispatch::refusal_of(facts);
    if (!back) {
        send_to(where);
        return;
    }
    decision_line{shared_.log, line_kind::failure, "refused"}
        .with("id", request_.facts.attempt_id)
        .with("server", where.backend_server)
        .with("urgency", facts.urgency)
        .with("expected_first", facts.expected_first)
        .with("estimate_percent",
              static_cast<std::int64_t>(where.estimate_factor * percent))
        .with("batches_percent",
              static_cast<std::int64_t>(facts.mean_batches * percent))
        .with("waited", facts.waited)
        .with("entry_age", where.entry_age)
        .with("back", *back);
    refuse("overloaded", *back);
}

dispatch::admission_facts
forwarded_request::admission(dispatch::placement const& where,
                             time_point now) const
{
    using fraction_ms = std::chrono::duration<double, std::milli>;
    dispatch::admission_facts facts;
    facts.objective = request_.route->objective;
    facts.waited = now - began_;
    facts.expected_first = std::chrono::duration_cast<duration>(
        fraction_ms{where.expected_first_event} * where.estimate_factor);
    facts.mean_batches = where.mean_batches;
    facts.urgency = urgency();
    facts.urgencies = request_.table->urgencies().ranks();
    facts.hash = hash_;
    return facts;
}

void forwarded_request::look_again_after(duration pause)
{
    wait_timer_.expires_after(pause);
    wait_timer_.async_wait(
        [weak = weak_from_this()](std::error_code cancelled) {
            auto const self = weak.lock();
            if (self && !cancelled && !self->over_told_) {
                self->look_for_server();
            }
        });
}

/// \return its rank among all requests; 0 is the most urgent
std::uint32_t forwarded_request::urgency() const
{
    return request_.table->urgencies().rank(
        routes::urgency_of(*request_.route, request_.organisation));
}

std::string
forwarded_request::request_text(dispatch::placement const& where) const
{
    auto head = caller_->head();
    send_facts facts;
    facts.backend_server = where.backend_server;
    facts.time_left = time_left(decision_clock::now());
    if (request_.organisation != nullptr) {
        facts.organisation = request_.organisation->name;
    }
    facts.urgency = urgency();
    facts.urgencies = request_.table->urgencies().ranks();
    facts.copy_prompt_from = where.copy_from;
    facts.resume_after = last_event_;
    shared_.protocol.prepare_send(head, facts);
    return http::write_request(head, caller_->body());
}

void forwarded_request::send_to(dispatch::placement const& where)
{
    auto const now = decision_clock::now();
    auto const address = parse_endpoint(where.address);
    tried_.push_back(where.backend_server);
    if (!address) {
        after_failure(dispatch::send_failure::not_sent, "bad_address");
        return;
    }
    auto const once = !request_.route->may_run_again();
    auto const wanted = work_to_place();
    send_ = send{};
    send_->number = ++sends_;
    send_->where = where;
    send_->held = shared_.dispatcher.note_sent(wanted, where, now);
    send_->last_progress = now;
    send_->connection =
        shared_.pool.take(where.backend_server, *address, once, now);
    if (wanted.asked) {
        auto const news = where.cached_tokens < wanted.asked->shared_tokens();
        shared_.tell_prompt({where.backend_server, wanted.asked->parts}, news);
    }
    auto const list = shared_.list_position();
    decision_line{shared_.log, line_kind::success, "send"}
        .with("id", request_.facts.attempt_id)
        .with("server", where.backend_server)
        .with("attempt", sends_)
        .with("urgency", urgency())
        .with("candidates", where.candidates)
        .with("cost", static_cast<std::int64_t>(where.cost))
        .with("expected_first_ms",
              static_cast<std::int64_t>(where.expected_first_event))
        .with("estimate_percent",
              static_cast<std::int64_t>(where.estimate_factor * percent))
        .with("cached_tokens", where.cached_tokens)
        .with("copied_tokens", where.copied_tokens)
        .with("in_flight", static_cast<std::int64_t>(where.in_flight))
        .with("health", name_of(where.state))
        .with("list_era", list.era)
        .with("list", list.offset)
        .with("entry_age", where.entry_age)
        .with("waited", now - began_)
        .with("left", time_left(now));
    auto const bodiless = caller_->head().method == "HEAD";
    auto const connection = send_->connection;
    connection->start_call(request_text(where), bodiless,
                           events_of_send(send_->number));
}

http::call_events forwarded_request::events_of_send(std::uint64_t number)
{
    // Events of a send that was ended meanwhile are dropped.
    auto const current = [weak = weak_from_this(),
                          number]() -> std::shared_ptr<forwarded_request> {
        auto self = weak.lock();
        auto const valid = self && self->send_ && self->send_->number == number;
        return valid ? self : nullptr;
    };
    http::call_events events;
    events.belongs = [current](http::response_head const& head) {
        auto const self = current();
        return self && self->belongs(head);
    };
    events.interim = [current](http::response_head const& head) {
        if (auto const self = current()) {
            self->on_interim(head);
        }
    };
    events.head = [current](http::response_head& head, http::body_framing) {
        if (auto const self = current()) {
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
            self->on_complete();
        }
    };
    events.failed = [current](http::call_failure failure) {
        if (auto const self = current()) {
            self->on_failed(failure);
        }
    };
    return events;
}

void forwarded_request::on_failed(http::call_failure failure)
{
    if (send_->turned_away) {
        on_turned_away();
        return;
    }
    auto const now = decision_clock::now();
    auto const server = send_->where.backend_server;
    auto* const state = shared_.dispatcher.health_of(server);
    if (failure == http::call_failure::not_connected) {
        shared_.note_unreachable(server);
    } else if (failure != http::call_failure::malformed) {
        if (state != nullptr) {
            state->on_suspicion(now);
        }
        shared_.dispatcher.crashes().note_loss(fingerprint_, server, now);
    }
    auto const unsent = http::certainly_not_sent(failure);
    end_send(unsent ? dispatch::send_outcome::withdrawn
                    : dispatch::send_outcome::failed);
    after_failure(unsent ? dispatch::send_failure::not_sent
                         : dispatch::send_failure::lost,
                  name_of(failure));
}

bool forwarded_request::has_budget(dispatch::send_failure failure)
{
    if (failure == dispatch::send_failure::not_sent) {
        return true;
    }
    return shared_.dispatcher.try_retry(service_, shared_.daemons(),
                                        decision_clock::now());
}

/// \return false if events have gone out and the stream cannot be resumed
bool forwarded_request::can_go_on() const
{
    if (!caller_->begun()) {
        return true;
    }
    return request_.route->resumable && last_event_.has_value();
}

/// \return true if another backend server may run it after this send
bool forwarded_request::may_run_elsewhere() const
{
    auto const& route = *request_.route;
    return route.may_run_again() && can_go_on() &&
           attempts_.reached + 1 < route.attempts;
}

void forwarded_request::after_failure(dispatch::send_failure failure,
                                      char const* reason)
{
    auto step = dispatch::step_after(*request_.route, attempts_, failure);
    if (step == dispatch::next_step::send_again &&
        (!can_go_on() || !has_budget(failure))) {
        step = dispatch::final_step(attempts_);
    }
    log_failed_send(reason, step);
    switch (step) {
    case dispatch::next_step::send_again:
        look_for_server();
        break;
    case dispatch::next_step::refuse:
        refuse("not_run", return_when_wanted(dispatch::turned_away_return));
        break;
    case dispatch::next_step::give_up:
        if (caller_->begun()) {
            break_off(reason);
        } else {
            give_up(bad_gateway, reason);
        }
        break;
    }
}

void forwarded_request::log_failed_send(char const* reason,
                                        dispatch::next_step step)
{
    decision_line{shared_.log, line_kind::failure, "send_failed"}
        .with("id", request_.facts.attempt_id)
        .with("server", tried_.empty() ? "" : tried_.back())
        .with("reason", reason)
        .with("reached", attempts_.reached)
        .with("may_have_run", attempts_.may_have_run ? "yes" : "no")
        .with("step", name_of(step))
        .with("left", time_left(decision_clock::now()));
}

void forwarded_request::end_send(dispatch::send_outcome outcome)
{
    if (!send_) {
        return;
    }
    constexpr std::array names = {"good", "failed", "turned_away", "withdrawn"};
    shared_.metrics.count_send(names.at(static_cast<std::size_t>(outcome)));
    shared_.dispatcher.note_end(send_->held, outcome, decision_clock::now());
    auto const connection = std::move(send_->connection);
    send_.reset();
    if (connection && !connection->reusable()) {
        connection->cancel();
    }
}

milliseconds forwarded_request::patience() const
{
    auto const& route = *request_.route;
    if (route.kind == routes::route_kind::stream) {
        return std::max(route.objective, silent_stream);
    }
    constexpr int objectives = 2;
    return route.objective * objectives;
}

/// \return time between two events after which a stream is stuck, also at a
///     backend server that seems well
milliseconds forwarded_request::longest_silence() const
{
    constexpr int pauses = 4; // A slow server may miss its objective by far.
    return std::max(2 * silent_stream,
                    pauses * request_.route->pause_objective);
}

void forwarded_request::note_pause(duration asleep, time_point now)
{
    if (over_told_) {
        return;
    }
    if (send_) {
        send_->last_progress = now;
    }
    if (asleep > duration::zero()) {
        deadline_ -= asleep;
        arm_deadline();
    }
}

void forwarded_request::check(time_point now)
{
    if (!send_ || over_told_) {
        return;
    }
    auto const silent = now - send_->last_progress;
    auto* const state =
        shared_.dispatcher.health_of(send_->where.backend_server);
    auto const expected = milliseconds{
        static_cast<std::int64_t>(send_->where.expected_first_event)};
    auto const suspicious =
        send_->held.answered ? silent_stream : patience() + 2 * expected;
    if (silent < suspicious) {
        return;
    }
    if (state != nullptr) {
        state->on_silence(now);
    }
    auto const down =
        state == nullptr || state->state() == dispatch::health::down;
    auto const plain = request_.route->kind == routes::route_kind::repeatable;
    auto const stuck = send_->held.answered && silent > longest_silence();
    if (!may_run_elsewhere() || !(down || plain || stuck)) {
        return;
    }
    end_send(dispatch::send_outcome::failed);
    after_failure(dispatch::send_failure::lost, "silent");
}

} // namespace medlarstall::gateway
