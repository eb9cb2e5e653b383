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
constexpr int http_ok = 200;
/// Status of a response that did not arrive completely in time.
constexpr int no_response = 0;
/// Longest body, in bytes, of a response to a request of the gateway itself.
constexpr std::size_t max_internal_response_bytes = 8388608;

/// Idle connections are closed this long after a shutdown began.
constexpr milliseconds idle_connection_time{2500};
/// Shortest duration of a shutdown, so that clients that still use the address
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
    auto const now = decision_clock::now();
    detect_sleep();
    last_tick_ = now;
    for (auto* const listener :
         {&entry_, &ready_, &directory_, &peers_, &metrics_listener_}) {
        listener->sweep(now);
    }
    pool_.trim(now);
    update_list_reachable(now);
    dispatcher_.expire(now, [this](std::string const& id) {
        pool_.drop(id);
        decision_line{log_, line_kind::belief, "backend_server"}
            .with("server", id)
            .with("change", "lapsed_for_good")
            .with("offset", servers_follower_->position().offset);
    });
    check_requests(now);
    refuse_waiting(early_.take_expired(now));
    send_probes(now);
    learn_kept_parts(now);
    update_cell();
    choose_readers(now);
    restore_registration();
    drop_lost_members(now);
    fetch_from_peers(now);
    send_news(now);
    log_.tick(now);
    progress_stop(now);
    schedule_tick();
}

void gateway::detect_sleep()
{
    auto const total_suspended = total_suspended_time();
    auto const suspended = total_suspended - asleep_.value_or(total_suspended);
    asleep_ = total_suspended;
    auto const since_tick = decision_clock::now() - last_tick_;
    if (suspended < min_suspension && since_tick < min_suspension) {
        return;
    }
    decision_line{log_, line_kind::belief, "woke"}
        .with("asleep", suspended)
        .with("missed", since_tick);
    auto const now = decision_clock::now();
    auto const requests = requests_;
    for (auto const& request : requests) {
        request->note_pause(std::chrono::duration_cast<duration>(suspended),
                            now);
    }
    pool_.drop_all();
    configuration_follower_->read_now();
    servers_follower_->read_now();
    members_follower_->read_now();
}

void gateway::check_requests(time_point now)
{
    auto const requests = requests_;
    for (auto const& request : requests) {
        request->check(now);
    }
}

void gateway::send_probes(time_point now)
{
    for (auto const& entry : dispatcher_.due_probes(now)) {
        probe(entry);
    }
}

void gateway::probe(dispatch::backend_server_entry const& entry)
{
    auto const* const service =
        table_ ? table_->find_service(entry.service) : nullptr;
    auto const address = parse_endpoint(entry.address);
    if (service == nullptr || !address) {
        on_probe(entry.id, false, "unknown");
        return;
    }
    constexpr milliseconds probe_timeout{600};
    side_call(*address, {"GET", service->health_path, {}}, probe_timeout,
              [this, id = entry.id](http::response const& response) {
                  judge_probe(id, response);
              });
}

void gateway::judge_probe(std::string const& id, http::response const& answer)
{
    auto const facts = translations_.protocol.read_answer(answer.head);
    if (facts.backend_server.value_or(id) == id) {
        note_server_facts(id, facts);
    }
    if (answer.head.status == no_response) {
        on_probe(id, false, "silent");
    } else if (facts.backend_server && *facts.backend_server != id) {
        on_probe(id, false, "other_server");
    } else {
        on_probe(id, answer.head.status == http_ok, "answered");
    }
}

void gateway::on_probe(std::string const& id, bool good, char const* reason)
{
    auto const now = decision_clock::now();
    auto* const state = dispatcher_.health_of(id);
    if (state == nullptr) {
        return;
    }
    auto const before = state->state();
    if (good) {
        state->on_probe_good(now);
    } else {
        state->on_probe_failed(now);
        note_down(id, now);
    }
    log_health(id, before, state->state(), reason);
}

void gateway::on_unreachable(std::string const& id)
{
    auto const now = decision_clock::now();
    auto* const state = dispatcher_.health_of(id);
    if (state == nullptr) {
        return;
    }
    auto const before = state->state();
    state->on_unreachable(now);
    note_down(id, now);
    log_health(id, before, state->state(), "not_connected");
}

void gateway::note_down(std::string const& id, time_point now)
{
    pool_.drop(id);
    for (auto const& note : dispatcher_.crashes().note_down(id, now)) {
        crashes_to_tell_.push_back(note);
        decision_line{log_, line_kind::belief, "crash"}
            .with("server", id)
            .with("fingerprint", note.request);
    }
}

void gateway::log_health(std::string const& id, dispatch::health before,
                         dispatch::health after, char const* reason)
{
    if (before != after) {
        decision_line{log_, line_kind::belief, "health"}
            .with("server", id)
            .with("before", name_of(before))
            .with("now", name_of(after))
            .with("reason", reason);
    }
}

/// Sends a request on behalf of the gateway itself rather than of a client. The
/// handler is called once, with status no_response if no complete response
/// arrived in time.
void gateway::side_call(asio::ip::tcp::endpoint const& address,
                        http::request_head head, milliseconds timeout,
                        std::function<void(http::response const&)> done)
{
    auto const call =
        std::make_shared<http::upstream_connection>(context_, address);
    auto const received = std::make_shared<http::response>();
    auto const timer = std::make_shared<asio::steady_timer>(context_, timeout);
    side_calls_.insert(call);
    auto const finish = [this, call, timer, received,
                         done = std::move(done)](bool complete) {
        if (side_calls_.erase(call) > 0) {
            timer->cancel();
            done(complete ? *received : http::response{});
            call->cancel();
        }
    };
    http::call_events events;
    events.belongs = [](http::response_head const&) {
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
    events.failed = [finish](http::call_failure) {
        finish(false);
    };
    timer->async_wait([finish](std::error_code cancelled) {
        if (!cancelled) {
            finish(false);
        }
    });
    head.headers.add("Host", text_of(address));
    call->start_call(http::write_request(head, {}), false, std::move(events));
}

void gateway::stop(std::function<void()> over)
{
    if (stopping_since_) {
        return;
    }
    over_ = std::move(over);
    stopping_since_ = decision_clock::now();
    decision_line{log_, line_kind::belief, "stop"}
        .with("requests", requests_.size())
        .with("connections", entry_.size())
        .with("grace", settings_.grace);
    register_member(false);
    refuse_waiting(early_.take_all());
    entry_.drain();
    send_news(*stopping_since_);
}

void gateway::progress_stop(time_point now)
{
    if (!stopping_since_ || !over_) {
        return;
    }
    auto const elapsed = now - *stopping_since_;
    if (elapsed > idle_connection_time) {
        entry_.close_idle(now);
    }
    if (elapsed > taken_while_stopping) {
        entry_.close(); // Refused clients try another address at once.
    }
    auto const grace_nearly_over = elapsed > settings_.grace - shutdown_margin;
    auto const idle = requests_.empty() && !entry_.busy();
    if (!grace_nearly_over && (elapsed < min_shutdown_time || !idle)) {
        return;
    }
    auto const unfinished = requests_;
    for (auto const& request : unfinished) {
        request->stop();
    }
    decision_line{log_, line_kind::belief, "stopped"}
        .with("after", elapsed)
        .with("cut_off", unfinished.size());
    log_.tick(now);
    for (auto const& follower :
         {configuration_follower_, servers_follower_, members_follower_}) {
        follower->stop();
    }
    std::exchange(over_, nullptr)();
}

} // namespace medlarstall::gateway
