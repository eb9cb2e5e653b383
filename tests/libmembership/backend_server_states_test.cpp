#include "fleet_lists.hpp"

#include <medlarstall/membership/backend_server_states.hpp>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace medlarstall;
using namespace medlarstall::membership;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1h};

} // namespace

BOOST_AUTO_TEST_SUITE(backend_server_states_suite)

BOOST_AUTO_TEST_CASE(keeps_server_leaving_while_list_is_outdated)
{
    auto servers = make_servers(2, 1, 1);
    auto const id = servers[0].id;
    backend_server_states states;
    states.on_server_list(servers, start);
    auto const notice = states.on_leaving(id, start + 1s);
    BOOST_REQUIRE(notice.has_value());
    BOOST_TEST(!states.on_leaving(id, start + 2s).has_value());
    BOOST_TEST(states.on_server_list(servers, start + 3s).empty());
    BOOST_TEST((states.state(id) == backend_server_state::leaving));
    BOOST_TEST(states.servers()[0].leaving);

    servers[0].leaving = true;
    states.on_server_list(servers, start + 10s);
    servers[0].leaving = false;
    auto const back = states.on_server_list(servers, start + 20s);
    BOOST_REQUIRE(back.size() == 1U);
    BOOST_TEST(!back[0].leaving);
    BOOST_TEST(back[0].epoch > notice->epoch);
    BOOST_TEST((states.state(id) == backend_server_state::live));
}

BOOST_AUTO_TEST_CASE(applies_notice_until_list_has_caught_up)
{
    auto servers = make_servers(2, 1, 1);
    backend_server_states states;
    leaving_notice const notice{servers[0].id, 1, true};
    BOOST_TEST(states.on_notice(notice, start));
    BOOST_TEST(!states.on_notice(notice, start));
    states.on_server_list(servers, start + 1s);
    BOOST_TEST((states.state(servers[0].id) == backend_server_state::leaving));
    BOOST_TEST((states.state(servers[1].id) == backend_server_state::live));
    BOOST_TEST(states.on_server_list(servers, start + 61s).size() == 1U);
    BOOST_TEST((states.state(servers[0].id) == backend_server_state::live));
    states.on_server_list({}, start + 62s);
    BOOST_TEST((states.state(servers[0].id) == backend_server_state::unlisted));
    BOOST_TEST(states.take_removed_ids().size() == 2U);
    BOOST_TEST(states.take_removed_ids().empty());
}

BOOST_AUTO_TEST_CASE(reports_server_that_is_listed_as_leaving_once)
{
    auto servers = make_servers(1, 1, 1);
    servers[0].leaving = true;
    backend_server_states states;
    auto const notices = states.on_server_list(servers, start);
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices[0].leaving);
    BOOST_TEST(states.on_server_list(servers, start + 1s).empty());
}

BOOST_AUTO_TEST_SUITE_END()
