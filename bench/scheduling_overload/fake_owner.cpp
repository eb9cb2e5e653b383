#include "fake_owner.hpp"

#include <medlarstall/catalogue/catalogue.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::bench {

using namespace scheduling;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr unsigned slots = 8;
constexpr double mean_length = 100;
constexpr double long_factor = 20;
constexpr unsigned organisations = 10;
constexpr double slow_factor = 5;
constexpr auto slow_from = std::chrono::seconds{100};
constexpr auto slow_until = std::chrono::seconds{103};

duration of_seconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{value});
}

double seconds_of(duration value)
{
    return std::chrono::duration<double>{value}.count();
}

} // namespace

fake_owner::fake_owner(scenario what, std::uint32_t seed)
    : what_{std::move(what)}, random_{seed}, scheduler_{what_.settings}
{
    catalogue::catalogue entries;
    entries.groups["engines"].value.slots = slots;
    for (unsigned tier = 0; tier < 3; ++tier) {
        auto& entry = entries.classes["tier" + std::to_string(tier)].value;
        entry.tier = tier;
        entry.floor = tier == 2 ? what_.lowest_floor : 0;
    }
    scheduler_.apply_catalogue(entries, now_, actions_);
    for (char const* id : {"a", "b"}) {
        scheduler_.add_backend_server({.id = id, .group = "engines"}, now_,
                                      actions_);
        scheduler_.load_reported(id, {}, now_, actions_);
    }
}

outcome fake_owner::run()
{
    for (std::size_t each = 0; each < what_.demands.size(); ++each) {
        push({.at = now_, .demand = each});
    }
    auto const end = begin_ + what_.span;
    while (!events_.empty() && events_.top().at < end) {
        auto const next = events_.top();
        events_.pop();
        now_ = next.at;
        if (next.id != 0) {
            auto const found = jobs_.find(next.id);
            if (found != jobs_.end() && found->second.run == next.run) {
                token(next.id);
            }
        } else if (next.tick) {
            scheduler_.tick(now_, actions_);
        } else {
            arrive(next.demand);
        }
        act();
    }
    return outcome_;
}

void fake_owner::push(event value)
{
    value.order = ++order_;
    events_.push(value);
}

void fake_owner::arrive(std::size_t which)
{
    auto const& demand = what_.demands[which];
    std::exponential_distribution<double> gap{demand.requests_per_second};
    push({.at = now_ + of_seconds(gap(random_)), .demand = which});
    std::uniform_real_distribution<double> part;
    job fresh;
    auto& value = fresh.value;
    value.id = ++last_id_;
    value.tier = demand.tier;
    value.service_class = "tier" + std::to_string(demand.tier);
    value.organisation =
        part(random_) < what_.flood_part
            ? "flood"
            : "small" + std::to_string(random_() % (organisations - 1));
    value.group = "engines";
    value.prompt_tokens = 500;
    value.arrived = now_;
    value.deadline = now_ + demand.deadline;
    value.resumable = what_.preemptible;
    value.repeatable = what_.preemptible;
    std::geometric_distribution<std::uint64_t> length{1 / mean_length};
    fresh.length = 1 + length(random_);
    if (part(random_) < what_.long_part) {
        fresh.length = std::uint64_t(long_factor * mean_length);
    }
    auto& tier = outcome_.tiers[demand.tier];
    ++tier.sent;
    tier.small_sent += value.organisation == "flood" ? 0 : 1;
    jobs_[value.id] = fresh;
    (void)scheduler_.enqueue(value, now_, actions_);
}

void fake_owner::token(request_id id)
{
    auto& job = jobs_[id];
    auto& tier = outcome_.tiers[job.value.tier];
    if (!job.began) {
        job.began = true;
        job.first = now_;
        tier.first_tokens.push_back(seconds_of(now_ - job.value.arrived));
    }
    ++job.done;
    ++outcome_.tokens;
    ++outcome_.by_organisation[job.value.organisation];
    scheduler_.tokens_received(id, 1, now_, actions_);
    if (job.done < job.length) {
        push({.at = now_ + between_tokens(job.server),
              .id = id,
              .run = job.run});
        return;
    }
    auto const& targets = job.value.targets;
    auto const streamed = (now_ - job.first) / std::max<int>(1, job.done - 1);
    tier.met += job.first - job.value.arrived <= targets.first_token &&
                        streamed <= targets.between_tokens
                    ? 1
                    : 0;
    --running_[job.server];
    jobs_.erase(id);
    scheduler_.finished(id, now_, actions_);
}

void fake_owner::act()
{
    while (!actions_.empty()) {
        for (auto const& each : std::exchange(actions_, {})) {
            if (auto const* started = std::get_if<dispatch>(&each)) {
                start(*started);
            } else if (auto const* refused = std::get_if<refuse>(&each)) {
                auto const& value = jobs_[refused->id].value;
                auto& tier = outcome_.tiers[value.tier];
                ++tier.refused;
                tier.small_refused += value.organisation == "flood" ? 0 : 1;
                jobs_.erase(refused->id);
            } else if (auto const* victim = std::get_if<preempt>(&each)) {
                auto& job = jobs_[victim->id];
                ++job.run;
                --running_[job.server];
                ++outcome_.preemptions;
                scheduler_.preempted(victim->id, now_, actions_);
            } else if (auto const* wake = std::get_if<wake_up>(&each)) {
                push({.at = wake->at, .tick = true});
            }
        }
    }
}

void fake_owner::start(dispatch const& action)
{
    auto& job = jobs_[action.id];
    auto const tier = job.value.tier;
    auto& last = last_dispatch_.try_emplace(tier, now_).first->second;
    auto& gap = outcome_.tiers[tier].longest_gap;
    gap = std::max(gap, seconds_of(now_ - last));
    last = now_;
    job.server = action.backend_server;
    ++job.run;
    ++running_[job.server];
    auto const prompt = double(job.value.prompt_tokens + job.done);
    auto const prefill =
        of_seconds((0.05 + prompt / 10'000) * slowness(job.server));
    if (job.run > 1) {
        auto const all = 2.0 * slots * double(what_.span.count());
        outcome_.repeated_prefill += seconds_of(prefill) / all;
    }
    push({.at = now_ + prefill, .id = action.id, .run = job.run});
}

duration fake_owner::between_tokens(std::string const& server) const
{
    auto const running = running_.at(server);
    return of_seconds((0.015 + 0.0025 * running) * slowness(server));
}

double fake_owner::slowness(std::string const& server) const
{
    auto const at = now_ - begin_;
    return what_.slow_period && server == "a" && at >= slow_from &&
                   at < slow_until
               ? slow_factor
               : 1;
}

} // namespace medlarstall::bench
