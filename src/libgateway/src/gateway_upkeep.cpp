// What a gateway does by the clock: probes, news, peers, and its stop.

#include <medlarstall/gateway/gateway.hpp>

#include "address_text.hpp"

#include <time.h>

#include <functional>
#include <utility>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tick_interval{100};
constexpr milliseconds slept_from{1000};
constexpr int ok = 200;
constexpr int no_answer = 0;
/// Longest answer to a call of its own, in bytes.
constexpr std::size_t most_side_answer = 8388608;

/// Idle connections are closed this long after a stop began.
constexpr milliseconds idle_kept{2500};
/// The earliest end, so that callers with old addresses are still answered.
constexpr milliseconds shortest_stop{3500};
constexpr milliseconds end_margin{700};

/// \return how long the machine has been suspended since it started
std::chrono::nanoseconds time_asleep()
{
    timespec with_sleep{};
    timespec without{};
    ::clock_gettime(CLOCK_BOOTTIME, &with_sleep);
    ::clock_gettime(CLOCK_MONOTONIC, &without);
    return std::chrono::seconds{with_sleep.tv_sec - without.tv_sec} +
           std::chrono::nanoseconds{with_sleep.tv_nsec - without.tv_nsec};
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
    auto const asleep = time_asleep();
    auto const slept = asleep - asleep_.value_or(asleep);
    asleep_ = asleep;
    auto const missed = decision_clock::now() - last_tick_;
    if (slept < slept_from && missed < slept_from) {
        return;
    }
    decision_line{log_, line_kind::belief, "woke"}
        .with("asleep", slept)
        .with("missed", missed);
    auto const now = decision_clock::now();
    auto const current = requests_;
    for (auto const& request : current) {
        request->note_pause(std::chrono::duration_cast<duration>(slept), now);
    }
    pool_.drop_all();
    configuration_follower_->read_now();
    servers_follower_->read_now();
    members_follower_->read_now();
}

void gateway::check_requests(time_point now)
{
    auto const current = requests_;
    for (auto const& request : current) {
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
              [this, id = entry.id](http::response const& answer) {
                  judge_probe(id, answer);
              });
}

void gateway::judge_probe(std::string const& id, http::response const& answer)
{
    auto const facts = translations_.protocol.read_answer(answer.head);
    if (facts.backend_server.value_or(id) == id) {
        note_server_facts(id, facts);
    }
    if (answer.head.status == no_answer) {
        on_probe(id, false, "silent");
    } else if (facts.backend_server && *facts.backend_server != id) {
        on_probe(id, false, "other_server");
    } else {
        on_probe(id, answer.head.status == ok, "answered");
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

/// Makes a call that no caller waits for. Its answer is told once; status
/// no_answer means that none came whole in time.
void gateway::side_call(asio::ip::tcp::endpoint const& address,
                        http::request_head head, milliseconds timeout,
                        std::function<void(http::response const&)> done)
{
    auto const call =
        std::make_shared<http::upstream_connection>(context_, address);
    auto const got = std::make_shared<http::response>();
    auto const timer = std::make_shared<asio::steady_timer>(context_, timeout);
    side_calls_.insert(call);
    auto const finish = [this, call, timer, got,
                         done = std::move(done)](bool whole) {
        if (side_calls_.erase(call) > 0) {
            timer->cancel();
            done(whole ? *got : http::response{});
            call->cancel();
        }
    };
    http::call_events events;
    events.belongs = [](http::response_head const&) {
        return true;
    };
    events.head = [got](http::response_head& answer, http::body_framing) {
        got->head = answer;
    };
    events.body = [got, finish](std::string const& bytes) {
        got->body += bytes;
        if (got->body.size() > most_side_answer) {
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
    auto const since = now - *stopping_since_;
    if (since > idle_kept) {
        entry_.close_idle(now);
    }
    if (since > taken_while_stopping) {
        entry_.close(); // Callers try another address at once.
    }
    auto const late = since > settings_.grace - end_margin;
    auto const quiet = requests_.empty() && !entry_.busy();
    if (!late && (since < shortest_stop || !quiet)) {
        return;
    }
    auto const left = requests_;
    for (auto const& request : left) {
        request->stop();
    }
    decision_line{log_, line_kind::belief, "stopped"}
        .with("after", since)
        .with("cut_off", left.size());
    log_.tick(now);
    for (auto const& follower :
         {configuration_follower_, servers_follower_, members_follower_}) {
        follower->stop();
    }
    std::exchange(over_, nullptr)();
}

} // namespace medlarstall::gateway
