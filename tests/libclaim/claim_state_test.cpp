// Any interleaving of writers, readers, lost replies, late effects, pauses,
// restarts and expiry, against the rules that every history has to keep.

#include "world_step.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <rapidcheck/state.h>

#include <iostream>
#include <random>
#include <set>

using namespace medlarstall;
using namespace medlarstall::claim;

namespace {

/// The rules speak of the history alone, so that no state has to be modelled.
struct nothing
{};

void expect_nothing_found(claim_world const& world)
{
    auto const found = world.check();
    if (!found.empty()) {
        RC_FAIL(found.front().rule + ": " + found.front().detail);
    }
}

/// One step with arguments chosen by RapidCheck.
struct chosen_step : rc::state::Command<nothing, claim_world>
{
    world_step step;

    chosen_step() : step{choose_kind(), argument(), argument(), argument()} {}

    void run(nothing const&, claim_world& world) const override
    {
        step.take(world);
        expect_nothing_found(world);
    }

    void show(std::ostream& out) const override
    {
        out << "step " << int(step.kind) << ' ' << step.first << ' '
            << step.second << ' ' << step.third;
    }

private:
    static step_kind choose_kind()
    {
        std::size_t sum = 0;
        for (auto const weight : step_weights) {
            sum += weight;
        }
        auto left = *rc::gen::inRange<std::size_t>(0, sum);
        std::size_t kind = 0;
        while (left >= step_weights[kind]) {
            left -= step_weights[kind++];
        }
        return static_cast<step_kind>(kind);
    }

    static unsigned argument() { return *rc::gen::inRange(0U, 1000U); }
};

void take_random_steps(claim_world& world, std::mt19937_64& random, int steps)
{
    std::discrete_distribution<int> kind(step_weights.begin(),
                                         step_weights.end());
    std::uniform_int_distribution<unsigned> argument{0, 999};
    for (int i = 0; i < steps; ++i) {
        world_step{static_cast<step_kind>(kind(random)), argument(random),
                   argument(random), argument(random)}
            .take(world);
    }
}

/// \return names of the rules broken by runs of random steps
std::set<std::string> broken_rules(planted_fault fault, std::uint64_t seed,
                                   unsigned runs)
{
    std::mt19937_64 random{seed};
    std::set<std::string> rules;
    for (unsigned run = 0; run < runs; ++run) {
        claim_world world{random(), fault};
        take_random_steps(world, random, 300);
        world.drain();
        for (auto const& one : world.check()) {
            rules.insert(one.rule);
        }
    }
    return rules;
}

struct fault_case
{
    planted_fault fault;
    char const* rule; ///< Rule that the fault has to break.
};

std::ostream& operator<<(std::ostream& out, fault_case const& value)
{
    return out << value.rule;
}

fault_case const fault_cases[] = {
    {planted_fault::takeover, "more_than_once"},
    {planted_fault::runs_twice, "more_than_once"},
    {planted_fault::late_dispatch, "not_run_was_run"},
    {planted_fault::denies_unsettled, "not_run_was_run"},
};

constexpr std::uint64_t fault_seed = 20261204;
constexpr unsigned fault_runs = 100;

} // namespace

BOOST_AUTO_TEST_SUITE(claim_state_suite)

RC_BOOST_PROP(keeps_every_rule, ())
{
    claim_world world{*rc::gen::arbitrary<std::uint64_t>()};
    rc::state::check(nothing{}, world,
                     rc::state::gen::execOneOfWithArgs<chosen_step>());
    world.drain();
    expect_nothing_found(world);
}

BOOST_DATA_TEST_CASE(catches_planted_faults,
                     boost::unit_test::data::make(fault_cases), one)
{
    BOOST_TEST(broken_rules(one.fault, fault_seed, fault_runs).count(one.rule));
}

BOOST_AUTO_TEST_CASE(finds_nothing_without_a_planted_fault)
{
    auto const rules =
        broken_rules(planted_fault::none, fault_seed, fault_runs);
    BOOST_TEST(rules.empty(), rules.size() << " rules broken");
}

/// Guards against steps that seldom get as far as a run.
BOOST_AUTO_TEST_CASE(steps_reach_every_verdict)
{
    std::mt19937_64 random{fault_seed};
    claim_world world{random()};
    take_random_steps(world, random, 10'000);
    auto const counts = world.count();
    for (auto const& [told, n] : counts.of) {
        BOOST_TEST_MESSAGE("verdict " << int(told) << ": " << n);
    }
    BOOST_TEST(counts.executions >= 20U);
    for (auto const told :
         {history::verdict::run, history::verdict::not_run,
          history::verdict::unknown, history::verdict::mismatch}) {
        BOOST_TEST(counts.of.count(told) == 1U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
