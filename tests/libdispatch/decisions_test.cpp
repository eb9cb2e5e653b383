#include <medlarstall/dispatch/attempt_policy.hpp>
#include <medlarstall/dispatch/crash_ledger.hpp>
#include <medlarstall/dispatch/part_cache.hpp>
#include <medlarstall/dispatch/requested_pause.hpp>
#include <medlarstall/dispatch/retry_window.hpp>
#include <medlarstall/dispatch/server_health.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace medlarstall;
using namespace medlarstall::dispatch;

namespace {

using namespace std::chrono_literals;

constexpr time_point start{std::chrono::hours{1}};

routes::route make_route(routes::route_kind kind, bool resumable,
                         std::uint32_t attempts)
{
    routes::route made;
    made.kind = kind;
    made.resumable = resumable;
    made.attempts = attempts;
    return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(attempt_policy_suite)

RC_BOOST_PROP(what_may_run_once_is_never_sent_after_it_may_have_run, ())
{
    auto const kind =
        *rc::gen::element(routes::route_kind::once, routes::route_kind::stream);
    auto const route = make_route(kind, false, *rc::gen::inRange(1, 5));
    auto const failures = *rc::gen::container<std::vector<send_failure>>(
        rc::gen::element(send_failure::not_sent, send_failure::turned_away,
                         send_failure::lost));
    attempt_record record;
    bool lost = false;
    for (auto const failure : failures) {
        lost = lost || failure == send_failure::lost;
        auto const step = step_after(route, record, failure);
        // A refusal promises that it has not run.
        RC_ASSERT(!lost || step == next_step::give_up);
        RC_ASSERT(lost || step != next_step::give_up);
        if (step != next_step::send_again) {
            break;
        }
    }
}

RC_BOOST_PROP(no_more_servers_are_reached_than_allowed, ())
{
    auto const route = make_route(routes::route_kind::repeatable, false,
                                  *rc::gen::inRange(1, 5));
    attempt_record record;
    auto step = next_step::send_again;
    while (step == next_step::send_again) {
        auto const failure =
            *rc::gen::element(send_failure::turned_away, send_failure::lost);
        step = step_after(route, record, failure);
    }
    RC_ASSERT(record.reached == route.attempts);
}

BOOST_AUTO_TEST_CASE(a_stream_that_may_be_resumed_goes_on_elsewhere)
{
    auto const route = make_route(routes::route_kind::stream, true, 2);
    attempt_record record;
    BOOST_TEST(bool(step_after(route, record, send_failure::lost) ==
                    next_step::send_again));
    BOOST_TEST(bool(step_after(route, record, send_failure::lost) ==
                    next_step::give_up));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(retry_window_suite)

RC_BOOST_PROP(daemons_together_keep_the_budget_in_every_window, ())
{
    auto const daemons = *rc::gen::inRange<std::size_t>(1, 8);
    retry_limits const limits{0.2, 54.0, 10s};
    std::vector<retry_window> windows(daemons);
    struct event
    {
        int at_ms;
        bool retry;
    };
    std::vector<event> drawn;
    int requests = 0;
    auto now = start;
    auto const steps = *rc::gen::inRange(1, 800);
    for (int step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds{*rc::gen::inRange(0, 60)};
        auto& window = windows[*rc::gen::inRange<std::size_t>(0, daemons)];
        auto const at = static_cast<int>((now - start) / 1ms);
        if (*rc::gen::arbitrary<bool>()) {
            window.note_request(now);
            ++requests;
        } else if (window.try_draw(limits, daemons, now)) {
            drawn.push_back({at, true});
        }
    }
    for (auto const& last : drawn) {
        auto const in_window =
            std::ranges::count_if(drawn, [&last](event const& other) {
                return other.at_ms <= last.at_ms &&
                       other.at_ms > last.at_ms - 10000;
            });
        RC_ASSERT(static_cast<double>(in_window) <=
                  limits.ratio * requests + limits.slack);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(crash_ledger_suite)

BOOST_AUTO_TEST_CASE(refuses_a_request_after_its_third_crash)
{
    crash_ledger ledger;
    ledger.note_loss(1, "a", start);
    BOOST_TEST(ledger.note_down("a", start + 100ms).size() == 1U);
    ledger.note_loss(1, "b", start + 5s);
    ledger.note_down("b", start + 5100ms);
    BOOST_TEST(!ledger.refuses(1, start + 6s));
    ledger.note_loss(1, "c", start + 9s);
    ledger.note_down("c", start + 9100ms);
    BOOST_TEST(ledger.refuses(1, start + 10s));
    BOOST_TEST(!ledger.refuses(2, start + 10s));
}

BOOST_AUTO_TEST_CASE(a_reset_without_a_crash_counts_for_nothing)
{
    crash_ledger ledger;
    for (int at = 0; at < 10; ++at) {
        ledger.note_loss(1, "a", start + at * 1s);
    }
    BOOST_TEST(!ledger.refuses(1, start + 10s));
    BOOST_TEST(ledger.note_down("b", start + 10s).empty());
}

BOOST_AUTO_TEST_CASE(an_answer_clears_those_who_were_beside)
{
    crash_ledger ledger;
    ledger.note_loss(1, "a", start);
    ledger.note_loss(2, "a", start);
    ledger.note_down("a", start);
    ledger.note_success(2);
    for (std::uint64_t crash : {77U, 78U}) {
        ledger.merge({1, "b", crash}, start + 1s);
        ledger.merge({1, "b", crash}, start + 1s); // Told twice.
        ledger.merge({2, "b", crash}, start + 1s);
    }
    BOOST_TEST(ledger.refuses(1, start + 1s));
    BOOST_TEST(!ledger.refuses(2, start + 1s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(server_health_suite)

BOOST_AUTO_TEST_CASE(goes_down_and_comes_back_by_a_probe)
{
    server_health health;
    health.on_unreachable(start);
    BOOST_TEST(bool(health.state() == health::down));
    BOOST_TEST(!health.take_probe(start));
    BOOST_TEST(health.take_probe(start + 300ms));
    BOOST_TEST(!health.take_probe(start + 400ms)); // One at a time.
    health.on_probe_good(start + 500ms);
    BOOST_TEST(bool(health.state() == health::up));
}

BOOST_AUTO_TEST_CASE(silence_is_not_suspected_again_after_a_good_probe)
{
    // A slow server was probed every 100 ms by each daemon before.
    server_health health;
    health.on_silence(start);
    BOOST_TEST(health.take_probe(start));
    health.on_probe_good(start);
    health.on_silence(start + 100ms);
    BOOST_TEST(bool(health.state() == health::up));
    health.on_silence(start + 2100ms);
    BOOST_TEST(bool(health.state() == health::suspect));
}

BOOST_AUTO_TEST_CASE(probes_of_a_dead_server_become_rare)
{
    server_health health;
    health.on_unreachable(start);
    int probes = 0;
    for (auto at = 0ms; at < 10s; at += 10ms) {
        if (health.take_probe(start + at)) {
            ++probes;
            health.on_probe_failed(start + at);
        }
    }
    BOOST_TEST(probes <= 12);
    BOOST_TEST(probes >= 8);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(part_cache_suite)

BOOST_AUTO_TEST_CASE(only_leading_parts_count)
{
    part_cache cache;
    prompt const sent{"m", 30, 5, {{1, 10}, {2, 20}}};
    cache.note(sent, start, start);
    prompt const same_start{"m", 60, 5, {{1, 10}, {3, 20}, {2, 20}}};
    BOOST_TEST(cache.cached_tokens(same_start) == 10U);
    prompt const other_start{"m", 30, 5, {{3, 10}, {2, 20}}};
    BOOST_TEST(cache.cached_tokens(other_start) == 0U);
}

BOOST_AUTO_TEST_CASE(forgets_the_least_recently_used)
{
    part_cache cache;
    cache.set_capacity(25);
    cache.note({"m", 10, 0, {{1, 10}}}, start, start);
    cache.note({"m", 10, 0, {{2, 10}}}, start, start + 1s);
    cache.note({"m", 10, 0, {{1, 10}}}, start, start + 2s);
    cache.note({"m", 10, 0, {{3, 10}}}, start, start + 3s);
    BOOST_TEST(cache.cached_tokens({"m", 10, 0, {{1, 10}}}) == 10U);
    BOOST_TEST(cache.cached_tokens({"m", 10, 0, {{2, 10}}}) == 0U);
}

BOOST_AUTO_TEST_CASE(parts_can_be_copied_only_once_they_were_read)
{
    part_cache cache;
    prompt const sent{"m", 10, 0, {{1, 10}}};
    cache.note(sent, start + 1s, start);
    BOOST_TEST(cache.ready_tokens(sent, start) == 0U);
    BOOST_TEST(cache.ready_tokens(sent, start + 1s) == 10U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(requested_pause_suite)

BOOST_AUTO_TEST_CASE(nothing_is_admitted_until_its_end)
{
    requested_pause pause;
    BOOST_TEST(pause.admits(100, start));
    pause.note(1s, start);
    BOOST_TEST(!pause.admits(0, start + 999ms));
    BOOST_TEST((pause.left(start + 400ms) == 600ms));
    pause.note(200ms, start + 100ms); // A shorter one takes nothing back.
    BOOST_TEST(!pause.admits(0, start + 999ms));
    BOOST_TEST(pause.admits(0, start + 1s));
}

BOOST_AUTO_TEST_CASE(requests_return_one_after_the_other)
{
    requested_pause pause;
    pause.note(1s, start);
    BOOST_TEST(!pause.admits(1, start + 1s));
    BOOST_TEST(pause.admits(1, start + 1s + 40ms));
    BOOST_TEST(!pause.admits(8, start + 1s + 200ms));
    BOOST_TEST(pause.admits(100, start + 1s + 800ms));
}

BOOST_AUTO_TEST_CASE(a_mad_figure_is_capped)
{
    requested_pause pause;
    pause.note(-5s, start);
    BOOST_TEST(pause.admits(0, start));
    pause.note(std::chrono::hours{24}, start);
    BOOST_TEST(pause.admits(0, start + 60s));
}

BOOST_AUTO_TEST_SUITE_END()
