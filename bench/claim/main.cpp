// Measures claims: calls a second under the log's cap, records for each
// append, added latency in virtual time, processor time and memory for a key.
// Usage: claim_bench [SEED]

#include "fleet.hpp"

#include <medlarstall/claim/claim_table.hpp>

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>

using namespace medlarstall;
using namespace medlarstall::claim;

namespace {

constexpr double target_calls = 5'000;
constexpr double log_cap = 300;
constexpr unsigned most_calls = 20'000; ///< Highest load that is tried.

void print(std::string const& where, char const* metric, double value,
           char const* unit, std::string const& target = "-")
{
    std::cout << where << " metric=" << metric << " value=" << value
              << " unit=" << unit << " target=" << target << '\n';
}

double quantile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    auto const at = std::ptrdiff_t(part * double(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[std::size_t(at)];
}

fleet_figures run(double calls, bool forwards, std::uint64_t seed)
{
    fleet_settings settings;
    settings.calls_per_second = calls;
    settings.forwards = forwards;
    settings.seed = seed;
    return fleet{settings}.run();
}

bool sustained(fleet_figures const& figures)
{
    return figures.not_run + figures.unknown == 0 &&
           figures.dispatched == figures.calls &&
           quantile(figures.added_ms, 0.99) < 1'000;
}

void report(double calls, bool forwards, std::uint64_t seed)
{
    auto const figures = run(calls, forwards, seed);
    auto const where = "case=calls_" + std::to_string(int(calls)) +
                       " policy=" + (forwards ? "forward" : "direct");
    auto const seconds = 10.0;
    print(where, "dispatched", double(figures.dispatched) / seconds, "1/s",
          std::to_string(int(calls)));
    print(where, "not_run", double(figures.not_run), "calls", "0");
    print(where, "added_latency_p50", quantile(figures.added_ms, 0.5), "ms");
    print(where, "added_latency_p99", quantile(figures.added_ms, 0.99), "ms");
    print(where, "appends", double(figures.appends) / seconds, "1/s",
          std::to_string(int(log_cap)));
    print(where, "appends_refused", double(figures.refused) / seconds, "1/s");
    print(where, "claims_per_append",
          double(figures.dispatched) / std::max(1.0, double(figures.appends)),
          "claims");
    print(where, "processor_per_call",
          figures.processor.count() * 1e6 /
              std::max(1.0, double(figures.calls)),
          "us");
}

void report_highest(bool forwards, std::uint64_t seed)
{
    double best = 0;
    for (unsigned calls = 1'000; calls <= most_calls; calls += calls / 2) {
        if (!sustained(run(calls, forwards, seed))) {
            break;
        }
        best = calls;
    }
    print(std::string{"case=highest policy="} +
              (forwards ? "forward" : "direct"),
          "calls", best, "1/s", std::to_string(int(target_calls)));
}

void report_memory(std::size_t body)
{
    constexpr std::size_t keys = 100'000;
    claim_table table{
        {.max_keys = keys, .max_outcome_bytes = std::size_t{1} << 30U}};
    std::mt19937_64 random{1};
    wall_time const time{std::chrono::hours{480'000}};
    auto const before = mallinfo2().uordblks;
    for (std::size_t i = 0; i < keys; ++i) {
        auto const key = make_random_uuid_v7(time, random);
        auto const attempt = make_random_uuid_v7(time, random);
        table.apply(claim_record{.key = key, .attempt = attempt}, time);
        if (body > 0) {
            outcome result{.known = true, .body = std::string(body, 'x')};
            table.apply(
                outcome_record{.key = key,
                               .attempt = attempt,
                               .result = std::make_shared<outcome const>(
                                   std::move(result))},
                time);
        }
    }
    auto const used = mallinfo2().uordblks - before;
    print("case=memory policy=table", ("body_" + std::to_string(body)).c_str(),
          double(used) / double(keys), "bytes/key");
}

} // namespace

int main(int argc, char** argv)
{
    std::uint64_t const seed =
        argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    for (bool const forwards : {true, false}) {
        for (double const calls : {20.0, 200.0, 1'000.0, 5'000.0}) {
            report(calls, forwards, seed);
        }
        report_highest(forwards, seed);
    }
    for (std::size_t const body : {0U, 100U, 1'000U}) {
        report_memory(body);
    }
}
