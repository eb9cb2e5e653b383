#include "fault_injector.hpp"

#include <medlarstall/tests/test_cluster.hpp>

#include <algorithm>

namespace medlarstall::faults {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t least_daemons = 2; ///< That are neither gone nor paused.

} // namespace

fault_injector::fault_injector(tests::test_cluster& cluster, std::uint64_t seed,
                               std::vector<fault_kind> kinds)
    : cluster_{cluster}, random_{seed}, kinds_{std::move(kinds)}
{
    for (std::size_t i = 0; i < cluster.daemons(); ++i) {
        daemons_.push_back(i);
    }
}

void fault_injector::step(time_point now)
{
    auto const due = std::ranges::stable_partition(
        recoveries_, [now](auto const& one) { return one.due > now; });
    std::vector<recovery> const over(due.begin(), due.end());
    recoveries_.erase(due.begin(), due.end());
    for (auto const& one : over) {
        one.work();
    }
    if (now < next_ || kinds_.empty()) {
        return;
    }
    next_ = now + span(200, 1'500);
    auto const count = below(3) == 0 ? 2 + below(2) : 1;
    together_ += count > 1 ? 1 : 0;
    for (std::size_t i = 0; i < count; ++i) {
        inject(kinds_[below(kinds_.size())], now);
    }
}

void fault_injector::stop()
{
    for (auto const& one : std::exchange(recoveries_, {})) {
        one.work();
    }
    kinds_.clear();
    for (std::size_t i = 0; i < cluster_.services(); ++i) {
        cluster_.service(i).set({});
    }
}

void fault_injector::inject(fault_kind kind, time_point now)
{
    ++counts_[kind];
    switch (kind) {
    case fault_kind::daemon_dropped:
        return drop_daemon(now);
    case fault_kind::daemon_paused:
        return pause_daemon(now);
    case fault_kind::append_reply_lost:
    case fault_kind::append_late:
    case fault_kind::log_outage:
    case fault_kind::log_slow:
    case fault_kind::records_expired:
        return disturb_log(kind, now);
    case fault_kind::engine_killed:
        return kill_engine(now);
    case fault_kind::service_killed:
        return kill_service(now);
    case fault_kind::service_broken:
        return break_service(now);
    case fault_kind::frames_disturbed:
        return disturb_frames(now);
    case fault_kind::engine_slow:
        return slow_engine(now);
    case fault_kind::connections_silent:
        return silence_connections();
    }
}

void fault_injector::recover_at(time_point due, std::function<void()> work)
{
    recoveries_.push_back({.due = due, .work = std::move(work)});
}

void fault_injector::drop_daemon(time_point now)
{
    if (daemons_.size() <= least_daemons + paused_) {
        return;
    }
    auto const at = daemons_.begin() + std::ptrdiff_t(below(daemons_.size()));
    auto const number = *at;
    daemons_.erase(at);
    cluster_.pause_daemon(number, false);
    cluster_.crash_daemon(number);
    recover_at(now + span(500, 3'000),
               [this] { daemons_.push_back(cluster_.add_daemon()); });
}

void fault_injector::pause_daemon(time_point now)
{
    if (daemons_.size() <= least_daemons + paused_) {
        return;
    }
    auto const number = daemons_[below(daemons_.size())];
    ++paused_;
    cluster_.pause_daemon(number, true);
    recover_at(now + span(500, 4'000), [this, number] {
        --paused_;
        cluster_.pause_daemon(number, false);
    });
}

void fault_injector::disturb_log(fault_kind kind, time_point now)
{
    auto& platform = cluster_.platform();
    auto switches = platform.switches();
    auto const undo = [this, now](auto change) {
        recover_at(now + span(500, 4'000), [this, change] {
            auto later = cluster_.platform().switches();
            change(later);
            cluster_.platform().set(later);
        });
    };
    if (kind == fault_kind::append_reply_lost) {
        switches.lose_reply += unsigned(1 + below(5));
    } else if (kind == fault_kind::append_late) {
        switches.late_effect += unsigned(1 + below(3));
        switches.late_by = span(100, 1'500);
    } else if (kind == fault_kind::log_outage) {
        switches.outage = true;
        undo([](auto& later) { later.outage = false; });
    } else if (kind == fault_kind::log_slow) {
        switches.delay = span(20, 400);
        undo([](auto& later) { later.delay = milliseconds{0}; });
    } else {
        for (std::size_t i = 0; i < tests::claim_streams; ++i) {
            auto const log = tests::claim_log(i);
            auto const page = platform.log(log);
            auto const kept =
                std::min<std::uint64_t>(below(200), page.end - page.first);
            platform.expire(log, page.end - kept);
        }
    }
    platform.set(switches);
}

void fault_injector::kill_engine(time_point now)
{
    auto const number = below(cluster_.engines());
    cluster_.engine(number).stop();
    recover_at(now + span(300, 2'000),
               [this, number] { cluster_.engine(number).start(); });
}

void fault_injector::kill_service(time_point now)
{
    auto const number = below(cluster_.services());
    cluster_.service(number).stop();
    recover_at(now + span(300, 2'000),
               [this, number] { cluster_.service(number).start(); });
}

void fault_injector::break_service(time_point now)
{
    auto const number = below(cluster_.services());
    auto switches = cluster_.service(number).switches();
    auto const calls = unsigned(1 + below(4));
    switch (below(6)) {
    case 0:
        switches.cut_midway += calls;
        break;
    case 1:
        switches.no_answer += calls;
        break;
    case 2:
        switches.die_before += calls;
        break;
    case 3:
        switches.die_after += calls;
        break;
    case 4:
        switches.refuse += calls;
        break;
    default:
        switches.delay = span(50, 800);
        recover_at(now + span(500, 3'000), [this, number] {
            auto later = cluster_.service(number).switches();
            later.delay = milliseconds{0};
            cluster_.service(number).set(later);
        });
    }
    cluster_.service(number).set(switches);
}

void fault_injector::disturb_frames(time_point now)
{
    auto const number = below(cluster_.engines());
    auto switches = cluster_.engine(number).switches();
    switches.duplicate_every = unsigned(below(8));
    switches.delay_every = unsigned(below(8));
    switches.cross_every = unsigned(below(8));
    switches.lose_every = unsigned(below(12));
    cluster_.engine(number).set(switches);
    recover_at(now + span(500, 3'000), [this, number] {
        auto later = cluster_.engine(number).switches();
        later.duplicate_every = 0;
        later.delay_every = 0;
        later.cross_every = 0;
        later.lose_every = 0;
        cluster_.engine(number).set(later);
    });
}

void fault_injector::slow_engine(time_point now)
{
    auto const number = below(cluster_.engines());
    auto switches = cluster_.engine(number).switches();
    switches.slow = 5.0;
    cluster_.engine(number).set(switches);
    recover_at(now + span(500, 3'000), [this, number] {
        auto later = cluster_.engine(number).switches();
        later.slow = 1.0;
        cluster_.engine(number).set(later);
    });
}

void fault_injector::silence_connections()
{
    switch (below(3)) {
    case 0:
        return cluster_.engine(below(cluster_.engines()))
            .silence_open_connections();
    case 1:
        return cluster_.service(below(cluster_.services()))
            .silence_open_connections();
    default:
        return cluster_.platform().silence_open_connections();
    }
}

std::size_t fault_injector::below(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>{0, bound - 1}(random_);
}

milliseconds fault_injector::span(int least, int most)
{
    return milliseconds{
        std::uniform_int_distribution<int>{least, most}(random_)};
}

} // namespace medlarstall::faults
