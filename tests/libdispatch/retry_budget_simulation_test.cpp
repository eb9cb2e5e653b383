// Fleets of daemons that send failed requests again, with the bound on the
// retries of a service as the oracle.

#include "retry_budget_simulation.hpp"

#include <boost/test/unit_test.hpp>

using namespace medlarstall;
using namespace medlarstall::dispatch;
using namespace medlarstall::dispatch::simulation;

namespace {

constexpr std::uint32_t seed_count = 3;

void check(retry_scenario played)
{
    for (std::uint32_t seed = 1; seed <= seed_count; ++seed) {
        played.seed = seed;
        retrying_fleet fleet{played};
        fleet.run();
        BOOST_TEST_CONTEXT("seed " << seed << ", " << played.daemons
                                   << " daemons, " << fleet.retry_count()
                                   << " retries")
        {
            BOOST_TEST(fleet.excess() <= 0.0);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(retry_budget_simulation_suite)

BOOST_AUTO_TEST_CASE(
    a_service_gets_more_retries_than_its_budget_after_daemons_are_killed)
{
    check({.bursts = true, .kills = true});
    check({.requests_per_second = 400, .bursts = true, .kill_all = true});
}

BOOST_AUTO_TEST_CASE(
    a_service_gets_more_retries_than_its_budget_as_callers_move)
{
    check({.requests_per_second = 400, .callers_move = true});
}

BOOST_AUTO_TEST_CASE(a_service_gets_more_retries_than_its_budget_in_a_long_cut)
{
    check({.cut = true});
    check({.daemons = 30, .limits = {.slack = 188}, .cut = true});
}

BOOST_AUTO_TEST_CASE(
    a_service_gets_more_retries_than_its_budget_after_daemons_join_or_leave)
{
    check({.joins = true, .leaves = true});
    check({.daemons = 30, .limits = {.slack = 188}, .joins = true});
}

BOOST_AUTO_TEST_CASE(a_service_gets_more_retries_than_its_budget_after_pauses)
{
    check({.requests_per_second = 400, .bursts = true, .pauses = true});
}

BOOST_AUTO_TEST_CASE(
    a_service_gets_more_retries_than_its_budget_in_overlapping_disruptions)
{
    for (std::size_t const daemons : {4U, 5U, 30U, 118U}) {
        check({.daemons = daemons,
               .requests_per_second = 400,
               .bursts = true,
               .callers_move = true,
               .kills = true,
               .kill_all = true,
               .cut = true,
               .pauses = true,
               .joins = true,
               .leaves = true});
    }
}

BOOST_AUTO_TEST_CASE(
    a_fleet_with_more_daemons_than_slack_stays_within_the_budget)
{
    for (double const rate : {20.0, 200.0, 1000.0}) {
        check({.daemons = 350, .requests_per_second = rate});
        check({.daemons = 350, .requests_per_second = rate, .kills = true});
    }
}

// Most of the allowed retries must be used while requests keep failing.
BOOST_AUTO_TEST_CASE(an_undisturbed_fleet_leaves_much_of_its_budget_unused)
{
    for (auto played : {retry_scenario{},
                        retry_scenario{.daemons = 30, .limits = {.slack = 188}},
                        retry_scenario{.daemons = 118,
                                       .limits = {.slack = 630},
                                       .requests_per_second = 800}}) {
        retrying_fleet fleet{played};
        fleet.run();
        BOOST_TEST(static_cast<double>(fleet.retry_count()) >=
                   0.9 * played.limits.ratio *
                       static_cast<double>(fleet.request_count()));
    }
}

BOOST_AUTO_TEST_SUITE_END()
