// What the owner's decisions give under overload, with and without each of
// them: two fake engines under one owner in virtual time.
#include "fake_owner.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace {

using namespace medlarstall;
using namespace medlarstall::bench;
using std::chrono::seconds;

/// Requests a second that two engines serve: 16 slots, 3.6 s a request.
constexpr double capacity = 4.4;

scenario overloaded(std::string name, double load, double top_part)
{
    scenario what;
    what.name = std::move(name);
    auto const all = capacity * load;
    what.demands = {{0, all * top_part, seconds{5}},
                    {1, all * (1 - top_part) / 2, seconds{15}},
                    {2, all * (1 - top_part) / 2, seconds{60}}};
    what.lowest_floor = 0.05;
    return what;
}

scenario with(scenario what, std::string const& name, auto const& change)
{
    what.name = name;
    change(what);
    return what;
}

std::vector<scenario> scenarios()
{
    auto const base = overloaded("2x", 2.0, 0.25);
    auto const usual = overloaded("0.7x", 0.7, 0.3);
    auto const add_long = [](scenario& one) {
        one.long_part = 0.02;
    };
    auto const stragglers = with(base, "2x_long", add_long);
    auto const gate_of = [](double part) {
        return [part](scenario& one) {
            one.settings.long_request_fraction = part;
        };
    };
    auto const gap_of = [](auto gap) {
        return [gap](scenario& one) {
            one.lowest_floor = 0;
            one.settings.max_tier_wait = gap;
        };
    };
    return {
        usual,
        with(usual, "0.7x_long", add_long),
        with(usual, "0.7x_slow", [](scenario& one) { one.slow_period = true; }),
        base,
        with(base, "2x_no_preemption",
             [](scenario& one) { one.preemptible = false; }),
        with(base, "2x_gap_1s", gap_of(seconds{1})),
        with(base, "2x_gap_4s", gap_of(seconds{4})),
        with(base, "2x_no_floor", gap_of(std::chrono::hours{1})),
        stragglers,
        with(stragglers, "2x_long_no_gate", gate_of(1.0)),
        with(stragglers, "2x_long_gate_quarter", gate_of(0.25)),
        with(base, "2x_flood", [](scenario& one) { one.flood_part = 0.8; }),
    };
}

double percentile(std::vector<double>& values, double part)
{
    if (values.empty()) {
        return 0;
    }
    auto const at = std::ptrdiff_t(part * double(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[std::size_t(at)];
}

void print(scenario const& what, outcome result)
{
    auto const line = [&](std::string const& metric, double value,
                          char const* unit) {
        std::printf("case=%s metric=%s value=%.4g unit=%s\n", what.name.c_str(),
                    metric.c_str(), value, unit);
    };
    for (auto& [tier, got] : result.tiers) {
        auto const name = "tier" + std::to_string(tier) + "_";
        line(name + "attainment", 100.0 * got.met / got.sent, "%");
        line(name + "refused", 100.0 * got.refused / got.sent, "%");
        line(name + "small_refused", 100.0 * got.small_refused / got.small_sent,
             "%");
        line(name + "first_token_p99", percentile(got.first_tokens, 0.99), "s");
        line(name + "longest_gap", got.longest_gap, "s");
    }
    line("tokens", double(result.tokens) / double(what.span.count()),
         "tokens/s");
    line("preemptions", result.preemptions, "requests");
    line("repeated_prefill", 100 * result.repeated_prefill, "%");
    auto least = result.by_organisation.begin()->second;
    for (auto const& [name, tokens] : result.by_organisation) {
        least = std::min(least, tokens);
    }
    line("least_organisation", double(least) / double(what.span.count()),
         "tokens/s");
}

} // namespace

int main(int count, char** arguments)
{
    std::uint32_t const seed =
        count > 1 ? std::uint32_t(std::strtoul(arguments[1], nullptr, 10)) : 1;
    for (auto const& what : scenarios()) {
        print(what, fake_owner{what, seed}.run());
    }
}
