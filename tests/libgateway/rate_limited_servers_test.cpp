// Tests whole gateways with backend servers that limit the requests per second
// of all daemons together.

#include "gateway_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

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

BOOST_AUTO_TEST_SUITE_END()
