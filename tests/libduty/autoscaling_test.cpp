// The orders of backend servers, replayed in virtual time against the loads and
// faults that were observed.

#include "autoscaling_simulation.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace medlarstall;
using namespace medlarstall::duty;
using namespace medlarstall::duty::simulation;

namespace {

/// Batches that are fuller than this on average make tokens clearly slower.
constexpr double slow_fill = 0.36;
constexpr double calm_mean = 10; // 640 requests at servers with 64 slots.

double calm(milliseconds at)
{
    return wave(calm_mean, at);
}

/// Bursts of long requests for 9 s and of short ones for 5 s, rising within
/// two seconds, because requests pile up over their own duration.
double with_bursts(milliseconds at)
{
    auto const ramp = [at](milliseconds begin, milliseconds end,
                           double height) {
        auto const up = std::chrono::duration<double>{at - begin}.count() / 2;
        auto const down = std::chrono::duration<double>{end - at}.count() / 2;
        return height * std::clamp(std::min(up, down), 0.0, 1.0);
    };
    return wave(calm_mean, at) * (1 + ramp(70s, 81s, 1.2) +
                                  ramp(95s, 102s, 0.9) + ramp(120s, 131s, 1.2));
}

} // namespace

BOOST_AUTO_TEST_SUITE(autoscaling_suite)

// Guards against too few servers in a wave, against a cost above half, and
// against numbers that follow each wave.
BOOST_AUTO_TEST_CASE(calm_waves_cost_less_than_half_without_oscillation)
{
    autoscaling_simulation run{calm};
    run.run_until(180s);
    BOOST_TEST(run.cost_share(180s) < 0.5);
    BOOST_TEST(run.worst_fill() < 0.2);
    BOOST_TEST(run.violations() == 0U);
    run.reset_figures();
    run.run_until(400s);
    BOOST_TEST(run.cost_share(220s) < 0.45);
    BOOST_TEST(run.calls() <= 10U);
}

// The cheapest placement of an idle service costs more than the limit, so that
// the decision looked for a cheaper one without end.
BOOST_AUTO_TEST_CASE(idle_service_that_costs_more_than_the_limit_is_decided)
{
    routes::autoscaling scaling;
    scaling.min_servers = 1;
    scaling.max_servers = 10;
    scaling.prices = {{"a", 1.0}};
    scaling_input input;
    input.data_centres["a"].regular = {2, 2, 2, false};
    input.first_price = 2.0;
    input.staying = 2;
    input.is_current = true;
    autoscaling_policy policy;
    auto now = time_point{} + 1h;
    for (int sample = 0; sample < 100; ++sample, now += 300ms) {
        policy.add_demand(0, true, now);
        auto const decision = policy.decide(scaling, input, now);
        BOOST_REQUIRE(total_of(decision.wanted) >= 1U);
    }
}

// Guards against a cost above half because the limits leave no room to start
// the servers that replace others.
BOOST_AUTO_TEST_CASE(heavy_load_costs_less_than_half_too)
{
    autoscaling_simulation run{[](milliseconds at) {
        return wave(30, at);
    }};
    run.run_until(60s);
    run.reset_figures();
    run.run_until(160s);
    BOOST_TEST(run.cost_share(100s) < 0.5);
    BOOST_TEST(run.worst_fill() < slow_fill);
    BOOST_TEST(run.calls() <= 10U);
    BOOST_TEST(run.violations() == 0U);
}

// Guards against tokens that become slow in a burst, which is shorter than the
// start of servers and the time in which a reduction would be undone.
BOOST_AUTO_TEST_CASE(bursts_find_enough_servers)
{
    autoscaling_simulation run{with_bursts};
    run.run_until(240s);
    BOOST_TEST(run.worst_fill() < 0.25);
    BOOST_TEST(run.cost_share(240s) < 0.5);
    BOOST_TEST(run.violations() == 0U);
}

// Guards against replacing crashed servers that come back, and against letting
// others go meanwhile.
BOOST_AUTO_TEST_CASE(crashed_servers_are_not_replaced)
{
    autoscaling_simulation run{calm};
    run.run_until(120s);
    auto const before = run.serving();
    run.reset_figures();
    run.crash_every(4);
    run.run_until(127s);
    BOOST_TEST(run.calls() == 0U);
    BOOST_TEST(run.serving() == before);
    BOOST_TEST(run.worst_fill() < slow_fill);
}

// Guards against too few servers while those of a data centre are taken back.
BOOST_AUTO_TEST_CASE(reclaimed_servers_are_replaced_elsewhere)
{
    for (auto const* const data_centre : {"a", "b", "c"}) {
        autoscaling_simulation run{calm};
        run.run_until(120s);
        auto const before = run.serving();
        run.reset_figures();
        run.reclaim(data_centre, 10s);
        run.run_until(123s);
        BOOST_TEST(run.ordered(data_centre, true) == 0U);
        run.run_until(130s);
        BOOST_TEST(run.serving() * 10 >= before * 9);
        run.run_until(200s);
        BOOST_TEST(run.worst_fill() < slow_fill);
        BOOST_TEST(run.cost_share(80s) < 0.5);
        BOOST_TEST(run.calls() <= 30U);
        BOOST_TEST(run.violations() == 0U);
    }
}

// Guards against waiting for reclaimable servers that are nowhere available,
// and against asking for them again and again.
BOOST_AUTO_TEST_CASE(regular_servers_replace_reclaimed_ones_if_none_are_left)
{
    autoscaling_simulation run{calm};
    run.run_until(120s);
    auto const before = run.serving();
    run.reset_figures();
    for (auto const* const other : {"a", "c"}) {
        run.refused_until[other] = 150s;
    }
    run.reclaim("b", 30s);
    run.run_until(132s);
    BOOST_TEST(run.serving() * 10 >= before * 9);
    BOOST_TEST(run.worst_fill() < slow_fill);
    BOOST_TEST(run.calls() <= 20U);
    run.run_until(240s);
    BOOST_TEST(run.violations() == 0U);
    run.reset_figures();
    run.run_until(300s);
    BOOST_TEST(run.cost_share(60s) < 0.5); // Reclaimable ones are back.
}

// Guards against a flood of calls after an outage, and against orders that are
// lost in it.
BOOST_AUTO_TEST_CASE(newest_orders_follow_an_outage_of_the_platform)
{
    autoscaling_simulation run{with_bursts};
    run.run_until(65s);
    run.platform_is_silent = true;
    run.reset_figures();
    run.run_until(90s);
    BOOST_TEST(run.calls() <= 60U);
    run.platform_is_silent = false;
    run.reset_figures();
    run.run_until(92s);
    BOOST_TEST(run.calls() <= 12U);
    run.run_until(110s);
    BOOST_TEST(run.worst_fill() < slow_fill);
    BOOST_TEST(run.violations() == 0U);
}

// Guards against a new holder that takes its ignorance of the load for a lack
// of it, or orders everything anew.
BOOST_AUTO_TEST_CASE(new_holder_goes_on_from_the_stored_orders)
{
    autoscaling_simulation run{calm};
    run.run_until(120s);
    auto const before = run.serving();
    for (auto const at : {121s, 125s, 140s}) {
        run.run_until(at);
        run.reset_figures();
        run.change_holder();
        run.run_until(at + 3s);
        BOOST_TEST(run.calls() == 0U);
    }
    run.run_until(160s);
    BOOST_TEST(run.calls() <= 6U);
    BOOST_TEST(run.serving() * 10 >= before * 9);
    BOOST_TEST(run.worst_fill() < 0.2);
}

// Guards against letting servers go while it is not known which there are.
BOOST_AUTO_TEST_CASE(number_does_not_fall_without_a_current_list)
{
    autoscaling_simulation run{[](milliseconds at) {
        return at < 60s ? calm(at) : 1.0;
    }};
    run.run_until(60s);
    run.list_is_known = false;
    run.run_until(62s);
    auto const before = run.serving();
    run.run_until(120s);
    BOOST_TEST(run.serving() == before);
    run.list_is_known = true;
    run.run_until(200s);
    BOOST_TEST(run.serving() < before);
}

// Guards against letting servers go because the holder is cut off from its
// peers, whose requests it then does not see.
BOOST_AUTO_TEST_CASE(number_does_not_fall_without_the_load_of_the_peers)
{
    autoscaling_simulation run{calm};
    run.run_until(80s);
    auto const before = run.serving();
    run.peers_are_heard = false;
    run.run_until(160s);
    BOOST_TEST(run.serving() >= before);
    run.peers_are_heard = true;
    run.run_until(200s);
    BOOST_TEST(run.serving() * 10 >= before * 9);
    BOOST_TEST(run.worst_fill() < 0.2);
}

// Guards against a service without any server, which no request can reach.
BOOST_AUTO_TEST_CASE(some_servers_stay_without_any_load)
{
    autoscaling_simulation run{[](milliseconds) {
        return 0.0;
    }};
    run.run_until(600s);
    BOOST_TEST(run.serving() >= 3U); // The limit is one in a data centre.
    BOOST_TEST(run.serving() <= 9U);
    BOOST_TEST(run.violations() == 0U);
}

// Guards against any order for a service that does not ask for it, also if an
// older record holds orders for it.
BOOST_AUTO_TEST_CASE(nothing_is_ordered_without_the_field_or_the_duty)
{
    autoscaling_simulation run{with_bursts};
    run.run_until(20s);
    run.is_configured = false;
    run.run_until(21s);
    run.reset_figures();
    run.run_until(150s);
    run.change_holder();
    run.run_until(200s);
    BOOST_TEST(run.calls() == 0U);

    autoscaling_duty idle;
    idle.observe({{{"s", scaling(), 50, {}}}, duration{0}, true, true},
                 time_point{} + 1h);
    BOOST_TEST(idle.due_calls(time_point{} + 2h).empty());
    BOOST_TEST(idle.revision() == 0U);
}

// Guards against orders outside the limits in any mix of loads and faults.
RC_BOOST_PROP(orders_stay_within_the_limits, ())
{
    auto const seed = *rc::gen::arbitrary<std::uint32_t>();
    auto const mean = *rc::gen::inRange(0, 60);
    std::mt19937 random{seed};
    autoscaling_simulation run{[mean](milliseconds at) {
        return wave(mean, at) * (at / 17s % 3 == 2 ? 2.2 : 1.0);
    }};
    std::vector<std::string> const places{"a", "b", "c"};
    while (run.now() < 150s) {
        run.run_until(run.now() + milliseconds{random() % 8000 / 100 * 100});
        auto const& place = places[random() % 3];
        switch (random() % 6) {
        case 0:
            run.reclaim(place, 9s);
            break;
        case 1:
            run.refused_until[place] = run.now() + 7s;
            break;
        case 2:
            run.crash_every(4);
            break;
        case 3:
            run.platform_is_silent = !run.platform_is_silent;
            break;
        case 4:
            run.change_holder();
            break;
        default:
            run.list_is_known = !run.list_is_known;
        }
    }
    RC_ASSERT(run.violations() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
