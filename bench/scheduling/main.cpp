// Cost of one operation of the owner scheduler with 2,500 organisations and
// 7 tiers, at the backend servers of one owner.
#include "allocation_count.hpp"

#include <medlarstall/catalogue/catalogue.hpp>
#include <medlarstall/scheduling/owner_scheduler.hpp>

#include <benchmark/benchmark.h>

#include <deque>
#include <random>
#include <string>

namespace {

using namespace medlarstall;
using namespace medlarstall::scheduling;
using std::chrono::microseconds;

constexpr unsigned organisations = 2500;
constexpr unsigned tiers = 7;
constexpr unsigned backend_servers = 3;
constexpr unsigned slots = 64;
constexpr std::uint32_t seed = 20261204;

/// An owner with every slot taken and a queue that is nearly full.
class busy_owner
{
public:
    /// \param limited_part one in so many organisations has limits; 0: none
    /// \param urgent true if every request misses its target, and none can
    ///     be preempted
    explicit busy_owner(unsigned limited_part = 0, bool urgent = false)
        : urgent_{urgent}
    {
        catalogue::catalogue entries;
        entries.groups["engines"].value.slots = slots;
        for (unsigned tier = 0; tier < tiers; ++tier) {
            auto& entry = entries.classes["tier" + std::to_string(tier)].value;
            entry.tier = tier;
            entry.floor = 0.02;
        }
        for (unsigned each = 0; each < organisations; ++each) {
            auto& entry = entries.organisations[name_of(each)].value;
            entry.share = 1 + each % 10;
            if (limited_part > 0 && each % limited_part == 0) {
                entry.limits.tokens_per_second = 1e6;
                entry.limits.requests_per_second = 1e4;
                entry.limits.concurrency = 50;
            }
        }
        scheduler_.apply_catalogue(entries, now_, actions_);
        for (unsigned each = 0; each < backend_servers; ++each) {
            auto const id = "engine" + std::to_string(each);
            scheduler_.add_backend_server({.id = id, .group = "engines"}, now_,
                                          actions_);
            scheduler_.load_reported(id, {}, now_, actions_);
        }
        while (scheduler_.queued() < 5000) {
            enqueue();
        }
    }

    void enqueue()
    {
        now_ += microseconds{1};
        request value;
        value.id = ++last_id_;
        value.tier = unsigned(random_() % tiers);
        value.organisation = name_of(unsigned(random_() % organisations));
        value.service_class = "tier" + std::to_string(value.tier);
        value.group = "engines";
        value.expected_output_tokens = 50 + random_() % 200;
        value.arrived = now_;
        value.deadline = now_ + std::chrono::hours{1};
        value.targets.first_token = std::chrono::hours{urgent_ ? 0 : 1};
        value.resumable = !urgent_;
        value.repeatable = !urgent_;
        (void)scheduler_.enqueue(std::move(value), now_, actions_);
        collect();
    }

    void finish()
    {
        now_ += microseconds{1};
        auto const id = running_.front();
        running_.pop_front();
        scheduler_.finished(id, now_, actions_);
        collect();
    }

    void token()
    {
        now_ += microseconds{1};
        streaming_ = (streaming_ + 1) % running_.size();
        scheduler_.tokens_received(running_[streaming_], 1, now_, actions_);
        collect();
    }

    void tick() { scheduler_.tick(now_ += microseconds{1}, actions_); }

    std::size_t summarise() const { return scheduler_.summaries(now_).size(); }

    std::size_t queued() const { return scheduler_.queued(); }

private:
    static std::string name_of(unsigned organisation)
    {
        return "organisation" + std::to_string(organisation);
    }

    void collect()
    {
        for (auto const& each : actions_) {
            if (auto const* started = std::get_if<dispatch>(&each)) {
                running_.push_back(started->id);
            }
        }
        actions_.clear();
    }

    bool urgent_;
    std::mt19937 random_{seed};
    time_point now_{std::chrono::hours{1}};
    owner_scheduler scheduler_{scheduler_settings{}};
    action_list actions_;
    std::deque<request_id> running_;
    request_id last_id_ = 0;
    std::size_t streaming_ = 0;
};

/// One request in and one out: enqueue, then finish and dispatch the next.
void serve_one(benchmark::State& state)
{
    busy_owner owner{unsigned(state.range(0))};
    while (state.KeepRunning()) {
        owner.enqueue();
        owner.finish();
    }
    state.counters["queued"] = double(owner.queued());
}
BENCHMARK(serve_one)->Arg(0)->Arg(2);

/// The same while all that wait are urgent and nothing can be preempted.
void serve_one_urgent(benchmark::State& state)
{
    busy_owner owner{0, true};
    while (state.KeepRunning()) {
        owner.enqueue();
        owner.finish();
    }
}
BENCHMARK(serve_one_urgent);

void stream_token(benchmark::State& state)
{
    busy_owner owner{unsigned(state.range(0))};
    for (unsigned each = 0; each < 2 * backend_servers * slots; ++each) {
        owner.token();
    }
    auto const before = bench::allocation_count();
    while (state.KeepRunning()) {
        owner.token();
    }
    state.counters["allocations"] = double(bench::allocation_count() - before);
}
BENCHMARK(stream_token)->Arg(0)->Arg(2);

/// A queue at its bound: each request that comes sheds one.
void shed_one(benchmark::State& state)
{
    busy_owner owner;
    while (owner.queued() < std::size_t{32} * backend_servers * slots) {
        owner.enqueue();
    }
    while (state.KeepRunning()) {
        owner.enqueue();
    }
}
BENCHMARK(shed_one);

void tick(benchmark::State& state)
{
    busy_owner owner;
    while (state.KeepRunning()) {
        owner.tick();
    }
}
BENCHMARK(tick);

void summaries(benchmark::State& state)
{
    busy_owner owner;
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(owner.summarise());
    }
}
BENCHMARK(summaries);

} // namespace

BENCHMARK_MAIN();
