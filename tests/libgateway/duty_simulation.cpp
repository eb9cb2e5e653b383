#include "duty_simulation.hpp"

#include <medlarstall/dispatch/fleet_cells.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

using namespace medlarstall;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr auto lease = 3000ms;
constexpr auto client_timeout = 1000ms;
constexpr auto tick_interval = 100ms;
constexpr auto update_interval = 600ms;
constexpr double datagram_loss = 0.02;
/// After a fault, a daemon acts again within this time.
constexpr auto max_time_without_holder = 12000ms;

gateway::duty_settings service_settings(bool fencing_enforced)
{
    gateway::duty_settings settings;
    settings.reports_usage = true;
    settings.lease = lease;
    settings.fencing_enforced = fencing_enforced;
    return settings;
}

} // namespace

counting_duty::counting_duty(milliseconds interval,
                             std::uint64_t& stored_by_any,
                             std::function<void(std::string const&)> violated)
    : interval_{interval}, stored_by_any_{stored_by_any},
      violated_{std::move(violated)}
{}

void counting_duty::on_taken(duty::stored_state const& stored, time_point now)
{
    number_ = 0;
    auto const& bytes = stored.bytes;
    std::from_chars(bytes.data(), bytes.data() + bytes.size(), number_);
    if (stored.lost_until) {
        number_ = std::max(number_, stored_by_any_); // None is used again.
    }
    stored_ = reported_ = number_;
    is_held_ = true;
    calling_ = false;
    changed_at_ = now;
}

void counting_duty::on_stored(std::uint64_t revision)
{
    stored_ = revision;
    stored_by_any_ = std::max(stored_by_any_, revision);
}

std::vector<duty::duty_call> counting_duty::due_calls(time_point now)
{
    if (!is_held_) {
        violated_("a duty that is not held is asked for calls");
    }
    // A daemon that was paused may learn late that it had taken the lease. It
    // may not act on what it has taken over.
    if (number_ < stored_by_any_) {
        violated_("a state that was stored is not taken over");
    }
    if (now - changed_at_ >= interval_) {
        changed_at_ = now;
        ++number_;
    }
    if (calling_ || reported_ >= stored_) {
        return {};
    }
    calling_ = true;
    if (stored_ % 2 == 0) {
        return {duty::scale_order{"s", "z", false,
                                  static_cast<std::uint32_t>(stored_)}};
    }
    return {duty::usage_report{stored_, {}}};
}

void counting_duty::on_result(duty::duty_call const& /*call*/,
                              duty::call_outcome outcome, time_point /*now*/)
{
    calling_ = false;
    if (outcome == duty::call_outcome::accepted) {
        reported_ = stored_;
    }
}

struct duty_simulation::machine
{
    std::string name;
    std::uint64_t life = 0; ///< Number of its starts.
    bool runs = false;
    std::unique_ptr<counting_duty> duty;
    gateway::gateway_metrics metrics;
    gateway::structured_log log{-1};
    std::shared_ptr<gateway::duty_service> service;
    std::optional<time_point> frozen_at;
    bool is_suspended = false;
    std::deque<std::function<void()>> delayed; ///< Until it runs again.
    duration suspended{0};
    duration wall_moved{0};
    time_point told_at;
    bool has_left = false; ///< Peers do not listen to it any more.
    int no_store = 0;
    int no_peers = 0;
    int no_platform = 0;

    [[nodiscard]] time_point clock(time_point now) const
    {
        auto const stands = is_suspended && frozen_at;
        return (stands ? *frozen_at : now) - suspended;
    }

    [[nodiscard]] gateway::clock_readings clocks(time_point now) const
    {
        auto const steady = clock(now).time_since_epoch();
        auto const boot = steady + suspended;
        return {steady, boot, boot + wall_moved};
    }
};

duty_simulation::duty_simulation(std::size_t daemons, bool fencing_enforced,
                                 std::uint32_t seed,
                                 milliseconds content_interval)
    : cells_{dispatch::cell_count_for(daemons)},
      fencing_enforced_{fencing_enforced}, content_interval_{content_interval},
      random_{seed}, now_{std::chrono::hours{1}}, calm_since_{now_},
      active_at_{now_}
{
    for (std::size_t index = 0; index < daemons; ++index) {
        machines_.push_back(std::make_unique<machine>());
        machines_.back()->name = "m-" + std::to_string(index);
        // Clocks of machines have nothing in common.
        machines_.back()->suspended = -between(0, 100'000);
        start(index);
    }
}

duty_simulation::~duty_simulation() = default;

void duty_simulation::start(std::size_t index)
{
    auto& item = *machines_[index];
    auto const life = ++item.life;
    item.runs = true;
    item.has_left = false;
    item.duty = std::make_unique<counting_duty>(
        content_interval_, stored_by_any_,
        [this](std::string const& rule) { violate(rule); });
    gateway::duty_context context{
        {},
        [this, index](duty::duty_call const& what,
                      gateway::duty_caller const& caller, milliseconds,
                      auto done) {
            start_call(index, what, caller.token, std::move(done));
        },
        [this, &item] { return item.clock(now_); },
        [this, &item] { return item.clocks(now_); },
        [this, index] { send_notice(index); },
        item.log,
        item.metrics};
    context.store.read_snapshot = [this, index](gateway::record_topic,
                                                gateway::read_handler done) {
        start_read(index, std::move(done));
    };
    context.store.append_at =
        [this, index](gateway::record_topic, gateway::record const& record,
                      std::uint64_t at, gateway::append_handler done) {
            start_append(index, record, at, std::move(done));
        };
    item.service = std::make_shared<gateway::duty_service>(
        std::move(context), service_settings(fencing_enforced_), item.name,
        life);
    item.service->add(gateway::make_duty_handle("count", *item.duty));
    schedule(between(0, 100), [this, index, life] { tick(index, life); });
}

void duty_simulation::tick(std::size_t index, std::uint64_t life)
{
    auto& item = *machines_[index];
    if (!item.runs || item.life != life) {
        return;
    }
    if (item.frozen_at) {
        item.delayed.emplace_back([this, index, life] { tick(index, life); });
        return;
    }
    std::size_t before = 0;
    for (auto other = index % cells_; other < index; other += cells_) {
        before += machines_[other]->runs && !machines_[other]->frozen_at;
    }
    auto const live = item.no_peers > 0 ? 0 : machines_.size() / cells_ - 1;
    item.service->tick(before, live, machines_.size() - 1);
    if (now_ - item.told_at >= update_interval) {
        send_notice(index);
    }
    schedule(tick_interval, [this, index, life] { tick(index, life); });
}

void duty_simulation::send_notice(std::size_t index)
{
    auto& item = *machines_[index];
    item.told_at = now_;
    auto const notice = item.service->take_notice();
    for (auto other = index % cells_; other < machines_.size();
         other += cells_) {
        auto const& target = *machines_[other];
        auto const arrives = notice && other != index && target.runs &&
                             !target.frozen_at && item.no_peers == 0 &&
                             !item.has_left && target.no_peers == 0 &&
                             !happens(datagram_loss);
        if (arrives) {
            target.service->on_notice(*notice);
        }
    }
}

void duty_simulation::tell_departure(std::size_t index)
{
    for (std::size_t other = 0; other < machines_.size(); ++other) {
        auto const life = machines_[other]->life;
        schedule(between(5, 300), [this, index, other, life] {
            deliver(other, life, [this, index, other] {
                machines_[other]->service->on_daemon_left(
                    machines_[index]->name);
            });
        });
    }
}

void duty_simulation::schedule(duration delay, std::function<void()> action)
{
    events_.push({now_ + delay, ++event_number_, std::move(action)});
}

/// Lets a machine do something as soon as it runs, unless it was killed.
void duty_simulation::deliver(std::size_t index, std::uint64_t life,
                              std::function<void()> action)
{
    auto& item = *machines_[index];
    if (!item.runs || item.life != life) {
        return;
    }
    if (item.frozen_at) {
        item.delayed.push_back(std::move(action));
    } else {
        action();
    }
}

void duty_simulation::start_read(std::size_t index, gateway::read_handler done)
{
    ++calls_.reads;
    auto const life = machines_[index]->life;
    auto const reply = [this, index, life, done = std::move(done)](
                           gateway::read_result const& outcome) {
        deliver(index, life, [done, outcome] { done(outcome); });
    };
    auto const takes =
        has(duty_fault::store_slow) ? between(300, 2500) : between(2, 40);
    if (machines_[index]->no_store > 0 || has(duty_fault::store_silent) ||
        takes >= client_timeout) {
        schedule(client_timeout,
                 [reply] { reply(gateway::store_failure::unreachable); });
    } else if (has(duty_fault::store_refusing)) {
        schedule(takes, [reply] { reply(gateway::store_failure::rejected); });
    } else {
        schedule(takes / 2, [this, reply, takes] {
            gateway::record_page page;
            page.next_offset = end_;
            page.era = era_;
            if (lease_) {
                page.records.push_back({"lease", lease_, end_ - 1});
            }
            schedule(takes / 2, [reply, page] { reply(page); });
        });
    }
}

void duty_simulation::start_append(std::size_t index,
                                   gateway::record const& item,
                                   std::uint64_t at,
                                   gateway::append_handler done)
{
    using gateway::append_status;
    ++calls_.appends;
    auto const life = machines_[index]->life;
    auto const reply = [this, index, life, done = std::move(done)](
                           gateway::append_outcome outcome) {
        deliver(index, life, [done, outcome] { done(outcome); });
    };
    auto takes =
        has(duty_fault::store_slow) ? between(300, 2500) : between(2, 40);
    if (has(duty_fault::appends_late) && happens(0.4)) {
        takes = between(1000, 7000);
    }
    if (machines_[index]->no_store > 0 || has(duty_fault::store_silent)) {
        schedule(client_timeout, [reply] { reply({}); });
        return;
    }
    if (has(duty_fault::store_refusing)) {
        schedule(takes, [reply] { reply({append_status::refused, {}}); });
        return;
    }
    auto const is_lost =
        takes >= client_timeout ||
        (has(duty_fault::store_responses_lost) && happens(0.5));
    if (is_lost) {
        schedule(client_timeout, [reply] { reply({}); });
    }
    schedule(takes / 2, [this, reply, takes, at, is_lost, item] {
        gateway::append_outcome outcome{append_status::conflict, {}};
        if (at == end_) {
            ++end_;
            lease_ = item.value;
            keep_copy();
            outcome = {append_status::accepted, {era_, end_}};
        }
        if (!is_lost) {
            schedule(takes / 2, [reply, outcome] { reply(outcome); });
        }
    });
}

void duty_simulation::start_call(
    std::size_t index, duty::duty_call const& what, duty::fencing_token token,
    std::function<void(gateway::duty_response)> done)
{
    ++calls_.platform_calls;
    auto const life = machines_[index]->life;
    call const item{now_, index, token};
    check_sent(item);
    auto const reply = [this, index, life, done = std::move(done)](
                           gateway::duty_response response) {
        deliver(index, life, [done, response] { done(response); });
    };
    auto const is_late = has(duty_fault::calls_late) && happens(0.4);
    auto const takes = is_late ? between(1000, 6000) : between(2, 60);
    if (machines_[index]->no_platform > 0 || has(duty_fault::platform_silent)) {
        schedule(client_timeout,
                 [reply] { reply(gateway::duty_response::unanswered); });
        return;
    }
    if (has(duty_fault::platform_refusing)) {
        schedule(takes, [reply] { reply(gateway::duty_response::rejected); });
        return;
    }
    if (is_late) {
        schedule(client_timeout,
                 [reply] { reply(gateway::duty_response::unanswered); });
    }
    schedule(takes, [this, reply, item, what, is_late] {
        check_executed(item, is_late);
        auto const response = execute(item, what);
        if (!is_late) {
            reply(response);
        }
    });
}

gateway::duty_response duty_simulation::execute(call const& item,
                                                duty::duty_call const& what)
{
    if (fencing_enforced_ &&
        item.token < std::max(highest_executed_, shown_token_)) {
        return gateway::duty_response::conflict;
    }
    highest_executed_ = std::max(highest_executed_, item.token);
    ++calls_.executed;
    auto const has_no_servers =
        std::holds_alternative<duty::scale_order>(what) && happens(0.1);
    calls_.without_servers += has_no_servers;
    return has_no_servers ? gateway::duty_response::conflict
                          : gateway::duty_response::accepted;
}

void duty_simulation::check_sent(call const& item)
{
    auto const owner = token_owners_.emplace(item.token, item.machine).first;
    if (owner->second != item.machine) {
        violate("two machines send the same token");
    }
    if (item.token < highest_sent_) {
        violate("a token is sent after a higher one");
    }
    highest_sent_ = std::max(highest_sent_, item.token);
    while (!recent_calls_.empty() &&
           now_ - recent_calls_.front().sent_at >= lease) {
        recent_calls_.pop_front();
    }
    auto const own = std::find_if(
        recent_calls_.begin(), recent_calls_.end(),
        [&item](call const& sent) { return sent.machine == item.machine; });
    auto const has_other =
        std::any_of(own, recent_calls_.end(), [&item](call const& sent) {
            return sent.machine != item.machine;
        });
    if (has_other) {
        violate("two machines act in the order A, B, A");
    }
    recent_calls_.push_back(item);
}

/// A call that is executed after its time limit cannot be held back.
void duty_simulation::check_executed(call const& item, bool late)
{
    if (!late && item.token < highest_executed_) {
        violate("a call is executed after one with a higher token");
    }
}

std::optional<std::size_t> duty_simulation::active_machine() const
{
    for (std::size_t index = 0; index < machines_.size(); ++index) {
        auto const& item = *machines_[index];
        if (item.runs && !item.frozen_at && item.service->is_active()) {
            return index;
        }
    }
    return std::nullopt;
}

void duty_simulation::check_holders()
{
    auto const active =
        std::count_if(machines_.begin(), machines_.end(), [](auto const& item) {
            return item->runs && !item->frozen_at && item->service->is_active();
        });
    if (active > 1) {
        violate("two machines may act at the same time");
    }
    if (active > 0) {
        active_at_ = now_;
    }
    if (now_ - std::max(active_at_, calm_since_) > max_time_without_holder) {
        violate("no machine holds the duties");
        active_at_ = now_;
    }
}

void duty_simulation::run_for(milliseconds time)
{
    auto const end = now_ + time;
    auto next_check = now_;
    while (!events_.empty() && events_.top().at <= end) {
        auto const next = events_.top();
        events_.pop();
        now_ = next.at;
        next.action();
        if (now_ >= next_check) {
            next_check = now_ + tick_interval;
            check_holders();
        }
    }
    now_ = end;
}

void duty_simulation::run_with_faults(milliseconds time)
{
    auto const end = now_ + time;
    while (now_ < end) {
        run_for(between(500, 6000));
        auto const what = static_cast<duty_fault>(
            between(0, static_cast<int>(duty_fault::count) - 1).count());
        auto const any = static_cast<std::size_t>(
            between(0, static_cast<int>(machines_.size()) - 1).count());
        auto const holder = active_machine();
        begin_fault(what, holder && happens(0.8) ? *holder : any,
                    between(200, 9000));
    }
}

void duty_simulation::begin_fault(duty_fault what, std::size_t target,
                                  milliseconds length)
{
    auto& item = *machines_[target];
    ++active_faults_[what];
    switch (what) {
    case duty_fault::killed:
        item.runs = false;
        break;
    case duty_fault::stopped:
        if (item.runs && !item.frozen_at) {
            item.has_left = true;
            item.service->stop();
            tell_departure(target);
        }
        break;
    case duty_fault::paused:
    case duty_fault::suspended:
        if (!item.frozen_at) {
            item.frozen_at = now_;
            item.is_suspended = what == duty_fault::suspended;
        }
        break;
    case duty_fault::cut_off_from_store:
        ++item.no_store;
        break;
    case duty_fault::cut_off_from_peers:
        ++item.no_peers;
        break;
    case duty_fault::cut_off_from_platform:
        ++item.no_platform;
        break;
    case duty_fault::store_restored:
        restore_store();
        break;
    case duty_fault::store_restored_again:
        restore_store_again();
        break;
    case duty_fault::all_killed:
        for (auto const& each : machines_) {
            each->runs = false;
        }
        break;
    case duty_fault::wall_clocks_moved:
        for (auto const& each : machines_) {
            each->wall_moved +=
                happens(0.28) ? (happens(0.5) ? -1150ms : 2400ms) : 0ms;
        }
        break;
    default:
        break; // Of the store or the platform; see has().
    }
    schedule(length, [this, what, target] { end_fault(what, target); });
}

void duty_simulation::keep_copy()
{
    constexpr auto longest = 8000ms;
    copies_.push_back({now_, lease_, end_});
    while (copies_.size() > 1 && copies_[1].from < now_ - longest) {
        copies_.pop_front();
    }
}

/// The store comes back as it was some seconds ago. What was written since is
/// lost, and its offsets are assigned again.
void duty_simulation::restore_store()
{
    auto const at = now_ - between(500, 6000);
    while (!copies_.empty() && copies_.back().from > at) {
        copies_.pop_back();
    }
    restored_ = copies_.empty() ? store_copy{} : copies_.back();
    restore_store_again();
}

void duty_simulation::restore_store_again()
{
    lease_ = restored_.lease;
    end_ = restored_.end;
    ++era_;
}

void duty_simulation::end_fault(duty_fault what, std::size_t target)
{
    auto& item = *machines_[target];
    --active_faults_[what];
    calm_since_ = now_;
    auto const restart = [this](std::size_t index) {
        auto& started = *machines_[index];
        if (started.frozen_at && started.is_suspended) {
            started.suspended += now_ - *started.frozen_at;
        }
        started.frozen_at.reset();
        started.delayed.clear();
        start(index);
    };
    switch (what) {
    case duty_fault::killed:
    case duty_fault::stopped:
        restart(target);
        break;
    case duty_fault::paused:
    case duty_fault::suspended:
        if (!item.frozen_at) {
            break; // It was started again, or another pause has ended.
        }
        if (item.is_suspended) {
            item.suspended += now_ - *item.frozen_at;
        }
        item.frozen_at.reset();
        for (auto const& action : std::exchange(item.delayed, {})) {
            action();
        }
        break;
    case duty_fault::cut_off_from_store:
        --item.no_store;
        break;
    case duty_fault::cut_off_from_peers:
        --item.no_peers;
        break;
    case duty_fault::cut_off_from_platform:
        --item.no_platform;
        break;
    case duty_fault::all_killed:
        for (std::size_t index = 0; index < machines_.size(); ++index) {
            restart(index);
        }
        break;
    default:
        break;
    }
}

void duty_simulation::violate(std::string const& rule)
{
    violations_.push_back(
        rule + " at " +
        std::to_string(std::chrono::duration_cast<milliseconds>(
                           now_.time_since_epoch() - std::chrono::hours{1})
                           .count()) +
        " ms");
}

bool duty_simulation::happens(double probability)
{
    return std::uniform_real_distribution{0.0, 1.0}(random_) < probability;
}

milliseconds duty_simulation::between(int least, int most)
{
    return milliseconds{std::uniform_int_distribution{least, most}(random_)};
}

bool duty_simulation::has(duty_fault what) const
{
    auto const found = active_faults_.find(what);
    return found != active_faults_.end() && found->second > 0;
}
