#include "checked_owner.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <utility>

namespace medlarstall::scheduling {

using std::chrono::milliseconds;

namespace {

scheduler_settings settings_of(std::string const& name)
{
    scheduler_settings settings;
    settings.owner = name;
    settings.max_queued_per_slot = 2;
    settings.limiter.initial_fraction = 0.7;
    return settings;
}

catalogue::catalogue make_catalogue()
{
    catalogue::catalogue entries;
    entries.groups["engines"].value.slots = checked_owner::slots;
    for (unsigned tier = 0; tier < 4; ++tier) {
        auto& entry = entries.classes["tier" + std::to_string(tier)].value;
        entry.tier = tier;
        entry.floor = tier == 2 ? 0.2 : 0.0;
    }
    entries.organisations["large"].value.share = 5;
    entries.organisations["small"].value.share = 1;
    entries.organisations["limited"].value.limits.concurrency =
        checked_owner::concurrency;
    entries.organisations["rated"].value.limits.requests_per_second =
        checked_owner::requests_per_second;
    return entries;
}

} // namespace

checked_owner::checked_owner(std::string const& name, time_point now)
    : scheduler_{settings_of(name)}
{
    scheduler_.apply_catalogue(make_catalogue(), now, actions_);
}

void checked_owner::add_server(std::string const& id, time_point now)
{
    if (auto* const known = find_server(id)) {
        if (known->forgotten) {
            *known = {.id = id, .paused_until = now};
        }
        known->leaving = false;
        known->removed = false;
    } else {
        servers_.push_back({.id = id, .paused_until = now});
    }
    scheduler_.add_backend_server({.id = id, .group = "engines"}, now,
                                  actions_);
    check_actions(now);
}

void checked_owner::retire_server(std::size_t index, bool remove,
                                  time_point now)
{
    if (servers_.empty()) {
        return;
    }
    auto& leaving = servers_[index % servers_.size()];
    leaving.leaving = true;
    leaving.removed = remove || leaving.removed;
    auto const id = leaving.id;
    if (remove) {
        scheduler_.remove_backend_server(id, now, actions_);
    } else {
        scheduler_.mark_backend_server_leaving(id, now, actions_);
    }
    check_actions(now);
}

void checked_owner::enqueue(request const& value, time_point now)
{
    requests_.push_back({.value = value});
    RC_ASSERT(scheduler_.enqueue(value, now, actions_));
    check_actions(now);
}

void checked_owner::tokens(std::size_t index, std::uint32_t count,
                           time_point now)
{
    auto* const tracked = pick_request(oracle_request_state::running, index);
    if (tracked == nullptr || tracked->tokens > 400) {
        return;
    }
    tracked->tokens += count;
    scheduler_.tokens_received(tracked->value.id, count, now, actions_);
    check_actions(now);
}

void checked_owner::finish(std::size_t index, time_point now)
{
    if (auto* const tracked =
            pick_request(oracle_request_state::running, index)) {
        end_request(*tracked);
        scheduler_.finished(tracked->value.id, now, actions_);
        check_actions(now);
    }
}

void checked_owner::fail(std::size_t index, time_point now)
{
    if (auto* const tracked =
            pick_request(oracle_request_state::running, index)) {
        end_request(*tracked);
        scheduler_.failed(tracked->value.id, now, actions_);
        check_actions(now);
    }
}

void checked_owner::reject_as_busy(std::size_t index, time_point now)
{
    auto* const tracked = pick_request(oracle_request_state::running, index);
    if (tracked == nullptr || tracked->tokens > 0) {
        return;
    }
    tracked->state = oracle_request_state::queued;
    tracked->has_run = tracked->ran_before_dispatch;
    tracked->rejected_as_busy = true;
    if (auto* const on = find_server(tracked->server)) {
        on->paused_until = now + milliseconds{100};
    }
    scheduler_.rejected_as_busy(tracked->value.id, now, actions_);
    check_actions(now);
}

void checked_owner::cancel(std::size_t index, time_point now)
{
    auto const wanted = index % 2 == 0 ? oracle_request_state::queued
                                       : oracle_request_state::preempting;
    if (auto* const tracked = pick_request(wanted, index / 2)) {
        end_request(*tracked);
        scheduler_.cancelled(tracked->value.id, now, actions_);
        check_actions(now);
    }
}

void checked_owner::confirm_preemption(std::size_t index, time_point now)
{
    auto* const tracked = pick_request(oracle_request_state::preempting, index);
    if (tracked == nullptr) {
        return;
    }
    tracked->state = oracle_request_state::queued;
    ++tracked->preemptions;
    victim_tier_ = tracked->value.tier;
    victim_server_ = tracked->server;
    scheduler_.preempted(tracked->value.id, now, actions_);
    check_actions(now);
    victim_tier_.reset();
}

void checked_owner::report(std::size_t index, unsigned running, duration age,
                           time_point now)
{
    if (servers_.empty()) {
        return;
    }
    scheduler_.load_reported(
        servers_[index % servers_.size()].id,
        {.running = running,
         .age = std::chrono::duration_cast<milliseconds>(age)},
        now, actions_);
    check_actions(now);
}

void checked_owner::set_remote_usage(std::string const& organisation,
                                     remote_usage const& usage, time_point now)
{
    remote_usage_[organisation] = usage;
    scheduler_.set_remote_usage(organisation, "tier0", usage, now, actions_);
    check_actions(now);
}

void checked_owner::tick(time_point now)
{
    next_wake_up_.reset();
    scheduler_.tick(now, actions_);
    check_actions(now);
}

void checked_owner::drain(time_point now)
{
    draining_ = true;
    for (auto const& released : scheduler_.drain(now, actions_)) {
        auto& tracked = find_request(released.value.id);
        RC_ASSERT(tracked.state == oracle_request_state::queued);
        RC_ASSERT(released.has_run == tracked.has_run);
        RC_ASSERT(released.tokens == tracked.tokens);
        end_request(tracked);
    }
    RC_ASSERT(count(oracle_request_state::queued) == 0U);
    check_actions(now);
}

void checked_owner::finish_all(time_point now)
{
    while (count(oracle_request_state::preempting) > 0) {
        confirm_preemption(0, now);
    }
    if (!any_server()) {
        add_server("last", now);
    }
    for (unsigned round = 0; round < 100'000; ++round) {
        if (count(oracle_request_state::running) > 0) {
            finish(round, now);
        } else if (count(oracle_request_state::preempting) > 0) {
            confirm_preemption(0, now);
        } else if (count(oracle_request_state::queued) > 0) {
            RC_ASSERT(next_wake_up_);
            now = std::max(now, *next_wake_up_);
            tick(now);
        } else {
            break;
        }
    }
    RC_ASSERT(count(oracle_request_state::ended) == requests_.size());
    RC_ASSERT(scheduler_.queued() + scheduler_.running() == 0U);
}

void checked_owner::check_actions(time_point now)
{
    for (auto const& each : std::exchange(actions_, {})) {
        std::visit([&](auto const& action) { check(action, now); }, each);
    }
    check_state(now);
}

void checked_owner::check(dispatch const& action, time_point now)
{
    auto& tracked = find_request(action.id);
    auto const* const on = find_server(action.backend_server);
    RC_ASSERT(tracked.state == oracle_request_state::queued);
    RC_ASSERT(on && !on->leaving);
    RC_ASSERT(now >= on->paused_until);
    RC_ASSERT(action.priority == tracked.value.tier);
    RC_ASSERT(action.resume_from == tracked.tokens);
    RC_ASSERT(tracked.has_run || now <= tracked.value.deadline);
    RC_ASSERT(running_on(on->id) < slots);
    RC_ASSERT(!at_concurrency_limit(tracked));
    RC_ASSERT(!held_by_long_limit(tracked, true));
    RC_ASSERT(!next_to_isolated(tracked, *on));
    // At least every second freed slot is given by priority.
    RC_ASSERT(!action.by_floor || !floor_served_last_);
    floor_served_last_ = victim_tier_ ? floor_served_last_ : action.by_floor;
    for (auto const& other : requests_) {
        bool const more_important = other.value.tier < tracked.value.tier;
        if (!more_important || !eligible(other, *on, now)) {
            continue;
        }
        RC_ASSERT(action.by_floor);
        // A floor never takes the slot of a preempted request while a request
        // more important than the victim could use it.
        RC_ASSERT(!victim_tier_ || victim_server_ != on->id ||
                  other.value.tier >= *victim_tier_);
    }
    for (unsigned tier = 0; tier < max_tiers; ++tier) {
        dispatches_without_[tier] += victim_tier_ ? 0 : 1;
    }
    dispatches_without_[tracked.value.tier] = 0;
    waiting_since_[tracked.value.tier].reset();
    victim_tier_.reset();
    tracked.state = oracle_request_state::running;
    tracked.server = action.backend_server;
    tracked.by_floor = action.by_floor;
    tracked.tokens_before_dispatch = tracked.tokens;
    tracked.ran_before_dispatch = std::exchange(tracked.has_run, true);
    if (!std::exchange(tracked.counted_as_started, true) &&
        tracked.value.organisation == "rated") {
        rated_starts_.push_back(now);
        check_rate(now);
    }
}

void checked_owner::check(refuse const& action, time_point now)
{
    auto& tracked = find_request(action.id);
    RC_ASSERT(tracked.state == oracle_request_state::queued);
    RC_ASSERT(!tracked.has_run);
    auto const tier = tracked.value.tier;
    auto const lower_queued =
        std::ranges::any_of(requests_, [&](auto const& each) {
            return each.state == oracle_request_state::queued &&
                   !each.has_run && each.value.tier > tier;
        });
    switch (action.reason) {
    case refusal::queue_full:
        RC_ASSERT(!lower_queued);
        RC_ASSERT(tracked.value.organisation == "rated" ||
                  tracked.value.isolated || at_concurrency_limit(tracked) ||
                  held_by_long_limit(tracked, false) ||
                  !any_preemptible_below(tier, now));
        on_shed(tracked.value);
        break;
    case refusal::deadline:
        RC_ASSERT(now >= tracked.value.deadline || !lower_queued);
        // A request that was rejected as busy may have too little time left for
        // a preemption.
        RC_ASSERT(tracked.rejected_as_busy || tracked.value.isolated ||
                  at_concurrency_limit(tracked) ||
                  held_by_long_limit(tracked, false) ||
                  !any_preemptible_below(tier, now));
        break;
    case refusal::organisation_limit:
        RC_ASSERT(tracked.value.organisation == "rated" ||
                  at_concurrency_limit(tracked));
        break;
    case refusal::no_backend_server:
        RC_ASSERT(!any_server());
        break;
    case refusal::draining:
        RC_ASSERT(draining_);
        break;
    }
    RC_ASSERT(action.retry_after <= milliseconds{30'000});
    end_request(tracked);
}

void checked_owner::check(preempt const& action, time_point now)
{
    auto& tracked = find_request(action.id);
    RC_ASSERT(action.backend_server == tracked.server);
    RC_ASSERT(preemptible(tracked, now));
    auto const* const on = find_server(tracked.server);
    RC_ASSERT(std::ranges::any_of(requests_, [&](auto const& other) {
        auto const beyond_fraction = tracked.is_long() &&
                                     !tracked.value.isolated &&
                                     !other.is_long() && running_long() > 1;
        return (other.value.tier < tracked.value.tier ||
                (other.value.tier == tracked.value.tier && beyond_fraction)) &&
               may_start(other, *on, now, tracked.is_long());
    }));
    for (auto const& other : requests_) {
        RC_ASSERT(other.value.tier <= tracked.value.tier || tracked.is_long() ||
                  !preemptible(other, now));
    }
    tracked.state = oracle_request_state::preempting;
}

void checked_owner::check(hand_back const& action, time_point)
{
    auto& tracked = find_request(action.id);
    RC_ASSERT(tracked.state == oracle_request_state::queued);
    RC_ASSERT(!any_server());
    RC_ASSERT(action.has_run == tracked.has_run);
    RC_ASSERT(action.tokens == tracked.tokens);
    end_request(tracked);
}

void checked_owner::check(wake_up const& action, time_point now)
{
    RC_ASSERT(action.at > now);
    next_wake_up_ = action.at;
}

void checked_owner::check_state(time_point now)
{
    for (auto& each : servers_) {
        each.forgotten = each.removed && running_on(each.id) == 0;
    }
    RC_ASSERT(scheduler_.queued() == count(oracle_request_state::queued));
    RC_ASSERT(scheduler_.running() ==
              count(oracle_request_state::running) +
                  count(oracle_request_state::preempting));
    for (auto const& summary : scheduler_.summaries(now)) {
        auto const* const on = find_server(summary.backend_server);
        RC_ASSERT(summary.running == running_on(summary.backend_server));
        RC_ASSERT(summary.limit <= slots);
        if (on == nullptr || on->leaving || now < on->paused_until ||
            summary.running >= summary.limit) {
            continue;
        }
        for (auto const& each : requests_) {
            RC_ASSERT(!eligible(each, *on, now) ||
                      each.value.organisation == "rated");
        }
    }
    check_starvation(now);
}

void checked_owner::check_starvation(time_point now)
{
    for (unsigned tier = 0; tier < max_tiers; ++tier) {
        auto const waiting =
            std::ranges::any_of(requests_, [&](oracle_request const& each) {
                return each.value.tier == tier && !each.value.isolated &&
                       !each.is_long() && each.value.organisation != "rated" &&
                       eligible_anywhere(each, now);
            });
        if (!waiting) {
            waiting_since_[tier].reset();
            dispatches_without_[tier] = 0;
        } else if (!waiting_since_[tier]) {
            waiting_since_[tier] = now;
            dispatches_without_[tier] = 0;
        } else if (now - *waiting_since_[tier] < std::chrono::seconds{4}) {
            dispatches_without_[tier] = 0;
        }
        // Tiers whose floor is due take turns with the most important tier.
        RC_ASSERT(dispatches_without_[tier] <= 2 * max_tiers);
    }
}

void checked_owner::check_rate(time_point now)
{
    // Any time span contains at most the requests that its rate allows, plus a
    // burst of one second.
    for (std::size_t first = 0; first < rated_starts_.size(); ++first) {
        std::chrono::duration<double> const span = now - rated_starts_[first];
        auto const max_starts = requests_per_second * (span.count() + 1) + 1e-3;
        RC_ASSERT(double(rated_starts_.size() - first) <= max_starts);
    }
}

oracle_request& checked_owner::find_request(request_id id)
{
    auto const found =
        std::ranges::find_if(requests_, [id](oracle_request const& each) {
            return each.value.id == id;
        });
    RC_ASSERT(found != requests_.end());
    return *found;
}

oracle_request* checked_owner::pick_request(oracle_request_state state,
                                            std::size_t index)
{
    auto const total = count(state);
    if (total == 0) {
        return nullptr;
    }
    index %= total;
    for (auto& each : requests_) {
        if (each.state == state && index-- == 0) {
            return &each;
        }
    }
    return nullptr;
}

oracle_server* checked_owner::find_server(std::string const& id)
{
    auto const found = std::ranges::find(servers_, id, &oracle_server::id);
    return found == servers_.end() ? nullptr : &*found;
}

bool checked_owner::any_server() const
{
    return !std::ranges::all_of(servers_, &oracle_server::leaving);
}

bool checked_owner::at_concurrency_limit(oracle_request const& tracked) const
{
    if (tracked.value.organisation != "limited") {
        return false;
    }
    auto const found = remote_usage_.find("limited");
    auto const remote =
        found == remote_usage_.end() ? remote_usage{} : found->second;
    auto const remaining = concurrency - std::min(concurrency, remote.running);
    return running_of("limited") >=
           std::max(remaining, concurrency / (1 + remote.owners));
}

bool checked_owner::held_by_long_limit(oracle_request const& tracked,
                                       bool for_certain) const
{
    // Long requests may hold an eighth of at most 6 slots, which is rounded up
    // to 1.
    if (!tracked.is_long() || tracked.value.isolated || running_long() == 0) {
        return false;
    }
    return std::ranges::any_of(requests_, [&](oracle_request const& each) {
        return each.state == oracle_request_state::queued && !each.is_long() &&
               !each.value.isolated && !at_concurrency_limit(each) &&
               (!for_certain || each.value.organisation != "rated") &&
               each.value.tier <= tracked.value.tier;
    });
}

bool checked_owner::may_start(oracle_request const& tracked,
                              oracle_server const& on, time_point now,
                              bool replaces_long) const
{
    if (tracked.state != oracle_request_state::queued || on.leaving ||
        now < on.paused_until || at_concurrency_limit(tracked) ||
        (!replaces_long && held_by_long_limit(tracked, true))) {
        return false;
    }
    return !next_to_isolated(tracked, on);
}

bool checked_owner::next_to_isolated(oracle_request const& tracked,
                                     oracle_server const& on) const
{
    return tracked.value.isolated &&
           std::ranges::any_of(requests_, [&](oracle_request const& each) {
               return each.value.isolated && each.server == on.id &&
                      (each.state == oracle_request_state::running ||
                       each.state == oracle_request_state::preempting);
           });
}

bool checked_owner::eligible(oracle_request const& tracked,
                             oracle_server const& on, time_point now) const
{
    return tracked.value.organisation != "rated" &&
           !held_by_long_limit(tracked, false) &&
           may_start(tracked, on, now, false);
}

bool checked_owner::eligible_anywhere(oracle_request const& tracked,
                                      time_point now) const
{
    return std::ranges::any_of(servers_, [&](oracle_server const& each) {
        return eligible(tracked, each, now);
    });
}

bool checked_owner::preemptible(oracle_request const& tracked,
                                time_point now) const
{
    auto const on =
        std::ranges::find(servers_, tracked.server, &oracle_server::id);
    return tracked.state == oracle_request_state::running &&
           (!tracked.by_floor ||
            (tracked.is_long() && !tracked.value.isolated)) &&
           (tracked.preemptions == 0 ||
            tracked.tokens - tracked.tokens_before_dispatch >= 64) &&
           on != servers_.end() && !on->leaving && now >= on->paused_until &&
           (tracked.value.resumable ||
            (tracked.value.repeatable && tracked.tokens == 0));
}

bool checked_owner::any_preemptible_below(unsigned tier, time_point now) const
{
    return std::ranges::any_of(requests_, [&](oracle_request const& each) {
        return each.value.tier > tier && preemptible(each, now);
    });
}

std::size_t checked_owner::count(oracle_request_state state) const
{
    return std::size_t(
        std::ranges::count(requests_, state, &oracle_request::state));
}

unsigned checked_owner::running_on(std::string const& id) const
{
    return unsigned(
        std::ranges::count_if(requests_, [&](oracle_request const& each) {
            return each.server == id &&
                   (each.state == oracle_request_state::running ||
                    each.state == oracle_request_state::preempting);
        }));
}

unsigned checked_owner::running_long() const
{
    return unsigned(
        std::ranges::count_if(requests_, [](oracle_request const& each) {
            return each.is_long() && !each.value.isolated &&
                   (each.state == oracle_request_state::running ||
                    each.state == oracle_request_state::preempting);
        }));
}

unsigned checked_owner::running_of(std::string const& organisation) const
{
    return unsigned(
        std::ranges::count_if(requests_, [&](oracle_request const& each) {
            return each.value.organisation == organisation &&
                   (each.state == oracle_request_state::running ||
                    each.state == oracle_request_state::preempting);
        }));
}

std::uint64_t checked_owner::served_of(std::string const& organisation) const
{
    std::uint64_t listed = 0;
    for (auto const& each : requests_) {
        listed += each.value.organisation == organisation ? each.tokens : 0;
    }
    std::uint64_t counted = 0;
    for (auto const& each : scheduler_.usage()) {
        counted += each.organisation == organisation ? each.served_tokens : 0;
    }
    RC_ASSERT(counted == listed);
    return counted;
}

void checked_owner::end_request(oracle_request& tracked)
{
    RC_ASSERT(tracked.state != oracle_request_state::ended);
    tracked.state = oracle_request_state::ended;
}

} // namespace medlarstall::scheduling
