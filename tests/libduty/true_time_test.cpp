// Tests the time of day that a fleet agrees on while some of its clocks jump.

#include <medlarstall/duty/true_time.hpp>

#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <string>
#include <vector>

using namespace medlarstall;
using namespace medlarstall::duty;
using namespace std::chrono_literals;

namespace {

using std::chrono::milliseconds;

constexpr wall_time start{1'700'000'000'000ms};

/// A daemon that hears the wall clocks of others, each of which may be wrong.
struct clock_world
{
    true_time time;
    time_point now{1000s};
    wall_time wall = start;
    milliseconds own_error{0};
    std::vector<milliseconds> errors; ///< Of the other daemons.

    explicit clock_world(std::size_t others) : errors(others) { run(1s); }

    void run(milliseconds span)
    {
        constexpr auto step = 200ms;
        for (auto left = span; left > 0ms; left -= step) {
            now += step;
            wall += step;
            for (std::size_t at = 0; at < errors.size(); ++at) {
                time.on_peer_clock(std::to_string(at), wall + errors[at], now);
            }
            time.on_own_clock(wall + own_error, now);
        }
    }

    [[nodiscard]] milliseconds error() const { return time.at(now) - wall; }
};

} // namespace

BOOST_AUTO_TEST_SUITE(true_time_suite)

// Requests would be counted in a wrong window, and windows fixed too early.
BOOST_AUTO_TEST_CASE(the_clocks_of_a_quarter_of_the_fleet_jump)
{
    clock_world world{32};
    for (std::size_t at = 0; at < 9; ++at) {
        world.errors[at] = at % 2 == 0 ? -1150ms : 2400ms;
    }
    world.own_error = 2400ms;
    world.run(7s);
    BOOST_TEST(world.error().count() == 0);
    BOOST_TEST(world.time.own_jumps() == 1U);
    BOOST_TEST(world.time.own_deviation().count() == 2400);
}

// The median of two clocks lies between a right and a wrong one.
BOOST_AUTO_TEST_CASE(one_of_few_clocks_jumps_and_returns)
{
    for (std::size_t others = 0; others < 4; ++others) {
        clock_world world{others};
        world.own_error = -1150ms;
        world.run(8s);
        BOOST_TEST(world.error().count() == 0);
        world.own_error = 0ms;
        world.run(8s);
        BOOST_TEST(world.error().count() == 0);
        BOOST_TEST(world.time.own_deviation().count() == 0);
    }
}

// A clock that was corrected would be wrong for ever.
BOOST_AUTO_TEST_CASE(a_jump_that_persists_is_taken_over)
{
    clock_world world{0};
    world.own_error = 5000ms;
    world.run(50s);
    BOOST_TEST(world.error().count() == 0);
    world.run(12s);
    BOOST_TEST(world.error().count() == 5000);
}

// The monotonic clock does not count a suspension, so that all known offsets
// are too small after it.
BOOST_AUTO_TEST_CASE(the_machine_was_suspended)
{
    clock_world world{2};
    world.wall += 30s;
    world.time.on_suspended();
    world.run(400ms);
    BOOST_TEST(world.error().count() == 0);
}

// A whole fleet starts: only the own clock is known at first, and then others.
BOOST_AUTO_TEST_CASE(a_daemon_with_a_wrong_clock_starts_with_the_fleet)
{
    true_time time;
    time_point const now{5s};
    BOOST_TEST(time.clock_count() == 0U);
    time.on_own_clock(start + 2400ms, now);
    BOOST_TEST((time.at(now) == start + 2400ms));
    for (int at = 0; at < 5; ++at) {
        time.on_peer_clock(std::to_string(at), start, now);
    }
    time.on_own_clock(start + 2400ms, now);
    BOOST_TEST((time.at(now) == start));
}

BOOST_AUTO_TEST_CASE(invalid_and_outdated_clocks_do_not_vote)
{
    clock_world world{0};
    world.time.on_peer_clock("a", wall_time{milliseconds::max()}, world.now);
    world.time.on_peer_clock("b", wall_time{milliseconds::min()}, world.now);
    world.run(200ms);
    BOOST_TEST(world.time.clock_count() == 1U);
    world.time.on_peer_clock("c", world.wall, world.now);
    world.run(200ms);
    BOOST_TEST(world.time.clock_count() == 2U);
    world.run(31s);
    BOOST_TEST(world.time.clock_count() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
