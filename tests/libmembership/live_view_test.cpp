#include "virtual_fleet.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <rapidcheck/state.h>

using namespace medlarstall;
using namespace medlarstall::membership;
using namespace std::chrono_literals;

namespace {

/// Upper limit for the time from the stop of a daemon until all others have
/// noticed it.
constexpr auto max_detection_time = 2000ms;

void check_all_agree(virtual_fleet& fleet, std::set<std::size_t> const& live)
{
    BOOST_TEST(fleet.agrees(live));
}

} // namespace

BOOST_AUTO_TEST_SUITE(live_view_suite)

BOOST_AUTO_TEST_CASE(loses_no_daemon_without_failures)
{
    virtual_fleet fleet{50};
    fleet.run(20s);
    check_all_agree(fleet, fleet.running());
    BOOST_TEST(fleet.loss_events == 0U);
}

BOOST_AUTO_TEST_CASE(detects_stopped_daemon_in_time)
{
    for (std::size_t const size : {2U, 3U, 5U, 50U, 350U}) {
        virtual_fleet fleet{size};
        fleet.run(3s);
        fleet.stop(1);
        fleet.run(max_detection_time);
        BOOST_TEST_CONTEXT(size << " daemons")
        {
            check_all_agree(fleet, fleet.running());
        }
    }
}

BOOST_AUTO_TEST_CASE(accepts_restarted_daemon)
{
    virtual_fleet fleet{20};
    fleet.run(3s);
    fleet.stop(3);
    fleet.run(3s);
    fleet.start(3);
    fleet.run(4s);
    check_all_agree(fleet, fleet.running());
}

BOOST_AUTO_TEST_CASE(detects_loss_of_data_centre)
{
    virtual_fleet fleet{120, 8};
    fleet.run(3s);
    for (std::size_t i = 0; i < 120; i += 8) {
        fleet.stop(i);
    }
    fleet.run(3s);
    check_all_agree(fleet, fleet.running());
}

BOOST_AUTO_TEST_CASE(interrupted_link_loses_neither_daemon)
{
    virtual_fleet fleet{20};
    fleet.run(3s);
    auto const peer = fleet.views[0]->linked_daemons().front();
    auto const peer_index = std::stoul(peer.substr(6)) - 1000;
    // The peer receives nothing from daemon 0, which still receives its
    // heartbeats.
    fleet.set_interrupted(0, peer_index, true);
    fleet.run(10s);
    check_all_agree(fleet, fleet.running());
    BOOST_TEST(!fleet.views[0]->is_reachable(peer));
    BOOST_TEST(
        !fleet.views[peer_index]->is_reachable(virtual_fleet::daemon_id(0)));
    fleet.set_interrupted(0, peer_index, false);
    fleet.run(3s);
    BOOST_TEST(fleet.views[0]->is_reachable(peer));
}

BOOST_AUTO_TEST_CASE(daemon_that_receives_nothing_is_lost)
{
    virtual_fleet fleet{20};
    fleet.run(3s);
    for (std::size_t i = 1; i < 20; ++i) {
        // The others still receive the heartbeats of daemon 0.
        fleet.set_interrupted(i, 0, true);
    }
    fleet.run(3s);
    for (std::size_t i = 1; i < 20; ++i) {
        BOOST_TEST(!fleet.views[i]->is_live(virtual_fleet::daemon_id(0)));
        BOOST_TEST(!fleet.views[0]->is_live(virtual_fleet::daemon_id(i)));
    }
}

BOOST_AUTO_TEST_CASE(partitions_agree_and_merge_again)
{
    // Most daemons of the smaller partition have all their neighbours in the
    // other one, so they have to find new links.
    virtual_fleet fleet{100};
    fleet.run(3s);
    auto const in_smaller = [](std::size_t i) {
        return i % 10 == 0;
    };
    for (std::size_t i = 0; i < 100; ++i) {
        for (std::size_t j = 0; j < 100; ++j) {
            fleet.set_interrupted(i, j, in_smaller(i) != in_smaller(j));
        }
    }
    fleet.run(90s);
    for (std::size_t i = 0; i < 100; ++i) {
        for (std::size_t j = 0; j < 100; ++j) {
            BOOST_TEST(fleet.views[i]->is_live(virtual_fleet::daemon_id(j)) ==
                       (in_smaller(i) == in_smaller(j)));
        }
    }
    fleet.interruptions.clear();
    fleet.run(10s);
    check_all_agree(fleet, fleet.running());
}

BOOST_AUTO_TEST_CASE(damps_flapping_daemon)
{
    virtual_fleet fleet{20};
    fleet.run(3s);
    std::size_t total_losses = 0;
    for (unsigned round = 0; round < 20; ++round) {
        fleet.paused.insert(4);
        fleet.run(2s);
        fleet.paused.erase(4);
        fleet.run(2s);
        total_losses = fleet.loss_events;
    }
    // Without damping, 20 pauses would cause 380 loss events at the 19 other
    // daemons.
    BOOST_TEST(total_losses < 19U * 6U);
    fleet.run(62s);
    check_all_agree(fleet, fleet.running());
}

BOOST_AUTO_TEST_CASE(own_suspension_loses_no_daemon)
{
    virtual_fleet fleet{20};
    fleet.run(3s);
    fleet.paused.insert(4);
    fleet.run(5s);
    fleet.paused.erase(4);
    fleet.run(500ms);
    for (std::size_t i = 0; i < 20; ++i) {
        BOOST_TEST(fleet.views[4]->is_live(virtual_fleet::daemon_id(i)));
    }
}

BOOST_AUTO_TEST_CASE(leaving_notice_reaches_all_daemons)
{
    virtual_fleet fleet{350};
    fleet.run(3s);
    fleet.views[7]->publish(leaving_notice{"runner9", 1, true});
    fleet.views[7]->publish(quarantine_notice{"q", 1, {{"crashes", 2}}});
    fleet.run(1s);
    for (auto const& view : fleet.views) {
        BOOST_TEST(view->leaving_notices().contains("runner9"));
    }
}

BOOST_AUTO_TEST_CASE(removes_unlisted_daemon)
{
    virtual_fleet fleet{6};
    fleet.run(2s);
    fleet.stop(5);
    fleet.listed.pop_back();
    fleet.publish_instance_list();
    fleet.run(3s);
    for (std::size_t i = 0; i < 5; ++i) {
        BOOST_TEST(fleet.views[i]->live_daemons().size() == 5U);
    }
}

BOOST_AUTO_TEST_CASE(heartbeat_round_trip)
{
    heartbeat const message{.from = "a",
                            .incarnation = 1U << 31U,
                            .sequence = 2,
                            .received_sequence = 3,
                            .catalogue_offset = 4,
                            .catalogue_chain_digest = "0123456789abcdef",
                            .reports_hash = ~0ULL,
                            .link_needed = true,
                            .link_reports = {{"b", 1, 2, {"c"}, {"d", "e"}}},
                            .leaving_notices = {{"r", 5, false}},
                            .quarantine_notices = {{"q", 6, {1, 2}}}};
    auto const bytes = nlohmann::json::to_cbor(to_json(message));
    auto const read = parse_heartbeat(nlohmann::json::from_cbor(bytes));
    BOOST_REQUIRE(!failed(read));
    BOOST_TEST((value_of(read) == message));
    BOOST_TEST(failed(parse_heartbeat(nlohmann::json::array({1}))));
    BOOST_TEST(failed(parse_heartbeat({})));
}

/// After random stops, starts, pauses and network interruptions followed by a
/// time without failures, all views agree on the running daemons.
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
            fleet.set_interrupted(a, b, true);
            break;
        case 3:
            fleet.set_interrupted(a, b, false);
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
    fleet.interruptions.clear();
    fleet.paused.clear();
    fleet.run(75s);
    RC_ASSERT(fleet.agrees(fleet.running()));
}

BOOST_AUTO_TEST_SUITE_END()
