#include "fleet_lists.hpp"

#include <medlarstall/membership/backend_server_states.hpp>
#include <medlarstall/membership/drain_state.hpp>
#include <medlarstall/membership/entry_directory.hpp>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace medlarstall;
using namespace medlarstall::membership;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1h};

std::vector<entry_candidate> candidates(std::size_t count,
                                        std::size_t data_centres)
{
    std::vector<entry_candidate> all;
    for (auto const& info : make_daemons(count, data_centres)) {
        all.push_back({.info = info});
    }
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(lifecycle_suite)

BOOST_AUTO_TEST_CASE(a_leaving_server_stays_so_while_the_list_lags)
{
    auto servers = make_servers(2, 1, 1);
    auto const id = servers[0].id;
    backend_server_states states;
    states.on_list(servers, start);
    auto const notice = states.on_leaving(id, start + 1s);
    BOOST_REQUIRE(notice.has_value());
    BOOST_TEST(!states.on_leaving(id, start + 2s).has_value());
    BOOST_TEST(states.on_list(servers, start + 3s).empty());
    BOOST_TEST((states.state(id) == backend_server_state::leaving));
    BOOST_TEST(states.servers()[0].leaving);

    servers[0].leaving = true;
    states.on_list(servers, start + 10s);
    servers[0].leaving = false;
    auto const back = states.on_list(servers, start + 20s);
    BOOST_REQUIRE(back.size() == 1U);
    BOOST_TEST(!back[0].leaving);
    BOOST_TEST(back[0].epoch > notice->epoch);
    BOOST_TEST((states.state(id) == backend_server_state::live));
}

BOOST_AUTO_TEST_CASE(another_daemon_learns_of_a_leaving_server)
{
    auto servers = make_servers(2, 1, 1);
    backend_server_states states;
    leaving_notice const notice{servers[0].id, 1, true};
    BOOST_TEST(states.on_notice(notice, start));
    BOOST_TEST(!states.on_notice(notice, start));
    states.on_list(servers, start + 1s);
    BOOST_TEST((states.state(servers[0].id) == backend_server_state::leaving));
    BOOST_TEST((states.state(servers[1].id) == backend_server_state::live));
    BOOST_TEST(states.on_list(servers, start + 61s).size() == 1U);
    BOOST_TEST((states.state(servers[0].id) == backend_server_state::live));
    states.on_list({}, start + 62s);
    BOOST_TEST((states.state(servers[0].id) == backend_server_state::gone));
    BOOST_TEST(states.take_forgotten().size() == 2U);
    BOOST_TEST(states.take_forgotten().empty());
}

BOOST_AUTO_TEST_CASE(a_listed_leaving_server_is_told_to_others)
{
    auto servers = make_servers(1, 1, 1);
    servers[0].leaving = true;
    backend_server_states states;
    auto const notices = states.on_list(servers, start);
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices[0].leaving);
    BOOST_TEST(states.on_list(servers, start + 1s).empty());
}

BOOST_AUTO_TEST_CASE(drains_without_cutting_off)
{
    drain_state drain{{}};
    BOOST_TEST((drain.update(3, start) == drain_phase::serving));
    BOOST_TEST(drain.is_listed());
    drain.start(start);
    BOOST_TEST(!drain.is_listed());
    BOOST_TEST(drain.asks_to_close());
    // A caller with an old answer is served until it expired, even if the
    // daemon was idle.
    BOOST_TEST((drain.update(0, start + 6900ms) == drain_phase::unlisted));
    BOOST_TEST(drain.accepts());
    BOOST_TEST((drain.update(2, start + 7000ms) == drain_phase::finishing));
    BOOST_TEST(!drain.accepts());
    BOOST_TEST((drain.update(1, start + 100s) == drain_phase::finishing));
    BOOST_TEST((drain.update(0, start + 100s) == drain_phase::finishing));
    BOOST_TEST((drain.update(0, start + 101s) == drain_phase::finished));
    BOOST_TEST(!drain.cut_off());
}

BOOST_AUTO_TEST_CASE(a_drain_ends_within_its_bound)
{
    drain_state drain{{.longest = 60s}};
    drain.start(start);
    drain.start(start + 30s);
    BOOST_TEST((drain.update(1, start + 59s) == drain_phase::finishing));
    BOOST_TEST((drain.update(1, start + 60s) == drain_phase::finished));
    BOOST_TEST(drain.cut_off());
}

BOOST_AUTO_TEST_CASE(lists_near_daemons_first_and_leaves_out_draining_ones)
{
    auto all = candidates(40, 4);
    all[0].draining = true;
    all[4].info.leaving = true;
    std::set<std::string> seen;
    for (std::uint64_t selection = 0; selection < 500; ++selection) {
        auto const entries = list_entries(all, "dc0", selection);
        BOOST_REQUIRE(entries.size() == 8U);
        for (std::size_t i = 0; i < entries.size(); ++i) {
            BOOST_TEST((entries[i].data_centre == "dc0") == (i < 7));
            seen.insert(entries[i].id);
        }
        BOOST_TEST(entries[0].weight > entries[7].weight);
    }
    BOOST_TEST(seen.size() == 38U); // All but the two that stop.
}

BOOST_AUTO_TEST_CASE(gives_loaded_daemons_less_weight)
{
    auto all = candidates(4, 1);
    all[2].load = 15;
    std::size_t first = 0;
    for (std::uint64_t selection = 0; selection < 500; ++selection) {
        auto const entries = list_entries(all, "dc0", selection);
        for (auto const& entry : entries) {
            bool const loaded = entry.id == all[2].info.id;
            BOOST_TEST(entry.weight == (loaded ? 10U : 160U));
        }
        first += entries[0].id == all[2].info.id ? 1 : 0;
    }
    BOOST_TEST(first < 40U);
}

BOOST_AUTO_TEST_CASE(lists_stopping_daemons_if_there_are_no_others)
{
    auto all = candidates(2, 1);
    all[0].draining = all[1].draining = true;
    BOOST_TEST(list_entries(all, "dc0", 1).size() == 2U);
    BOOST_TEST(list_entries({}, "dc0", 1).empty());
}

BOOST_AUTO_TEST_SUITE_END()
