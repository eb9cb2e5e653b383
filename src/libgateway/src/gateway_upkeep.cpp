// Periodic tasks of a gateway, health probes, requests that the gateway makes
// itself, and its shutdown.

#include <medlarstall/gateway/gateway.hpp>

#include "address_text.hpp"

#include <time.h>

#include <functional>
#include <utility>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tick_interval{100};
/// A suspension, or a gap between two ticks, of at least this length is treated
/// as a wake-up of the machine.
constexpr milliseconds min_suspension{1000};
/// Shorter ones do not matter to callers.
constexpr milliseconds min_noted_suspension{50};
/// A longer time between two ticks is a stall of this daemon.
constexpr milliseconds max_tick_gap{250};
constexpr int http_ok = 200;
/// Status of a response that did not arrive completely in time.
constexpr int no_response = 0;
/// Longest body, in bytes, of a response to a request of the gateway itself.
constexpr std::size_t max_internal_response_bytes = 8388608;

/// Idle connections are closed this long after a shutdown began.
constexpr milliseconds idle_connection_time{2500};
/// Shortest duration of a shutdown, so that callers that still use the address
/// of this daemon get a response.
constexpr milliseconds min_shutdown_time{3500};
/// Requests in flight are stopped this long before the grace period ends.
constexpr milliseconds shutdown_margin{700};

/// \return total time that the machine has been suspended since it booted
std::chrono::nanoseconds total_suspended_time()
{
    timespec with_suspension{};
    timespec without_suspension{};
    ::clock_gettime(CLOCK_BOOTTIME, &with_suspension);
    ::clock_gettime(CLOCK_MONOTONIC, &without_suspension);
    return std::chrono::seconds{with_suspension.tv_sec -
                                without_suspension.tv_sec} +
           std::chrono::nanoseconds{with_suspension.tv_nsec -
                                    without_suspension.tv_nsec};
}

} // namespace

void gateway::schedule_tick()
{
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait([this](std::error_code cancelled) {
        if (!cancelled) {
            tick();
        }
    });
}

void gateway::tick()
{
    auto const now = monotonic_clock::now();
    update_hearing(now);
    detect_suspension();
    capacity_.on_tick(now - last_tick_at_ - tick_interval);
    last_tick_at_ = now;
    answer_ends_.note_running(now);
    update_usage(now);
    for (auto* const listener :
         {&entry_listener_, &ready_listener_, &directory_listener_,
          &peer_listener_, &metrics_listener_}) {
        listener->close_expired(now);
    }
    pool_.close_expired(now);
    update_ages(now);
    dispatcher_.expire(now, [this](std::string const& id) {
        pool_.close_idle(id);
        log_entry{log_, log_category::belief, "backend_server"}
            .with("server", id)
            .with("change", "lapsed_for_good")
            .with("offset", servers_follower_->position().offset);
    });
    check_requests(now);
    dispatcher_.crashes().parts().update(now);
    update_failed_elsewhere(now);
    check_lost_paths(now);
    report_held_losses(now);
    log_blame_changes(settings_.name);
    refuse_early_requests(early_requests_.take_expired(now));
    update_limit_sharers(now);
    update_retry_sharers(now);
    send_probes(now);
    processes_.expire(now);
    process_queries_.expire(now);
    request_initial_parts(now);
    update_cell();
    update_reader_role(now);
    update_origins(now);
    verify_registration();
    remove_lost_members(now);
    fetch_records_from_peers(now);
    read_outdated_topics(now);
    update_duties(now);
    send_peer_update(now);
    if (update_sent_at_ != now) {
        send_forwarding_updates();
    }
    log_.tick(now);
    advance_stop(now);
    schedule_tick();
}

/// \return time for which the machine was suspended since the last tick
duration gateway::new_suspension() const
{
    auto const total = total_suspended_time();
    auto const since = total - suspended_time_.value_or(total);
    // The two clocks are not read at the same moment.
    return since >= min_noted_suspension
               ? std::chrono::duration_cast<duration>(since)
               : duration::zero();
}

/// \return true if this daemon has not run for a while, so that what it reads
///     now may be as old as its last tick
bool gateway::stalled_since_tick(time_point now) const
{
    return now - last_tick_at_ > max_tick_gap ||
           new_suspension() > duration::zero();
}

void gateway::update_hearing(time_point now)
{
    if (stalled_since_tick(now)) {
        heard_daemons_.on_stall(now);
    }
    heard_daemons_.expire(now);
    recent_suspension_ = new_suspension();
}

void gateway::detect_suspension()
{
    auto const total_suspended = total_suspended_time();
    auto const suspended =
        total_suspended - suspended_time_.value_or(total_suspended);
    suspended_time_ = total_suspended;
    auto const since_tick = monotonic_clock::now() - last_tick_at_;
    if (suspended < min_suspension && since_tick < min_suspension) {
        return;
    }
    log_entry{log_, log_category::state_change, "woke"}
        .with("asleep", suspended)
        .with("missed", since_tick);
    auto const now = monotonic_clock::now();
    auto const requests = requests_;
    for (auto const& request : requests) {
        request->note_suspension(
            std::chrono::duration_cast<duration>(suspended), now);
    }
    if (duty_service_) {
        duty_service_->on_suspended();
    }
    if (usage_ && suspended >= min_suspension) {
        usage_->on_suspended();
        update_usage(now);
    }
    pool_.close_all_idle();
    answer_ends_.give_up();
    for (auto* const age : {&servers_age_, &configuration_age_}) {
        age->on_suspended(std::chrono::duration_cast<duration>(suspended));
    }
    for (auto const& follower :
         {configuration_follower_, servers_follower_, members_follower_}) {
        follower->doubt_store();
        follower->read_now();
    }
}

void gateway::check_requests(time_point now)
{
    auto const requests = requests_;
    for (auto const& request : requests) {
        request->check_caller(now);
        request->check_silence(now);
    }
}

void gateway::send_probes(time_point now)
{
    for (auto const& entry : dispatcher_.take_due_probes(now)) {
        send_probe(entry);
    }
}

void gateway::send_probe(dispatch::backend_server_entry const& entry)
{
    auto const* const service =
        route_table_ ? route_table_->find_service(entry.service) : nullptr;
    auto const address = parse_endpoint(entry.address);
    if (service == nullptr || !address) {
        on_probe_result(entry.id, false, "unknown");
        return;
    }
    constexpr milliseconds probe_timeout{600};
    send_internal_call(*address, {"GET", service->health_path, {}},
                       probe_timeout,
                       [this, id = entry.id, started = entry.started_unix_ms](
                           http::response const& response) {
                           evaluate_probe(id, started, response);
                       });
}

void gateway::evaluate_probe(std::string const& id,
                             std::int64_t started_unix_ms,
                             http::response const& answer)
{
    auto const facts = adapter_.protocol.parse_answer(answer.head);
    note_probe_path(id, answer.head.status != no_response,
                    monotonic_clock::now());
    auto const answered = answer.head.status != no_response;
    auto const is_other = facts.backend_server.value_or(id) != id;
    auto const good = answer.head.status == http_ok && !is_other;
    auto const* reason = is_other ? "other_server" : "answered";
    if (!answered) {
        reason = "silent";
    }
    if (dispatcher_.is_listed_run(id, started_unix_ms)) {
        if (!is_other) {
            on_server_metadata(id, facts, std::nullopt);
        }
        on_probe_result(id, good, reason);
    }
    if (answered && !is_other) {
        dispatcher_.on_server_answer(id, monotonic_clock::now());
    } else {
        note_server_failure(id, started_unix_ms, dispatch::report_kind::silent);
    }
    // A run that answers has not crashed, even if it rejects the probe.
    if (!answered || is_other) {
        on_server_down(id, started_unix_ms, monotonic_clock::now());
    }
}

void gateway::on_probe_result(std::string const& id, bool good,
                              char const* reason)
{
    auto const now = monotonic_clock::now();
    auto* const state = dispatcher_.health_tracker_of(id);
    if (state == nullptr) {
        return;
    }
    auto const before = state->state();
    if (good) {
        state->on_probe_succeeded(now);
    } else {
        state->on_probe_failed(now);
    }
    log_health_change(id, before, state->state(), reason);
}

void gateway::on_server_unreachable(std::string const& id,
                                    std::int64_t started_unix_ms, bool refused)
{
    auto const now = monotonic_clock::now();
    note_server_failure(id, started_unix_ms,
                        refused ? dispatch::report_kind::refused
                                : dispatch::report_kind::silent);
    on_server_down(id, started_unix_ms, now);
    auto* const state = dispatcher_.health_tracker_of(id);
    if (state == nullptr || !dispatcher_.is_listed_run(id, started_unix_ms)) {
        return;
    }
    auto const before = state->state();
    state->on_unreachable(now);
    log_health_change(id, before, state->state(), "not_connected");
}

void gateway::log_blame_changes(std::string const& told_by)
{
    for (auto const& change : dispatcher_.crashes().parts().take_changes()) {
        metrics_.count_state_change(change.blamed ? "part_blamed"
                                                  : "part_released");
        log_entry{log_, log_category::state_change, "crashing_part"}
            .with("part", change.part)
            .with("change", change.blamed ? "blamed" : "released")
            .with("crashes", change.crashes)
            .with("told_by", change.told ? told_by : settings_.name);
    }
}

void gateway::log_health_change(std::string const& id, dispatch::health before,
                                dispatch::health after, char const* reason)
{
    if (before != after) {
        log_entry{log_, log_category::state_change, "health"}
            .with("server", id)
            .with("before", name_of(before))
            .with("now", name_of(after))
            .with("reason", reason);
    }
}

/// Sends a request on behalf of the gateway itself rather than of a caller, on
/// a connection of its own. The handler is called once, with status no_response
/// if no complete response arrived in time.
void gateway::send_internal_call(
    asio::ip::tcp::endpoint const& address, http::request_head head,
    milliseconds timeout, std::function<void(http::response const&)> done)
{
    auto const call =
        std::make_shared<http::upstream_connection>(context_, address);
    start_internal_call(
        call, address, std::move(head), timeout,
        [call, done = std::move(done)](internal_outcome const& outcome) {
            done(outcome.response);
            call->cancel();
        });
}

/// Sends a request on behalf of the gateway itself on the given connection,
/// which belongs to the handler when it is called.
void gateway::start_internal_call(
    connection_pool::connection const& call,
    asio::ip::tcp::endpoint const& address, http::request_head head,
    milliseconds timeout, std::function<void(internal_outcome const&)> done)
{
    auto const received = std::make_shared<http::response>();
    auto const timer = std::make_shared<asio::steady_timer>(context_, timeout);
    internal_calls_.insert(call);
    auto const finish = [this, call, timer, received, done = std::move(done)](
                            bool complete,
                            std::optional<http::call_failure> failure = {}) {
        if (internal_calls_.erase(call) > 0) {
            timer->cancel();
            done({complete ? *received : http::response{}, failure});
        }
    };
    http::call_events events;
    events.is_response_to_call = [](http::response_head const&) {
        return true;
    };
    events.head = [received](http::response_head& received_head,
                             http::body_framing) {
        received->head = received_head;
    };
    events.body = [received, finish](std::string const& bytes) {
        received->body += bytes;
        if (received->body.size() > max_internal_response_bytes) {
            finish(false);
        }
    };
    events.complete = [finish] {
        finish(true);
    };
    events.failed = [finish](http::call_failure failure) {
        finish(false, failure);
    };
    timer->async_wait([finish](std::error_code cancelled) {
        if (!cancelled) {
            finish(false);
        }
    });
    head.headers.add("Host", format_endpoint(address));
    call->start_call(http::serialize_request(head, {}), false,
                     std::move(events));
}

void gateway::stop(std::function<void()> on_stopped)
{
    if (stopping_since_) {
        return;
    }
    on_stopped_ = std::move(on_stopped);
    stopping_since_ = monotonic_clock::now();
    log_entry{log_, log_category::state_change, "stop"}
        .with("requests", requests_.size())
        .with("connections", entry_listener_.size())
        .with("grace", settings_.grace_period);
    // Peers do not listen to a daemon that they know to have left.
    if (duty_service_) {
        duty_service_->stop();
    }
    write_registration(false);
    refuse_early_requests(early_requests_.take_all());
    entry_listener_.drain();
    tell_all_usage_ = true;
    send_peer_update(*stopping_since_);
}

void gateway::advance_stop(time_point now)
{
    if (!stopping_since_ || !on_stopped_) {
        return;
    }
    auto const elapsed = now - *stopping_since_;
    if (elapsed > idle_connection_time) {
        entry_listener_.close_idle(now);
    }
    if (elapsed > stop_accept_period(settings_.grace_period)) {
        entry_listener_.close(); // Refused callers try another address at once.
    }
    auto const grace_nearly_over =
        elapsed > settings_.grace_period - shutdown_margin;
    auto const idle = requests_.empty() && !entry_listener_.busy();
    if (!grace_nearly_over && (elapsed < min_shutdown_time || !idle)) {
        return;
    }
    auto const unfinished = requests_;
    for (auto const& request : unfinished) {
        request->stop();
    }
    log_entry{log_, log_category::state_change, "stopped"}
        .with("after", elapsed)
        .with("cut_off", unfinished.size());
    tell_all_usage(now);
    log_.tick(now);
    for (auto const& follower :
         {configuration_follower_, servers_follower_, members_follower_}) {
        follower->stop();
    }
    std::exchange(on_stopped_, nullptr)();
}

} // namespace medlarstall::gateway
