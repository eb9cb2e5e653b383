// Tests when a request may still be sent for its caller, who may be connected
// to another daemon that is not heard any more.

#include <medlarstall/dispatch/caller_presence.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <random>

using namespace medlarstall;
using namespace medlarstall::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr std::uint64_t incarnation = 7;
constexpr auto all_kinds = {routes::route_kind::idempotent,
                            routes::route_kind::at_most_once,
                            routes::route_kind::stream};

/// \return the caller of a request forwarded by a daemon heard at the start
caller_view forwarded(routes::route_kind kind)
{
    caller_view view;
    view.kind = kind;
    view.origin_incarnation = incarnation;
    view.origin = daemon_hearing{incarnation, start, {}, {}};
    view.patient_until = start + 2s;
    return view;
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_presence_suite)

// The bounds after which callers were seen to leave.
BOOST_AUTO_TEST_CASE(callers_wait_longer_or_shorter_than_they_do)
{
    routes::route route;
    route.objective = 400ms;
    BOOST_TEST((patience_of(route, 3000ms).unread == 1s));
    BOOST_TEST((patience_of(route, 1500ms).unread == 500ms));
    BOOST_TEST((patience_of(route, 3000ms).gap == 2s));
    route.objective = 900ms;
    BOOST_TEST((patience_of(route, 3000ms).gap == 3600ms));
    route.pause_objective = 700ms;
    BOOST_TEST((patience_of(route, 3000ms).gap == 5600ms));
}

// A request was sent although its origin could not have told of a departure.
BOOST_AUTO_TEST_CASE(a_request_is_sent_for_an_origin_that_is_silent)
{
    for (auto const kind : all_kinds) {
        auto const view = forwarded(kind);
        BOOST_TEST((decide_send(view, start + 300ms).presence ==
                    caller_presence::present));
        BOOST_TEST((decide_send(view, start + 401ms).presence ==
                    caller_presence::unheard));
        BOOST_TEST((decide_send(view, start + 2001ms).presence ==
                    caller_presence::departed));
    }
}

// An origin that wakes states that it runs before it has read who has left.
BOOST_AUTO_TEST_CASE(a_request_is_sent_at_the_first_update_after_a_silence)
{
    heard_daemons heard;
    heard.on_heard("a", incarnation, start);
    heard.on_heard("a", incarnation, start + 600ms);
    auto view = forwarded(routes::route_kind::idempotent);
    view.origin = heard.find("a");
    BOOST_TEST((decide_send(view, start + 700ms).presence ==
                caller_presence::unheard));
    BOOST_TEST((decide_send(view, start + 801ms).presence ==
                caller_presence::present));
}

// The connection of the caller has ended with the run of its daemon.
BOOST_AUTO_TEST_CASE(a_request_goes_on_after_its_origin_has_restarted)
{
    heard_daemons heard;
    heard.on_heard("a", incarnation, start);
    heard.on_heard("a", incarnation + 1, start + 10ms);
    heard.on_heard("a", incarnation, start + 20ms); // An old datagram.
    for (auto const kind : all_kinds) {
        auto view = forwarded(kind);
        view.origin = heard.find("a");
        BOOST_TEST((decide_send(view, start + 20ms).presence ==
                    caller_presence::departed));
        BOOST_TEST((decide_run(view, start + 20ms).presence ==
                    caller_presence::departed));
    }
}

// Runs went on for callers that nobody could hear, or were ended although the
// request must not run twice, or although this daemon itself had not listened.
BOOST_AUTO_TEST_CASE(a_run_is_ended_or_goes_on_wrongly_in_a_silence)
{
    for (auto const kind : all_kinds) {
        auto view = forwarded(kind);
        auto const repeatable = kind != routes::route_kind::at_most_once;
        BOOST_TEST((decide_run(view, start + 450ms).presence ==
                    caller_presence::present));
        BOOST_TEST(((decide_run(view, start + 451ms).presence ==
                     caller_presence::unheard) == repeatable));
        view.origin->listening_since = start + 400ms;
        BOOST_TEST((decide_run(view, start + 600ms).presence ==
                    caller_presence::present));
        BOOST_TEST((decide_send(view, start + 600ms).presence ==
                    caller_presence::unheard));
    }
}

// Daemons of an older version state no incarnation, and some are never heard.
BOOST_AUTO_TEST_CASE(an_unknown_origin_is_taken_to_be_silent)
{
    for (auto const kind : all_kinds) {
        auto older = forwarded(kind);
        older.origin_incarnation.reset();
        auto unheard = forwarded(kind);
        unheard.origin.reset();
        for (auto const& view : {older, unheard}) {
            BOOST_TEST((decide_send(view, start + 1500ms).presence ==
                        caller_presence::present));
            BOOST_TEST((decide_run(view, start + 1500ms).presence ==
                        caller_presence::present));
        }
    }
}

// Only a stream is given up while nothing is delivered.
BOOST_AUTO_TEST_CASE(a_caller_that_is_heard_is_given_up_too_early)
{
    for (auto const kind : all_kinds) {
        caller_view view;
        view.kind = kind;
        view.patient_until = start + 2s;
        auto const is_stream = kind == routes::route_kind::stream;
        auto const decision = decide_send(view, start + 2001ms);
        BOOST_TEST(
            ((decision.presence == caller_presence::departed) == is_stream));
        view.has_left = true;
        BOOST_TEST(
            (decide_send(view, start).presence == caller_presence::departed));
    }
}

// Origins and callers that leave at any time, with lost updates: whatever the
// daemon hears, it sends nothing 0.5 s after a departure that it cannot hear.
BOOST_AUTO_TEST_CASE(a_request_is_sent_half_a_second_after_its_caller_has_left)
{
    std::mt19937 random{20261206};
    std::uniform_int_distribution<int> draw{0, 99};
    for (int round = 0; round < 2000; ++round) {
        heard_daemons heard;
        heard.on_heard("a", incarnation, start);
        auto const cut_at = start + 20ms * draw(random);
        auto const left_at = cut_at + 10ms * draw(random);
        auto const healed_at = left_at + 30ms * draw(random);
        for (auto now = start; now < start + 8s; now += 20ms) {
            auto const updates = (now - start) % 100ms == duration{0};
            auto const cut = now >= cut_at && now < healed_at;
            if (updates && !cut && draw(random) > 20) {
                heard.on_heard("a", incarnation, now);
            }
            auto view = forwarded(routes::route_kind::idempotent);
            view.origin = heard.find("a");
            // The close is read shortly after the origin is reached again.
            view.has_left = now >= std::max(healed_at, left_at) + 150ms;
            if (decide_send(view, now).presence == caller_presence::present) {
                BOOST_REQUIRE((now < left_at + 500ms));
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
