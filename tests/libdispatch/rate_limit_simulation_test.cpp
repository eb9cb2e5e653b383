// Simulates fleets of daemons with backend servers that limit the requests per
// second of all daemons together, and checks the arrivals against the limits.

#include "rate_limit_simulation.hpp"

#include <boost/test/unit_test.hpp>

using namespace medlarstall::dispatch::simulation;

namespace {

/// Plays a scenario with several seeds and checks that no limit is exceeded.
void check_limits_kept(scenario played, std::string const& name)
{
    constexpr std::uint32_t seeds = 2;
    for (played.seed = 1; played.seed <= seeds; ++played.seed) {
        simulated_fleet world{played};
        world.run();
        BOOST_TEST_CONTEXT(
            name << ", " << played.daemons << " daemons, limit " << played.limit
                 << " then " << played.later_limit << ", seed " << played.seed)
        {
            BOOST_TEST(world.excess() <= 0);
        }
    }
}

std::vector<scenario> fleets()
{
    constexpr double requests_per_daemon = 2;
    std::vector<scenario> found;
    for (std::size_t const daemons : {5, 30, 118, 350}) {
        for (double const limit : {0.0, 0.3, 1.0, 6.0, 40.0}) {
            scenario played;
            played.daemons = daemons;
            played.limit = played.later_limit = limit;
            played.requests_per_second = std::max(
                requests_per_daemon * static_cast<double>(daemons),
                3.0 * limit * static_cast<double>(played.limited_servers));
            found.push_back(played);
        }
    }
    return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(rate_limit_simulation_suite)

// Each daemon kept to the limit alone, or none did.
BOOST_AUTO_TEST_CASE(daemons_together_exceed_a_limit)
{
    for (auto const& played : fleets()) {
        check_limits_kept(played, "calm");
    }
}

BOOST_AUTO_TEST_CASE(disturbed_daemons_together_exceed_a_limit)
{
    for (auto played : fleets()) {
        played.clock_steps = true;
        check_limits_kept(played, "clock steps");
        played.clock_steps = false;
        played.different_views = true;
        check_limits_kept(played, "different views");
        played.different_views = false;
        played.cut = true;
        check_limits_kept(played, "cut");
        played.cut = false;
        played.pauses = played.restarts = true;
        check_limits_kept(played, "pauses and restarts");
    }
}

BOOST_AUTO_TEST_CASE(retries_and_probes_exceed_a_limit)
{
    for (auto played : fleets()) {
        played.failures = true;
        check_limits_kept(played, "failures");
    }
}

BOOST_AUTO_TEST_CASE(a_limit_that_changes_is_exceeded)
{
    for (auto played : fleets()) {
        played.later_limit = played.limit * 5;
        check_limits_kept(played, "rises");
        std::swap(played.later_limit, played.limit);
        check_limits_kept(played, "falls");
    }
}

BOOST_AUTO_TEST_CASE(a_limit_is_left_unused)
{
    constexpr double least_use = 0.75;
    for (auto const& played : fleets()) {
        if (played.limit < 1) {
            continue; // Too few requests to measure.
        }
        simulated_fleet world{played};
        world.run();
        BOOST_TEST_CONTEXT(played.daemons << " daemons, limit " << played.limit)
        {
            BOOST_TEST(world.use() >= least_use);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_server_is_not_used_after_its_limit_has_ended)
{
    for (auto played : fleets()) {
        simulated_fleet world{played};
        world.run();
        BOOST_TEST_CONTEXT(played.daemons << " daemons, limit " << played.limit)
        {
            if (played.limit >= 1) {
                // Half of an equal share of the requests of two seconds.
                auto const equal_share = 2 * played.requests_per_second /
                                         static_cast<double>(played.servers);
                BOOST_TEST(static_cast<double>(world.arrivals_at_the_end(0)) >=
                           equal_share / 2);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(requests_are_refused_although_a_server_has_no_limit)
{
    for (auto played : fleets()) {
        played.limited_servers = played.servers - 1;
        simulated_fleet world{played};
        world.run();
        BOOST_TEST(world.unplaced() == 0U);
        BOOST_TEST(world.excess() <= 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
