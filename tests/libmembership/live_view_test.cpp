#include "virtual_fleet.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <rapidcheck/state.h>

using namespace medlarstall;
using namespace medlarstall::membership;
using namespace std::chrono_literals;

namespace {

/// Longest time from a stop to the last daemon that notices it.
constexpr auto detection_bound = 2000ms;

void check_agreement(virtual_fleet& fleet, std::set<std::size_t> const& live)
{
    BOOST_TEST(fleet.agrees(live));
}

} // namespace

BOOST_AUTO_TEST_SUITE(live_view_suite)

BOOST_AUTO_TEST_CASE(stays_quiet_while_nothing_fails)
{
    virtual_fleet fleet{50};
    fleet.run(20s);
    check_agreement(fleet, fleet.running());
    BOOST_TEST(fleet.losses == 0U);
}

BOOST_AUTO_TEST_CASE(notices_a_lost_daemon_within_the_bound)
{
    for (std::size_t const size : {2U, 3U, 5U, 50U, 350U}) {
        virtual_fleet fleet{size};
        fleet.run(3s);
        fleet.stop(1);
        fleet.run(detection_bound);
        BOOST_TEST_CONTEXT(size << " daemons")
        {
            check_agreement(fleet, fleet.running());
        }
    }
}

BOOST_AUTO_TEST_CASE(takes_a_restarted_daemon_back)
{
    virtual_fleet fleet{20};
    fleet.run(3s);
    fleet.stop(3);
    fleet.run(3s);
    fleet.start(3);
    fleet.run(4s);
    check_agreement(fleet, fleet.running());
}

BOOST_AUTO_TEST_CASE(notices_a_lost_data_centre)
{
    virtual_fleet fleet{120, 8};
    fleet.run(3s);
    for (std::size_t i = 0; i < 120; i += 8) {
        fleet.stop(i);
    }
    fleet.run(3s);
    check_agreement(fleet, fleet.running());
}

BOOST_AUTO_TEST_CASE(a_cut_between_two_daemons_loses_neither)
{
    virtual_fleet fleet{20};
    fleet.run(3s);
    auto const peer = fleet.views[0]->linked().front();
    auto const number = std::stoul(peer.substr(6)) - 1000;
    fleet.cut(0, number, true); // One way: the peer does not hear daemon 0.
    fleet.run(10s);
    check_agreement(fleet, fleet.running());
    BOOST_TEST(!fleet.views[0]->reachable(peer));
    BOOST_TEST(!fleet.views[number]->reachable(virtual_fleet::name(0)));
    fleet.cut(0, number, false);
    fleet.run(3s);
    BOOST_TEST(fleet.views[0]->reachable(peer));
}

BOOST_AUTO_TEST_CASE(a_daemon_that_hears_nobody_is_lost)
{
    virtual_fleet fleet{20};
    fleet.run(3s);
    for (std::size_t i = 1; i < 20; ++i) {
        fleet.cut(i, 0, true); // It sends still, and is heard.
    }
    fleet.run(3s);
    for (std::size_t i = 1; i < 20; ++i) {
        BOOST_TEST(!fleet.views[i]->is_live(virtual_fleet::name(0)));
        BOOST_TEST(!fleet.views[0]->is_live(virtual_fleet::name(i)));
    }
}

BOOST_AUTO_TEST_CASE(both_parts_of_a_partition_agree_and_heal)
{
    // Most daemons of the small part have all their neighbours in the other.
    virtual_fleet fleet{100};
    fleet.run(3s);
    auto const small = [](std::size_t i) {
        return i % 10 == 0;
    };
    for (std::size_t i = 0; i < 100; ++i) {
        for (std::size_t j = 0; j < 100; ++j) {
            fleet.cut(i, j, small(i) != small(j));
        }
    }
    fleet.run(90s);
    for (std::size_t i = 0; i < 100; ++i) {
        for (std::size_t j = 0; j < 100; ++j) {
            BOOST_TEST(fleet.views[i]->is_live(virtual_fleet::name(j)) ==
                       (small(i) == small(j)));
        }
    }
    fleet.cuts.clear();
    fleet.run(10s);
    check_agreement(fleet, fleet.running());
}

BOOST_AUTO_TEST_CASE(damps_a_daemon_that_flaps)
{
    virtual_fleet fleet{20};
    fleet.run(3s);
    std::size_t steady_losses = 0;
    for (unsigned round = 0; round < 20; ++round) {
        fleet.paused.insert(4);
        fleet.run(2s);
        fleet.paused.erase(4);
        fleet.run(2s);
        steady_losses = fleet.losses;
    }
    // 20 pauses would be 380 losses at the others without damping.
    BOOST_TEST(steady_losses < 19U * 6U);
    fleet.run(62s);
    check_agreement(fleet, fleet.running());
}

BOOST_AUTO_TEST_CASE(a_pause_of_its_own_loses_nobody)
{
    virtual_fleet fleet{20};
    fleet.run(3s);
    fleet.paused.insert(4);
    fleet.run(5s);
    fleet.paused.erase(4);
    fleet.run(500ms);
    for (std::size_t i = 0; i < 20; ++i) {
        BOOST_TEST(fleet.views[4]->is_live(virtual_fleet::name(i)));
    }
}

BOOST_AUTO_TEST_CASE(leaving_backend_servers_are_known_everywhere)
{
    virtual_fleet fleet{350};
    fleet.run(3s);
    fleet.views[7]->tell(leaving_notice{"runner9", 1, true});
    fleet.views[7]->tell(quarantine_notice{"q", 1, {{"crashes", 2}}});
    fleet.run(1s);
    for (auto const& view : fleet.views) {
        BOOST_TEST(view->leaving().contains("runner9"));
    }
}

BOOST_AUTO_TEST_CASE(follows_the_list)
{
    virtual_fleet fleet{6};
    fleet.run(2s);
    fleet.stop(5);
    fleet.listed.pop_back();
    fleet.publish_list();
    fleet.run(3s);
    for (std::size_t i = 0; i < 5; ++i) {
        BOOST_TEST(fleet.views[i]->live().size() == 5U);
    }
}

BOOST_AUTO_TEST_CASE(heartbeats_keep_their_content)
{
    heartbeat const message{.from = "a",
                            .incarnation = 1U << 31U,
                            .sequence = 2,
                            .heard = 3,
                            .catalogue_offset = 4,
                            .catalogue_chain = "0123456789abcdef",
                            .reports_hash = ~0ULL,
                            .wanted = true,
                            .reports = {{"b", 1, 2, {"c"}, {"d", "e"}}},
                            .leaving = {{"r", 5, false}},
                            .quarantine = {{"q", 6, {1, 2}}}};
    auto const bytes = nlohmann::json::to_cbor(to_json(message));
    auto const read = parse_heartbeat(nlohmann::json::from_cbor(bytes));
    BOOST_REQUIRE(!failed(read));
    BOOST_TEST((value_of(read) == message));
    BOOST_TEST(failed(parse_heartbeat(nlohmann::json::array({1}))));
    BOOST_TEST(failed(parse_heartbeat({})));
}

/// Any stops, starts, pauses and cuts, then a quiet time: all views agree on
/// the daemons that run.
RC_BOOST_PROP(converges_after_any_failures, ())
{
    auto const size = *rc::gen::inRange<std::size_t>(2, 24);
    virtual_fleet fleet{size};
    fleet.run(1s);
    auto const events = *rc::gen::inRange(1, 25);
    for (int i = 0; i < events; ++i) {
        auto const a = *rc::gen::inRange<std::size_t>(0, size);
        auto const b = *rc::gen::inRange<std::size_t>(0, size);
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            fleet.stop(a);
            break;
        case 1:
            fleet.start(a);
            break;
        case 2:
            fleet.cut(a, b, true);
            break;
        case 3:
            fleet.cut(a, b, false);
            break;
        case 4:
            fleet.paused.insert(a);
            break;
        default:
            fleet.paused.erase(a);
            break;
        }
        fleet.run(std::chrono::milliseconds{*rc::gen::inRange(50, 2500)});
    }
    fleet.cuts.clear();
    fleet.paused.clear();
    fleet.run(75s);
    RC_ASSERT(fleet.agrees(fleet.running()));
}

BOOST_AUTO_TEST_SUITE_END()
