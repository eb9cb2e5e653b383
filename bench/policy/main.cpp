#include "baseline.hpp"
#include "figures.hpp"
#include "medlarstall_fleet.hpp"
#include "verdict.hpp"

#include <tclap/CmdLine.h>

#include <iostream>

using namespace medlarstall;
using namespace medlarstall::bench;

namespace {

constexpr seconds drain_length{200}; // Long answers take as long.
constexpr duration caller_resends_after = std::chrono::seconds{1};
constexpr std::size_t slowed_first = 1;
constexpr std::size_t crashing = 3;
constexpr std::size_t lost_daemon = 2;
constexpr double slowdown = 5;

/// Adds the faults of a case to virtual time.
template<class System>
void plan_faults(fault_plan const& faults, event_queue& events,
                 backend_pool& pool, System& system)
{
    auto const after = [&](double at, auto action) {
        events.schedule_after(std::chrono::duration_cast<duration>(seconds{at}),
                              action);
    };
    for (double const begin : {15.0, 25.0}) {
        for (auto i = slowed_first; faults.slowdown && i < slowed_first + 2;
             ++i) {
            auto& engine = *pool.members[i].engine;
            after(begin, [&] { engine.set_slowdown(slowdown); });
            after(begin + 3, [&] { engine.set_slowdown(1); });
        }
    }
    if (faults.crash) {
        auto& engine = *pool.members[crashing].engine;
        after(16, [&] { system.crashed(crashing, engine.crash()); });
        after(23, [&] {
            engine.restart();
            system.restarted(crashing);
        });
    }
    if (faults.daemon_lost) {
        after(14, [&] { system.lose_daemon(lost_daemon); });
        after(29, [&] { system.return_daemon(lost_daemon); });
    }
}

template<class System, class... Args>
figures run(site const& place, scenario const& what,
            std::vector<arrival> const& arrivals, bool counts,
            Args const&... args)
{
    event_queue events;
    backend_pool pool{events, place};
    recorder record{events, arrivals};
    System system{events, pool, record, arrivals, args...};
    record.on_resend = [&](std::size_t call) {
        events.schedule_after(caller_resends_after,
                              [&system, call] { system.submit(call); });
    };
    auto const entries = make_catalogue(place);
    for (std::size_t call = 0; call < arrivals.size(); ++call) {
        auto const& c =
            entries.classes.at(class_names()[arrivals[call].service_class]);
        auto const patience = c.value.deadline;
        events.schedule_after(arrivals[call].at,
                              [&system, call] { system.submit(call); });
        events.schedule_after(arrivals[call].at + patience, [&, call] {
            if (!record.over(call) && !record.outcomes()[call].first_token) {
                system.abandon(call);
            }
        });
    }
    plan_faults(what.faults, events, pool, system);
    events.run_until(events.now() + std::chrono::duration_cast<duration>(
                                        run_length + drain_length));
    if constexpr (requires { system.print_counts(); }) {
        if (counts) {
            system.print_counts();
        }
    }
    return measure(place, what, arrivals, record, pool);
}

/// All policies of one case at one site.
case_figures run_case(site const& place, scenario const& what,
                      std::uint64_t seed, bool counts)
{
    auto const arrivals = make_arrivals(place, what, seed);
    return {
        {"medlarstall",
         run<medlarstall_fleet>(place, what, arrivals, counts, place, seed)},
        {"fifo-round-robin", run<baseline>(place, what, arrivals, counts,
                                           baseline_kind::fifo_round_robin)},
        {"priority-least-connections",
         run<baseline>(place, what, arrivals, counts,
                       baseline_kind::priority_least_connections)}};
}

bool measure_site(site const& place, std::string const& only,
                  std::uint64_t seed, bool counts)
{
    bool all_met = true;
    auto const without = run_case(place, scenarios().front(), seed, false);
    auto const cases = scenarios();
    auto quiet = *std::ranges::find(cases, "stragglers", &scenario::name);
    quiet.load = straggler_free_load(quiet);
    quiet.stragglers = 0;
    auto const no_stragglers = run_case(place, quiet, seed, false);
    for (auto const& what : scenarios()) {
        if (!only.empty() && what.name != only) {
            continue;
        }
        auto results = run_case(place, what, seed, counts);
        add_ratios(what, results, without, no_stragglers);
        all_met = print_case(place, what, results) && all_met;
    }
    return all_met;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine line{"Measures the policy in virtual time"};
        TCLAP::ValueArg<std::string> only{
            "",     "case", "Case to run; all if not given", false, "",
            "NAME", line};
        TCLAP::ValueArg<std::string> where{
            "",     "site", "coteau or moruga; both if not given", false, "",
            "NAME", line};
        TCLAP::ValueArg<std::uint64_t> seed{
            "", "seed", "Seed of all random choices", false, 1, "N", line};
        TCLAP::SwitchArg counts{
            "", "counts", "Print counts of decisions to standard error", line};
        line.parse(argc, argv);
        bool known = only.getValue().empty();
        for (auto const& what : scenarios()) {
            known = known || what.name == only.getValue();
        }
        if (!known) {
            std::cerr << "--case: \"" << only.getValue()
                      << "\" is not one of the cases\n";
            return 2;
        }
        bool met = true;
        for (auto const& place : sites()) {
            if (where.getValue().empty() || where.getValue() == place.name) {
                met = measure_site(place, only.getValue(), seed.getValue(),
                                   counts.getValue()) &&
                      met;
            }
        }
        return met ? 0 : 1;
    } catch (TCLAP::ArgException const& fault) {
        std::cerr << fault.argId() << ": " << fault.error() << '\n';
        return 2;
    }
}
