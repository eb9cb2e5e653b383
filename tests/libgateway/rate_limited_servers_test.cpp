// Tests whole gateways with backend servers that limit the requests per second
// of all daemons together.

#include "gateway_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace medlarstall;
using namespace std::chrono_literals;

namespace {

using std::chrono::steady_clock;

/// Span over which the arrivals at a backend server are counted.
constexpr auto window = 4s;

/// \return most arrivals at a server within any window after the given time
std::size_t
max_arrivals_in_window(platform_standins::server_standin const& server,
                       steady_clock::time_point after)
{
    auto const& times = server.arrival_times();
    std::size_t most = 0;
    auto first = std::ranges::lower_bound(times, after);
    for (auto last = first; last != times.end(); ++last) {
        while (*last - *first > window) {
            ++first;
        }
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
}

/// \param limit requests per second of all daemons together
/// \return most requests that may reach a backend server in a window
std::size_t allowed_in_window(double limit)
{
    constexpr double factor = 1.5;
    constexpr double slack = 5.0;
    return static_cast<std::size_t>(factor * limit * window.count() + slack);
}

/// Sends requests to all gateways in turn, 50 a second.
/// \return number of requests that were not answered with 200
int send_for(gateway_fixture& world, std::chrono::milliseconds span)
{
    constexpr auto interval = 20ms;
    auto failures = 0;
    auto const end = steady_clock::now() + span;
    for (std::size_t at = 0; steady_clock::now() < end; ++at) {
        auto const answer =
            world.send_and_wait(at % world.gateways.size(), "POST", "/once/a",
                                "paced-" + std::to_string(at));
        failures += answer.status == 200 ? 0 : 1;
        world.run_for(interval);
    }
    return failures;
}

/// Gateways that know each other, and two backend servers.
struct small_fleet : gateway_fixture
{
    small_fleet() : gateway_fixture{2}
    {
        write_configuration(1);
        add_gateways(3);
        for (std::size_t at = 0; at < gateways.size(); ++at) {
            BOOST_REQUIRE(wait_until_ready(at));
        }
        run_for(1500ms); // Until the daemons know each other.
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(rate_limited_servers_suite)

// Each daemon sent to a server as if it had stated no limit.
BOOST_AUTO_TEST_CASE(a_server_gets_more_requests_than_the_limit_it_has_stated)
{
    small_fleet world;
    world.servers[0]->limit_rate("1");
    BOOST_TEST(send_for(world, 1500ms) == 0); // Until all have been told.
    auto const told = steady_clock::now();
    BOOST_TEST(send_for(world, 6000ms) == 0);
    BOOST_TEST(max_arrivals_in_window(*world.servers[0], told) <=
               allowed_in_window(1));
}

BOOST_AUTO_TEST_CASE(a_daemon_told_by_a_peer_exceeds_the_limit)
{
    small_fleet world;
    world.servers[0]->limit_rate("1");
    while (world.servers[0]->arrivals() == 0) {
        std::ignore = world.send_and_wait(0, "POST", "/once/a", "first");
    }
    world.run_for(500ms);
    auto const told = steady_clock::now();
    auto const failures = send_for(world, 2500ms);
    BOOST_TEST(failures == 0);
    BOOST_TEST(max_arrivals_in_window(*world.servers[0], told) <=
               allowed_in_window(1));
}

BOOST_AUTO_TEST_CASE(a_daemon_that_has_just_started_knows_of_no_limit)
{
    small_fleet world;
    world.servers[0]->limit_rate("1");
    std::ignore = send_for(world, 4000ms); // Longer than it is announced.
    world.add_gateway();
    BOOST_TEST(world.run_until([&] {
        auto const state = world.get(
            world.gateways.back()->settings().peer_address, "/v1/status");
        return state.body.find(R"("limit_per_second":1.0)") !=
               std::string::npos;
    }));
}

BOOST_AUTO_TEST_CASE(a_server_is_not_used_after_its_limit_has_ended)
{
    small_fleet world;
    for (auto const& server : world.servers) {
        server->limit_rate("2");
    }
    BOOST_TEST(send_for(world, 2000ms) > 0);
    for (auto const& server : world.servers) {
        server->limit_rate("");
    }
    std::ignore = send_for(world, 3000ms); // Until an answer shows the end.
    BOOST_TEST(send_for(world, 1000ms) == 0);
}

BOOST_AUTO_TEST_CASE(requests_above_the_limits_of_all_servers_are_held)
{
    small_fleet world;
    for (auto const& server : world.servers) {
        server->limit_rate("1");
    }
    std::ignore = send_for(world, 1500ms);
    for (std::size_t at = 0; at < 60; ++at) {
        auto const sent = steady_clock::now();
        auto const answer = world.send_and_wait(
            at % 3, "POST", "/once/a", "limited-" + std::to_string(at));
        // The objective is 400 ms, of which an eighth may pass first.
        BOOST_TEST(bool(steady_clock::now() - sent < 200ms));
        BOOST_TEST((answer.status == 200 || answer.status == 503));
        if (answer.status == 503) {
            BOOST_TEST(answer.retry_after_seconds() > 0.05);
            BOOST_TEST(answer.retry_after_seconds() <= 10);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_server_is_limited_as_another_at_its_address_states)
{
    gateway_fixture world{0};
    world.write_configuration(1);
    world.add_gateway();
    platform_standins::raw_server const server{
        world.context,
        {"HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: ID\r\nServer-Limit: 1\r\n"
         "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
         "",
         {}}};
    world.list_raw_server(server);
    BOOST_TEST(world.send_and_wait(0, "POST", "/once/a", "id-1").status == 503);
    BOOST_TEST(server.requests() == 1U);
    auto const state =
        world.get(world.gateways[0]->settings().peer_address, "/v1/status");
    BOOST_TEST(state.body.find(R"("limit_per_second":null)") !=
               std::string::npos);
    BOOST_TEST(state.body.find(R"("leaving":false)") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(malformed_limits_keep_a_server_from_its_requests)
{
    for (std::string const& bad :
         std::vector<std::string>{"-1", "inf", "nan", "none", "1e999"}) {
        ready_gateway_fixture world{1};
        world.servers[0]->limit_rate(bad);
        for (int at = 0; at < 10; ++at) {
            BOOST_TEST(world.send_and_wait(0, "POST", "/once/a", "id").status ==
                       200);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(limit_sharers_suite)

// The daemons on each side of a cut used the whole limit.
BOOST_AUTO_TEST_CASE(both_sides_of_a_cut_use_the_whole_limit)
{
    gateway::member_table members;
    auto const begin = steady_clock::time_point{} + 1h;
    for (auto const* const address : {"a:1", "b:1", "c:1", "d:1"}) {
        members.add(address, begin);
    }
    gateway::peer_update update;
    update.sequence = 1;
    auto const later = begin + 40s;
    members.merge("a:1", update, later);
    BOOST_TEST(members.limit_sharers(begin).size() == 4U);
    // Of five daemons, two are not most.
    BOOST_TEST(members.limit_sharers(later).size() == 4U);
    members.merge("b:1", update, later);
    BOOST_TEST(members.limit_sharers(later).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
