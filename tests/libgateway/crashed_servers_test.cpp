// Tests gateways of which many backend servers crash at once.

#include "gateway_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

using namespace medlarstall;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t server_count = 10;
constexpr std::size_t crashed = 8;
constexpr std::size_t daemons = 3;

struct crashed_fleet : gateway_fixture
{
    crashed_fleet() : gateway_fixture{server_count}
    {
        write_configuration(1);
        add_gateways(daemons);
        for (std::size_t at = 0; at < daemons; ++at) {
            BOOST_REQUIRE(wait_until_ready(at));
        }
        run_for(1500ms); // Until the daemons know each other.
        // Those first that the daemons know to be fast, and so prefer.
        std::ranges::stable_sort(
            servers, std::ranges::greater{},
            [](auto const& server) { return server->runs().size(); });
        for (std::size_t at = 0; at < crashed; ++at) {
            servers[at]->crash();
        }
    }

    /// \return number of requests that succeeded
    std::size_t succeeded(std::size_t gateway, std::size_t count)
    {
        std::size_t good = 0;
        for (std::size_t sent = 0; sent < count; ++sent) {
            auto const id =
                "g" + std::to_string(gateway) + "-" + std::to_string(sent);
            auto const answer = send_and_wait(gateway, "POST", "/once/a", id);
            good += answer.status == 200 ? 1 : 0;
        }
        return good;
    }

    /// Sends requests that run beside each other, so that the daemon tries all
    /// servers.
    /// \return number of requests that succeeded
    std::size_t succeeded_together(std::size_t gateway, std::size_t count)
    {
        std::vector<std::shared_ptr<caller_answer>> answers;
        answers.reserve(count);
        for (std::size_t sent = 0; sent < count; ++sent) {
            answers.push_back(send(gateway, "POST", "/once/a",
                                   "t" + std::to_string(gateway) + "-" +
                                       std::to_string(sent)));
        }
        BOOST_TEST(run_until([&] {
            return std::ranges::all_of(
                answers, [](auto const& item) { return item->ended(); });
        }));
        return static_cast<std::size_t>(std::ranges::count_if(
            answers, [](auto const& item) { return item->status == 200; }));
    }

    std::size_t lines_with(std::string_view text) const
    {
        auto const log = log_text();
        std::size_t count = 0;
        for (auto at = log.find(text); at != std::string::npos;
             at = log.find(text, at + 1)) {
            ++count;
        }
        return count;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(crashed_servers_suite)

// Requests were refused after four refused connections, and forwarded after
// two, although the next server might have answered.
BOOST_AUTO_TEST_CASE(requests_are_refused_while_some_servers_run)
{
    constexpr std::size_t requests = 12;
    crashed_fleet world;
    BOOST_TEST(world.succeeded(0, requests) == requests);
    BOOST_TEST(world.lines_with("event=passed_on ") == 0U);
}

// Each daemon found out by itself that the same servers were down.
BOOST_AUTO_TEST_CASE(each_daemon_tries_the_servers_that_others_found_down)
{
    constexpr std::size_t requests = 30;
    crashed_fleet world;
    BOOST_TEST(world.succeeded_together(0, requests) == requests);
    BOOST_TEST(world.succeeded_together(1, requests) == requests);
    world.run_for(400ms); // Until the third daemon was told.
    auto const before = world.lines_with("reason=not_connected");
    BOOST_TEST(world.succeeded_together(2, requests) == requests);
    BOOST_TEST(world.lines_with("reason=not_connected") - before <= 2U);
}

BOOST_AUTO_TEST_SUITE_END()
