// Tests a daemon that was cut off from the store and reaches it again.

#include "gateway_fixture.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace medlarstall;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(cut_off_daemon_suite)

// A daemon dropped the updates of one that had started while it was cut off,
// and waited for its long poll of the member list, which the store had lost.
BOOST_AUTO_TEST_CASE(a_daemon_that_is_back_does_not_hear_a_new_one)
{
    constexpr auto longest = 6s;
    gateway_fixture world{1};
    world.has_own_contexts = true;
    world.has_own_store_addresses = true;
    world.write_configuration(1);
    world.add_gateways(1);
    BOOST_REQUIRE(world.wait_until_ready(0));
    world.run_for(3s); // Until the long polls have begun.
    world.store.silence(world.store_addresses[0]);
    world.add_gateway();
    BOOST_REQUIRE(world.wait_until_ready(1));
    world.run_for(500ms);
    world.store.answer_again(world.store_addresses[0]);
    auto const back = std::chrono::steady_clock::now();
    BOOST_TEST(world.run_until([&world] {
        auto const status =
            world.get(world.gateways[0]->settings().peer_address, "/v1/status");
        return nlohmann::json::parse(status.body).at("peers").size() == 1;
    }));
    BOOST_TEST((std::chrono::steady_clock::now() - back < longest));
}

BOOST_AUTO_TEST_SUITE_END()
