// Tests the planned stop of a gateway whose grace period is short.

#include "gateway_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace medlarstall;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(short_grace_suite)

// Requests late in the grace period were taken, passed on and then cut off.
BOOST_AUTO_TEST_CASE(late_requests_of_a_stop_are_cut_off)
{
    using kind = platform_standins::behaviour::kind;
    gateway_fixture world{1};
    world.write_configuration(1);
    world.add_gateway(3s);
    BOOST_REQUIRE(world.wait_until_ready(0));
    auto const before = world.total_runs();
    bool over = false;
    world.gateways[0]->stop([&over] { over = true; });
    world.run_for(1600ms);
    world.servers[0]->script({kind::hold});
    auto const answer = world.send(0, "POST", "/once/a", "late");
    BOOST_TEST(world.run_until([&] { return over && answer->ended(); }));
    // Refused, or not accepted at all, so that it may be sent elsewhere.
    BOOST_TEST(world.total_runs() == before);
    BOOST_TEST((answer->status == 503 || answer->broken));
}

BOOST_AUTO_TEST_SUITE_END()
