#include <medlarstall/routing/health_monitor.hpp>
#include <medlarstall/routing/router.hpp>
#include <medlarstall/routing/spill_policy.hpp>

#include <benchmark/benchmark.h>

#include <string>

using namespace medlarstall;
using namespace medlarstall::routing;

namespace {

constexpr int fleet_size = 930;
constexpr int daemons = 350;

time_point at_us(std::int64_t us)
{
    return time_point{} + std::chrono::hours{1} + std::chrono::microseconds{us};
}

scheduling::backend_server_summary summary_of(int server, bool busy)
{
    scheduling::backend_server_summary summary;
    summary.backend_server = "backend-server-" + std::to_string(server);
    summary.group = "engines";
    summary.owner = "daemon-" + std::to_string(server % daemons);
    summary.data_centre = "dc" + std::to_string(server % 8);
    summary.limit = 32;
    summary.running = busy ? 32 : 10 + server % 20;
    summary.between_tokens = std::chrono::milliseconds{40};
    for (auto& tier : summary.tiers) {
        tier.running = summary.running / 8;
        tier.expected_wait = std::chrono::milliseconds{busy ? 500 : 0};
    }
    return summary;
}

router make_router(bool busy)
{
    router_settings settings;
    settings.cost.data_centre = "dc0";
    router made{settings};
    made.set_daemon_count(daemons);
    for (int i = 0; i < fleet_size; ++i) {
        made.apply_summary(summary_of(i, busy), at_us(0));
    }
    return made;
}

scheduling::request make_request()
{
    scheduling::request request;
    request.group = "engines";
    request.tier = 3;
    request.prompt_tokens = 1000;
    return request;
}

/// One choice and its dispatch; the argument tells whether all are busy.
void choose(benchmark::State& state)
{
    auto chooser = make_router(state.range(0) != 0);
    auto const request = make_request();
    std::vector<std::vector<prefix_hash>> prompts;
    prompts.reserve(1000);
    for (int i = 0; i < 1000; ++i) {
        prompts.push_back(hash_prefixes(std::string(4096, char('a' + i % 26))));
    }
    std::int64_t now = 0;
    while (state.KeepRunning()) {
        auto const& prefixes = prompts[std::size_t(now) % prompts.size()];
        route_query const query{request, prefixes, 4096};
        auto const chosen = chooser.choose(query, at_us(now));
        benchmark::DoNotOptimize(chosen.chosen_index);
        chooser.on_dispatch(query, chosen.chosen()->backend_server, at_us(now));
        if (++now % 10 == 0) {
            chooser.apply_summary(
                summary_of(int(now / 10) % fleet_size, state.range(0) != 0),
                at_us(now));
        }
    }
}
BENCHMARK(choose)->Arg(0)->Arg(1);

void take_summary(benchmark::State& state)
{
    auto chooser = make_router(false);
    std::vector<scheduling::backend_server_summary> summaries;
    summaries.reserve(fleet_size);
    for (int i = 0; i < fleet_size; ++i) {
        summaries.push_back(summary_of(i, false));
    }
    std::int64_t now = 0;
    while (state.KeepRunning()) {
        chooser.apply_summary(summaries[std::size_t(now) % summaries.size()],
                              at_us(now));
        ++now;
    }
}
BENCHMARK(take_summary);

void spill(benchmark::State& state)
{
    auto const chooser = make_router(true);
    auto const request = make_request();
    route_query const query{request};
    spill_policy const policy;
    std::uint64_t random = 1;
    while (state.KeepRunning()) {
        auto const next = policy.decide(chooser.view(), query, random++);
        benchmark::DoNotOptimize(next.action);
    }
}
BENCHMARK(spill);

void record_token_gap(benchmark::State& state)
{
    health_monitor monitor;
    std::vector<std::string> ids;
    ids.reserve(fleet_size);
    for (int i = 0; i < fleet_size; ++i) {
        ids.push_back(summary_of(i, false).backend_server);
        monitor.add(ids.back(), "engines");
    }
    std::int64_t now = 0;
    while (state.KeepRunning()) {
        monitor.record_token_gap(ids[std::size_t(now) % ids.size()],
                                 std::chrono::milliseconds{40}, at_us(now));
        ++now;
    }
}
BENCHMARK(record_token_gap);

/// One comparison of all backend servers with their siblings.
void evaluate_health(benchmark::State& state)
{
    health_monitor monitor;
    for (int i = 0; i < fleet_size; ++i) {
        auto const id = summary_of(i, false).backend_server;
        monitor.add(id, "engines");
        for (int sample = 0; sample < 8; ++sample) {
            monitor.record_token_gap(id, std::chrono::milliseconds{40},
                                     at_us(1));
        }
    }
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(monitor.evaluate(at_us(2)).size());
    }
}
BENCHMARK(evaluate_health)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
