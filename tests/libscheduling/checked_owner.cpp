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
    settings.queued_per_slot = 2;
    settings.limiter.initial_part = 0.7;
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
    scheduler_.set_policy(make_catalogue(), now, actions_);
}

void checked_owner::add_server(std::string const& id, time_point now)
{
    if (auto* const known = server(id)) {
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

void checked_owner::leave_server(std::size_t pick, bool remove, time_point now)
{
    if (servers_.empty()) {
        return;
    }
    auto& leaving = servers_[pick % servers_.size()];
    leaving.leaving = true;
    leaving.removed = remove || leaving.removed;
    auto const id = leaving.id;
    if (remove) {
        scheduler_.remove_backend_server(id, now, actions_);
    } else {
        scheduler_.leave_backend_server(id, now, actions_);
    }
    check_actions(now);
}

void checked_owner::enqueue(request const& value, time_point now)
{
    items_.push_back({.value = value});
    RC_ASSERT(scheduler_.enqueue(value, now, actions_));
    check_actions(now);
}

void checked_owner::tokens(std::size_t pick, std::uint32_t count,
                           time_point now)
{
    auto* const one = nth(item_state::running, pick);
    if (one == nullptr || one->tokens > 400) {
        return;
    }
    one->tokens += count;
    scheduler_.tokens(one->value.id, count, now, actions_);
    check_actions(now);
}

void checked_owner::finish(std::size_t pick, time_point now)
{
    if (auto* const one = nth(item_state::running, pick)) {
        end(*one);
        scheduler_.finished(one->value.id, now, actions_);
        check_actions(now);
    }
}

void checked_owner::fail(std::size_t pick, time_point now)
{
    if (auto* const one = nth(item_state::running, pick)) {
        end(*one);
        scheduler_.failed(one->value.id, now, actions_);
        check_actions(now);
    }
}

void checked_owner::bounce(std::size_t pick, time_point now)
{
    auto* const one = nth(item_state::running, pick);
    if (one == nullptr || one->tokens > 0) {
        return;
    }
    one->state = item_state::queued;
    one->has_run = one->had_run;
    one->bounced = true;
    if (auto* const on = server(one->server)) {
        on->paused_until = now + milliseconds{100};
    }
    scheduler_.bounced(one->value.id, now, actions_);
    check_actions(now);
}

void checked_owner::cancel(std::size_t pick, time_point now)
{
    auto const wanted =
        pick % 2 == 0 ? item_state::queued : item_state::preempting;
    if (auto* const one = nth(wanted, pick / 2)) {
        end(*one);
        scheduler_.cancelled(one->value.id, now, actions_);
        check_actions(now);
    }
}

void checked_owner::confirm_preemption(std::size_t pick, time_point now)
{
    auto* const one = nth(item_state::preempting, pick);
    if (one == nullptr) {
        return;
    }
    one->state = item_state::queued;
    ++one->preemptions;
    victim_tier_ = one->value.tier;
    victim_server_ = one->server;
    scheduler_.preempted(one->value.id, now, actions_);
    check_actions(now);
    victim_tier_.reset();
}

void checked_owner::report(std::size_t pick, unsigned running, duration age,
                           time_point now)
{
    if (servers_.empty()) {
        return;
    }
    scheduler_.load_reported(
        servers_[pick % servers_.size()].id,
        {.running = running,
         .age = std::chrono::duration_cast<milliseconds>(age)},
        now, actions_);
    check_actions(now);
}

void checked_owner::remote(std::string const& organisation,
                           remote_usage const& usage, time_point now)
{
    remote_[organisation] = usage;
    scheduler_.set_remote_usage(organisation, "tier0", usage, now, actions_);
    check_actions(now);
}

void checked_owner::tick(time_point now)
{
    wake_.reset();
    scheduler_.tick(now, actions_);
    check_actions(now);
}

void checked_owner::drain(time_point now)
{
    drained_ = true;
    for (auto const& released : scheduler_.drain(now, actions_)) {
        auto& one = at(released.value.id);
        RC_ASSERT(one.state == item_state::queued);
        RC_ASSERT(released.started == one.has_run);
        RC_ASSERT(released.tokens == one.tokens);
        end(one);
    }
    RC_ASSERT(count(item_state::queued) == 0U);
    check_actions(now);
}

void checked_owner::finish_all(time_point now)
{
    while (count(item_state::preempting) > 0) {
        confirm_preemption(0, now);
    }
    if (!any_server()) {
        add_server("last", now);
    }
    for (unsigned round = 0; round < 100'000; ++round) {
        if (count(item_state::running) > 0) {
            finish(round, now);
        } else if (count(item_state::preempting) > 0) {
            confirm_preemption(0, now);
        } else if (count(item_state::queued) > 0) {
            RC_ASSERT(wake_);
            now = std::max(now, *wake_);
            tick(now);
        } else {
            break;
        }
    }
    RC_ASSERT(count(item_state::ended) == items_.size());
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
    auto& one = at(action.id);
    auto const* const on = server(action.backend_server);
    RC_ASSERT(one.state == item_state::queued);
    RC_ASSERT(on && !on->leaving);
    RC_ASSERT(now >= on->paused_until);
    RC_ASSERT(action.priority == one.value.tier);
    RC_ASSERT(action.resume_from == one.tokens);
    RC_ASSERT(one.has_run || now <= one.value.deadline);
    RC_ASSERT(running_on(on->id) < slots);
    RC_ASSERT(!limited(one));
    RC_ASSERT(!gated(one, true));
    RC_ASSERT(!beside_isolated(one, *on));
    // At least every second freed slot goes by priority.
    RC_ASSERT(!action.by_floor || !floor_served_last_);
    floor_served_last_ = victim_tier_ ? floor_served_last_ : action.by_floor;
    for (auto const& other : items_) {
        bool const more_important = other.value.tier < one.value.tier;
        if (!more_important || !eligible(other, *on, now)) {
            continue;
        }
        RC_ASSERT(action.by_floor);
        // A slot that a victim gave up goes to a more important tier.
        RC_ASSERT(!victim_tier_ || victim_server_ != on->id ||
                  other.value.tier >= *victim_tier_);
    }
    for (unsigned tier = 0; tier < max_tiers; ++tier) {
        passed_over_[tier] += victim_tier_ ? 0 : 1;
    }
    passed_over_[one.value.tier] = 0;
    waiting_since_[one.value.tier].reset();
    victim_tier_.reset();
    one.state = item_state::running;
    one.server = action.backend_server;
    one.by_floor = action.by_floor;
    one.tokens_before = one.tokens;
    one.had_run = std::exchange(one.has_run, true);
    if (!std::exchange(one.counted, true) &&
        one.value.organisation == "rated") {
        rated_starts_.push_back(now);
        check_rate(now);
    }
}

void checked_owner::check(refuse const& action, time_point now)
{
    auto& one = at(action.id);
    RC_ASSERT(one.state == item_state::queued);
    RC_ASSERT(!one.has_run);
    auto const tier = one.value.tier;
    auto const lower_queued =
        std::ranges::any_of(items_, [&](auto const& each) {
            return each.state == item_state::queued && !each.has_run &&
                   each.value.tier > tier;
        });
    switch (action.reason) {
    case refusal::queue_full:
        RC_ASSERT(!lower_queued);
        RC_ASSERT(one.value.organisation == "rated" || one.value.isolated ||
                  limited(one) || gated(one, false) ||
                  !displaceable_below(tier, now));
        on_shed(one.value);
        break;
    case refusal::deadline:
        RC_ASSERT(now >= one.value.deadline || !lower_queued);
        // One that bounced may have lost the time in which to preempt.
        RC_ASSERT(one.bounced || one.value.isolated || limited(one) ||
                  gated(one, false) || !displaceable_below(tier, now));
        break;
    case refusal::organisation_limit:
        RC_ASSERT(one.value.organisation == "rated" || limited(one));
        break;
    case refusal::no_backend_server:
        RC_ASSERT(!any_server());
        break;
    case refusal::draining:
        RC_ASSERT(drained_);
        break;
    }
    RC_ASSERT(action.retry_after <= milliseconds{30'000});
    end(one);
}

void checked_owner::check(preempt const& action, time_point now)
{
    auto& one = at(action.id);
    RC_ASSERT(action.backend_server == one.server);
    RC_ASSERT(displaceable(one, now));
    auto const* const on = server(one.server);
    RC_ASSERT(std::ranges::any_of(items_, [&](auto const& other) {
        auto const beyond_part = one.is_long() && !one.value.isolated &&
                                 !other.is_long() && running_long() > 1;
        return (other.value.tier < one.value.tier ||
                (other.value.tier == one.value.tier && beyond_part)) &&
               could_start(other, *on, now, one.is_long());
    }));
    for (auto const& other : items_) {
        RC_ASSERT(other.value.tier <= one.value.tier || one.is_long() ||
                  !displaceable(other, now));
    }
    one.state = item_state::preempting;
}

void checked_owner::check(hand_over const& action, time_point)
{
    auto& one = at(action.id);
    RC_ASSERT(one.state == item_state::queued);
    RC_ASSERT(!any_server());
    RC_ASSERT(action.started == one.has_run);
    RC_ASSERT(action.tokens == one.tokens);
    end(one);
}

void checked_owner::check(wake_up const& action, time_point now)
{
    RC_ASSERT(action.at > now);
    wake_ = action.at;
}

void checked_owner::check_state(time_point now)
{
    for (auto& each : servers_) {
        each.forgotten = each.removed && running_on(each.id) == 0;
    }
    RC_ASSERT(scheduler_.queued() == count(item_state::queued));
    RC_ASSERT(scheduler_.running() ==
              count(item_state::running) + count(item_state::preempting));
    for (auto const& summary : scheduler_.summaries(now)) {
        auto const* const on = server(summary.backend_server);
        RC_ASSERT(summary.running == running_on(summary.backend_server));
        RC_ASSERT(summary.limit <= slots);
        if (on == nullptr || on->leaving || now < on->paused_until ||
            summary.running >= summary.limit) {
            continue;
        }
        for (auto const& each : items_) {
            RC_ASSERT(!eligible(each, *on, now) ||
                      each.value.organisation == "rated");
        }
    }
    check_service(now);
}

void checked_owner::check_service(time_point now)
{
    for (unsigned tier = 0; tier < max_tiers; ++tier) {
        auto const waits = std::ranges::any_of(items_, [&](item const& each) {
            return each.value.tier == tier && !each.value.isolated &&
                   !each.is_long() && each.value.organisation != "rated" &&
                   eligible_anywhere(each, now);
        });
        if (!waits) {
            waiting_since_[tier].reset();
            passed_over_[tier] = 0;
        } else if (!waiting_since_[tier]) {
            waiting_since_[tier] = now;
            passed_over_[tier] = 0;
        } else if (now - *waiting_since_[tier] < std::chrono::seconds{4}) {
            passed_over_[tier] = 0;
        }
        // Due tiers take turns with the most important one.
        RC_ASSERT(passed_over_[tier] <= 2 * max_tiers);
    }
}

void checked_owner::check_rate(time_point now)
{
    // Any span of time holds at most its rate and one second's burst.
    for (std::size_t first = 0; first < rated_starts_.size(); ++first) {
        std::chrono::duration<double> const span = now - rated_starts_[first];
        auto const most = requests_per_second * (span.count() + 1) + 1e-3;
        RC_ASSERT(double(rated_starts_.size() - first) <= most);
    }
}

item& checked_owner::at(request_id id)
{
    auto const found = std::ranges::find_if(
        items_, [id](item const& each) { return each.value.id == id; });
    RC_ASSERT(found != items_.end());
    return *found;
}

item* checked_owner::nth(item_state state, std::size_t pick)
{
    auto const total = count(state);
    if (total == 0) {
        return nullptr;
    }
    pick %= total;
    for (auto& each : items_) {
        if (each.state == state && pick-- == 0) {
            return &each;
        }
    }
    return nullptr;
}

oracle_server* checked_owner::server(std::string const& id)
{
    auto const found = std::ranges::find(servers_, id, &oracle_server::id);
    return found == servers_.end() ? nullptr : &*found;
}

bool checked_owner::any_server() const
{
    return !std::ranges::all_of(servers_, &oracle_server::leaving);
}

bool checked_owner::limited(item const& one) const
{
    if (one.value.organisation != "limited") {
        return false;
    }
    auto const found = remote_.find("limited");
    auto const other = found == remote_.end() ? remote_usage{} : found->second;
    auto const left = concurrency - std::min(concurrency, other.running);
    return running_of("limited") >=
           std::max(left, concurrency / (1 + other.owners));
}

bool checked_owner::gated(item const& one, bool surely) const
{
    // An eighth of at most 6 slots counts as 1.
    if (!one.is_long() || one.value.isolated || running_long() == 0) {
        return false;
    }
    return std::ranges::any_of(items_, [&](item const& each) {
        return each.state == item_state::queued && !each.is_long() &&
               !each.value.isolated && !limited(each) &&
               (!surely || each.value.organisation != "rated") &&
               each.value.tier <= one.value.tier;
    });
}

bool checked_owner::could_start(item const& one, oracle_server const& on,
                                time_point now, bool after_long) const
{
    if (one.state != item_state::queued || on.leaving ||
        now < on.paused_until || limited(one) ||
        (!after_long && gated(one, true))) {
        return false;
    }
    return !beside_isolated(one, on);
}

bool checked_owner::beside_isolated(item const& one,
                                    oracle_server const& on) const
{
    return one.value.isolated &&
           std::ranges::any_of(items_, [&](item const& each) {
               return each.value.isolated && each.server == on.id &&
                      (each.state == item_state::running ||
                       each.state == item_state::preempting);
           });
}

bool checked_owner::eligible(item const& one, oracle_server const& on,
                             time_point now) const
{
    return one.value.organisation != "rated" && !gated(one, false) &&
           could_start(one, on, now, false);
}

bool checked_owner::eligible_anywhere(item const& one, time_point now) const
{
    return std::ranges::any_of(servers_, [&](oracle_server const& each) {
        return eligible(one, each, now);
    });
}

bool checked_owner::displaceable(item const& one, time_point now) const
{
    auto const on = std::ranges::find(servers_, one.server, &oracle_server::id);
    return one.state == item_state::running &&
           (!one.by_floor || (one.is_long() && !one.value.isolated)) &&
           (one.preemptions == 0 || one.tokens - one.tokens_before >= 64) &&
           on != servers_.end() && !on->leaving && now >= on->paused_until &&
           (one.value.resumable || (one.value.repeatable && one.tokens == 0));
}

bool checked_owner::displaceable_below(unsigned tier, time_point now) const
{
    return std::ranges::any_of(items_, [&](item const& each) {
        return each.value.tier > tier && displaceable(each, now);
    });
}

std::size_t checked_owner::count(item_state state) const
{
    return std::size_t(std::ranges::count(items_, state, &item::state));
}

unsigned checked_owner::running_on(std::string const& id) const
{
    return unsigned(std::ranges::count_if(items_, [&](item const& each) {
        return each.server == id && (each.state == item_state::running ||
                                     each.state == item_state::preempting);
    }));
}

unsigned checked_owner::running_long() const
{
    return unsigned(std::ranges::count_if(items_, [](item const& each) {
        return each.is_long() && !each.value.isolated &&
               (each.state == item_state::running ||
                each.state == item_state::preempting);
    }));
}

unsigned checked_owner::running_of(std::string const& organisation) const
{
    return unsigned(std::ranges::count_if(items_, [&](item const& each) {
        return each.value.organisation == organisation &&
               (each.state == item_state::running ||
                each.state == item_state::preempting);
    }));
}

std::uint64_t checked_owner::served_of(std::string const& organisation) const
{
    std::uint64_t listed = 0;
    for (auto const& each : items_) {
        listed += each.value.organisation == organisation ? each.tokens : 0;
    }
    std::uint64_t counted = 0;
    for (auto const& each : scheduler_.usage()) {
        counted += each.organisation == organisation ? each.served_tokens : 0;
    }
    RC_ASSERT(counted == listed);
    return counted;
}

void checked_owner::end(item& one)
{
    RC_ASSERT(one.state != item_state::ended);
    one.state = item_state::ended;
}

} // namespace medlarstall::scheduling
