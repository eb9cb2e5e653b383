// Tests the exclusive duties of whole fleets against an oracle of their rules.

#include "duty_simulation.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace std::chrono_literals;

namespace {

void check_rules(duty_simulation const& fleet)
{
    for (auto const& rule : fleet.violations()) {
        BOOST_ERROR(rule);
    }
}

/// Runs fleets with faults at random times, and then without any.
void run_seeds(std::size_t daemons, std::uint32_t seeds,
               std::chrono::seconds length)
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            duty_simulation fleet{daemons, seed % 2 == 0, seed};
            fleet.run_for(8s);
            fleet.run_with_faults(length);
            fleet.run_for(25s);
            check_rules(fleet);
            BOOST_TEST(fleet.active_machine().has_value());
        }
    }
}

/// Lets a fault begin at the holder, and checks that another daemon has taken
/// over after a time.
void check_take_over(duty_fault what, std::size_t daemons,
                     std::chrono::milliseconds within)
{
    duty_simulation fleet{daemons, false, 7};
    fleet.run_for(12s);
    auto const before = fleet.active_machine();
    BOOST_REQUIRE(before.has_value());
    fleet.begin_fault(what, *before, 60s);
    fleet.run_for(within);
    auto const after = fleet.active_machine();
    BOOST_REQUIRE(after.has_value());
    BOOST_TEST(*after != *before);
    check_rules(fleet);
}

} // namespace

BOOST_AUTO_TEST_SUITE(duty_simulation_suite)

// Guards against two holders at once, tokens that are used twice or go down,
// stored states that are lost, and a fleet that is left without a holder.
BOOST_AUTO_TEST_CASE(rules_hold_with_faults_and_one_daemon)
{
    run_seeds(1, 40, 300s);
}

BOOST_AUTO_TEST_CASE(rules_hold_with_faults_and_5_daemons)
{
    run_seeds(5, 120, 300s);
}

BOOST_AUTO_TEST_CASE(rules_hold_with_faults_and_33_daemons)
{
    run_seeds(33, 20, 300s);
}

BOOST_AUTO_TEST_CASE(rules_hold_with_faults_and_350_daemons)
{
    run_seeds(350, 2, 120s);
}

// Guards against duties that nobody performs after the holder has gone.
BOOST_AUTO_TEST_CASE(another_daemon_takes_over_within_seconds)
{
    for (auto const what :
         {duty_fault::killed, duty_fault::paused, duty_fault::suspended,
          duty_fault::cut_off_from_store}) {
        for (auto const daemons : {5U, 33U, 350U}) {
            BOOST_TEST_CONTEXT("fault " << static_cast<int>(what) << ", "
                                        << daemons << " daemons")
            {
                check_take_over(what, daemons, 6500ms);
            }
        }
    }
}

// Guards against a holder that makes the others wait although it stops.
BOOST_AUTO_TEST_CASE(a_holder_that_stops_is_followed_at_once)
{
    check_take_over(duty_fault::stopped, 33, 700ms);
}

// Guards against a daemon that has read of a release, and tries again and again
// to take the lease that another one has taken.
BOOST_AUTO_TEST_CASE(a_release_causes_few_calls)
{
    duty_simulation fleet{33, false, 3, 5000ms};
    fleet.run_for(12s);
    for (int stops = 0; stops < 5; ++stops) {
        auto const holder = fleet.active_machine();
        BOOST_REQUIRE(holder.has_value());
        auto const before = fleet.calls();
        fleet.begin_fault(duty_fault::stopped, *holder, 1000ms);
        fleet.run_for(10s);
        BOOST_TEST(fleet.calls().appends - before.appends <= 25U);
        BOOST_TEST(fleet.calls().reads - before.reads <= 40U);
    }
}

// Guards against a machine that holds the duties, passes them on, and takes
// them again within the time of a lease. It was restarted, and knows nothing.
BOOST_AUTO_TEST_CASE(a_holder_does_not_come_back_within_the_lease)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        duty_simulation fleet{2, false, seed, 50ms};
        fleet.run_for(12s);
        for (int stops = 0; stops < 6; ++stops) {
            // A notice of a release may be lost; the next holder comes later.
            if (auto const holder = fleet.active_machine()) {
                fleet.begin_fault(duty_fault::stopped, *holder, 300ms);
            }
            fleet.run_for(stops % 2 == 0 ? 1000ms : 6000ms);
        }
        BOOST_TEST(fleet.holders() >= 3U);
        check_rules(fleet);
    }
}

// Guards against a holder that keeps duties which it cannot perform.
BOOST_AUTO_TEST_CASE(a_holder_without_the_platform_hands_over)
{
    check_take_over(duty_fault::cut_off_from_platform, 5, 10s);
}

// Guards against a token that is used again, or that is lower than earlier
// ones: each restore brings the same record back, and after a kill of all
// daemons nobody remembers what followed on it.
BOOST_AUTO_TEST_CASE(tokens_rise_over_restores_of_one_copy_and_kills)
{
    for (auto const daemons : {1U, 2U, 3U, 33U}) {
        for (std::uint32_t seed = 1; seed <= 6; ++seed) {
            BOOST_TEST_CONTEXT(daemons << " daemons, seed " << seed)
            {
                duty_simulation fleet{daemons, seed % 2 == 0, seed};
                fleet.run_for(12s);
                fleet.begin_fault(duty_fault::store_restored, 0, 0ms);
                for (int restores = 0; restores < 4; ++restores) {
                    fleet.run_for(15s);
                    auto const holder = fleet.active_machine();
                    BOOST_REQUIRE(holder.has_value());
                    fleet.begin_fault(duty_fault::all_killed, 0, 200ms);
                    fleet.begin_fault(duty_fault::store_restored_again, 0, 0ms);
                    fleet.run_for(250ms);
                    fleet.begin_fault(duty_fault::killed, *holder,
                                      restores % 2 == 0 ? 9000ms : 200ms);
                }
                fleet.run_for(15s);
                check_rules(fleet);
                BOOST_TEST(fleet.active_machine().has_value());
            }
        }
    }
}

// Guards against a holder whose calls are all rejected because the platform has
// seen higher tokens than the store holds.
BOOST_AUTO_TEST_CASE(a_fenced_holder_finds_a_higher_token)
{
    duty_simulation fleet{5, true, 4};
    fleet.run_for(12s);
    fleet.show_token(50);
    fleet.run_for(20s);
    auto const before = fleet.calls().executed;
    fleet.run_for(10s);
    BOOST_TEST(fleet.calls().executed > before);
    BOOST_TEST(fleet.holders() <= 15U);
    check_rules(fleet);
}

// Guards against an order that no server is left for, and that ends the holding
// as if there were a higher token.
BOOST_AUTO_TEST_CASE(a_lack_of_servers_does_not_end_the_holding)
{
    duty_simulation fleet{5, true, 4};
    fleet.run_for(60s);
    BOOST_TEST(fleet.calls().without_servers > 0U);
    BOOST_TEST(fleet.holders() == 1U);
    check_rules(fleet);
}

// Guards against needless calls to the store, which cost money.
BOOST_DATA_TEST_CASE(a_fleet_at_rest_makes_few_calls,
                     boost::unit_test::data::make({1, 33, 118, 350}), daemons)
{
    duty_simulation fleet{static_cast<std::size_t>(daemons), true, 5, 5000ms};
    fleet.run_for(12s);
    auto const before = fleet.calls();
    fleet.run_for(60s);
    auto const reads = fleet.calls().reads - before.reads;
    auto const appends = fleet.calls().appends - before.appends;
    BOOST_TEST_MESSAGE(daemons << " daemons: " << reads << " reads, " << appends
                               << " appends in 60 s");
    BOOST_TEST(appends <= 80U);
    BOOST_TEST(reads <= (daemons <= 33 ? 6U : 600U));
}

BOOST_AUTO_TEST_SUITE_END()
