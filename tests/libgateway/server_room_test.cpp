// Tests gateways whose backend servers crash if they have to reject many
// requests.

#include "gateway_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace medlarstall;
using namespace std::chrono_literals;

namespace {

using platform_standins::behaviour;

constexpr std::size_t slots = 4; // As the entry of the stand-in states.
constexpr std::size_t requests = 12;

/// A gateway and a server that holds all requests but the first.
struct full_server : ready_gateway_fixture
{
    std::vector<std::shared_ptr<caller_answer>> answers;
    std::size_t before = 0; ///< Requests that the server ran before.

    explicit full_server(std::string const& limit) : ready_gateway_fixture{1}
    {
        servers[0]->limit_rejections(limit);
        BOOST_TEST(send_and_wait(0, "POST", "/once/a", "first").status == 200);
        before = servers[0]->runs().size();
        for (std::size_t sent = 0; sent < requests; ++sent) {
            servers[0]->script({behaviour::kind::hold});
            answers.push_back(
                send(0, "POST", "/once/a", "r" + std::to_string(sent)));
        }
        run_for(800ms);
    }

    std::size_t runs() const { return servers[0]->runs().size() - before; }

    std::size_t refused() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(answers, [](auto const& answer) {
                return answer->status == 503 &&
                       answer->headers.contains("Retry-After");
            }));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(server_room_suite)

// What a server states of the rejections that it survives was not read.
BOOST_AUTO_TEST_CASE(a_server_in_need_gets_more_requests_than_it_has_slots)
{
    full_server world{"10"};
    BOOST_TEST(world.runs() == slots);
    BOOST_TEST(world.refused() == requests - slots);
}

BOOST_AUTO_TEST_CASE(requests_do_not_wait_at_a_server_that_is_not_in_need)
{
    full_server world{""};
    BOOST_TEST(world.runs() == requests);
    BOOST_TEST(world.refused() == 0U);
}

BOOST_AUTO_TEST_CASE(a_number_that_is_none_is_taken_for_a_limit)
{
    full_server world{"-1"};
    BOOST_TEST(world.runs() == requests);
}

BOOST_AUTO_TEST_SUITE_END()
