// Tests whole gateways with backend servers that start again under their ids,
// while requests that were sent to the run before are still in flight.

#include "gateway_fixture.hpp"

#include <medlarstall/support/digest.hpp>

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

using namespace medlarstall;
using namespace std::chrono_literals;
using kind = platform_standins::behaviour::kind;

namespace {

/// Start of the first run of each stand-in, as its entry states it.
constexpr std::uint64_t first_start_unix_ms = 1700000000000;
/// Longer than a gateway waits before it probes a backend server.
constexpr auto probe_time = 600ms;
/// Longer than a gateway takes to write its log.
constexpr auto log_time = 300ms;

/// Sends a request that the first backend server holds.
std::shared_ptr<caller_answer> send_held(ready_gateway_fixture& world)
{
    world.servers[0]->script({.what = kind::hold});
    auto answer = world.send(0, "POST", "/once/a", "held");
    BOOST_REQUIRE(world.run_until([&world] { return world.runs() == 1; }));
    return answer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(restarted_servers_suite)

// The answer arrives after the entry of the next run was read.
BOOST_AUTO_TEST_CASE(the_next_run_counts_as_leaving_as_the_run_before_did)
{
    ready_gateway_fixture world{1};
    auto const held = send_held(world);
    world.list_next_run();
    world.servers[0]->leave();
    world.servers[0]->release_held();
    BOOST_REQUIRE(world.run_until([&held] { return held->ended(); }));
    BOOST_TEST(held->status == 200);
    BOOST_TEST(world.send_and_wait(0, "POST", "/once/a", "next").status == 200);
}

// The same for a rate limit, which all daemons would be told of.
BOOST_AUTO_TEST_CASE(the_next_run_has_the_rate_limit_of_the_run_before)
{
    ready_gateway_fixture world{1};
    auto const held = send_held(world);
    world.list_next_run();
    world.servers[0]->limit_rate("0.1");
    world.servers[0]->release_held();
    BOOST_REQUIRE(world.run_until([&held] { return held->ended(); }));
    world.run_for(log_time);
    BOOST_TEST(world.log_text().find("rate_limit") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_next_run_is_suspect_as_the_run_before_lost_connections)
{
    ready_gateway_fixture world{1};
    auto const held = send_held(world);
    // The next run has another address, and never loses a connection.
    world.servers.push_back(std::make_unique<platform_standins::server_standin>(
        world.context, "i-0"));
    world.list_next_run(1);
    world.servers[0]->crash();
    BOOST_REQUIRE(world.run_until([&held] { return held->ended(); }));
    world.run_for(probe_time);
    BOOST_TEST(world.servers[1]->arrivals() == 0U);
}

// The run before still answers when the entry of the next one is read.
BOOST_AUTO_TEST_CASE(a_request_for_the_next_run_goes_to_the_run_before)
{
    ready_gateway_fixture world{1};
    auto const held = send_held(world);
    world.servers.push_back(std::make_unique<platform_standins::server_standin>(
        world.context, "i-0"));
    world.list_next_run(1);
    world.servers[0]->release_held();
    BOOST_REQUIRE(world.run_until([&held] { return held->ended(); }));
    BOOST_TEST(held->status == 200);
    auto const before = world.servers[0]->runs().size();
    BOOST_TEST(world.send_and_wait(0, "POST", "/once/a", "next").status == 200);
    BOOST_TEST(world.servers[0]->runs().size() == before);
    BOOST_TEST(world.servers[1]->runs().size() == 1U);
}

// Other daemons, which have not read the entry of the next run, report it with
// another id, so that one crash counts twice.
BOOST_AUTO_TEST_CASE(a_crash_is_reported_as_one_of_the_next_run)
{
    ready_gateway_fixture world{1};
    world.servers[0]->crash_on("bad");
    auto const held = send_held(world);
    world.list_next_run();
    auto const crashing = world.send(0, "POST", "/once/a", "bad", "key-small",
                                     "180,20", "bad:100,9f:30");
    BOOST_REQUIRE(world.run_until(
        [&held, &crashing] { return held->ended() && crashing->ended(); }));
    world.run_for(probe_time);
    auto const crash_id = hash64("i-0", first_start_unix_ms);
    BOOST_TEST(world.log_text().find("crash=" + std::to_string(crash_id)) !=
               std::string::npos);
}

// A server without a free slot rejects the probe that follows a mere reset.
BOOST_AUTO_TEST_CASE(a_reset_counts_as_a_crash_as_the_probe_is_rejected)
{
    ready_gateway_fixture world{1};
    world.servers[0]->reject_health_checks();
    world.servers[0]->script({.what = kind::cut});
    BOOST_TEST(world.send_and_wait(0, "POST", "/once/a", "cut").status == 502);
    world.run_for(probe_time);
    auto const log = world.log_text();
    BOOST_TEST(log.find("now=down") != std::string::npos);
    BOOST_TEST(log.find("fingerprint=") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
