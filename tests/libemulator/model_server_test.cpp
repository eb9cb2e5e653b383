// The emulated backend server: batches, prompts read in chunks, kept parts,
// memory, preemption and its queue.

#include <medlarstall/emulator/model_server.hpp>

#include <boost/test/unit_test.hpp>

#include <map>

using namespace medlarstall;
using namespace medlarstall::emulator;

namespace {

using namespace std::chrono_literals;

struct told_event
{
    time_point at;
    std::uint32_t number;
    bool whole;
};

/// One server and what it told.
struct server_world
{
    explicit server_world(model_speed speed)
        : server{events, speed, readings,
                 [this](std::uint64_t id, std::uint32_t number, bool whole) {
                     told[id].push_back({events.now(), number, whole});
                 }}
    {}

    void run_for(duration span) { events.run_until(events.now() + span); }

    event_queue events;
    reading_record readings;
    std::map<std::uint64_t, std::vector<told_event>> told;
    model_server server;
};

model_speed simple_speed()
{
    model_speed speed;
    speed.slots = 2;
    speed.queue = 2;
    speed.step_ms = 10;
    speed.step_ms_per_slot = 0;
    speed.prompt_tokens_per_ms = 10;
    speed.chunk_tokens = 1000;
    speed.memory_tokens = 10000;
    return speed;
}

model_work make_work(std::uint64_t id, std::uint32_t tokens,
                     std::uint32_t output, std::uint32_t priority = 0)
{
    return {id, {{1000 + id, tokens}}, output, priority, 0};
}

duration first_event(server_world const& world, std::uint64_t id)
{
    return world.told.at(id).front().at - event_queue::start;
}

} // namespace

BOOST_AUTO_TEST_SUITE(model_server_suite)

BOOST_AUTO_TEST_CASE(a_prompt_is_read_in_chunks_before_the_first_event)
{
    server_world world{simple_speed()};
    BOOST_REQUIRE(world.server.submit(make_work(1, 2500, 3)));
    world.run_for(10s);
    // Two whole chunks of 100 ms and one of 50 ms, a step of 10 ms with each.
    BOOST_TEST((first_event(world, 1) == 280ms));
    BOOST_REQUIRE(world.told.at(1).size() == 3U);
    BOOST_TEST(world.told.at(1).back().whole);
    BOOST_TEST((world.told.at(1).back().at - event_queue::start == 300ms));
}

BOOST_AUTO_TEST_CASE(events_hold_several_tokens)
{
    auto speed = simple_speed();
    speed.tokens_per_event = 3;
    server_world world{speed};
    BOOST_REQUIRE(world.server.submit(make_work(1, 100, 7)));
    world.run_for(10s);
    auto const& told = world.told.at(1);
    BOOST_REQUIRE(told.size() == 3U);
    BOOST_TEST(told[0].number == 1U);
    BOOST_TEST(told[2].number == 3U);
    BOOST_TEST(told[2].whole);
}

BOOST_AUTO_TEST_CASE(a_kept_part_is_not_read_again)
{
    server_world world{simple_speed()};
    model_work first{1, {{7, 2000}, {8, 10}}, 1, 0, 0};
    model_work second{2, {{7, 2000}, {9, 10}}, 1, 0, 0};
    BOOST_REQUIRE(world.server.submit(first));
    world.run_for(10s);
    BOOST_TEST(world.server.kept_tokens(second.parts) == 2000U);
    BOOST_REQUIRE(world.server.submit(second));
    world.run_for(10s);
    BOOST_TEST(world.readings.read() == 2020U);
    BOOST_TEST(world.readings.again() == 0U);
}

BOOST_AUTO_TEST_CASE(a_part_after_a_missing_one_is_read_again)
{
    server_world world{simple_speed()};
    BOOST_REQUIRE(world.server.submit({1, {{7, 500}, {8, 500}}, 1, 0, 0}));
    world.run_for(10s);
    BOOST_TEST(world.server.kept_tokens({{6, 10}, {8, 500}}) == 0U);
    BOOST_TEST(world.server.kept_tokens({{7, 500}, {6, 10}}) == 500U);
}

BOOST_AUTO_TEST_CASE(the_least_recently_used_part_gives_way)
{
    server_world world{simple_speed()};
    for (std::uint64_t id = 1; id <= 3; ++id) {
        BOOST_REQUIRE(world.server.submit(make_work(id, 4000, 1)));
        world.run_for(10s);
    }
    BOOST_TEST(world.server.kept_tokens({{1001, 4000}}) == 0U);
    BOOST_TEST(world.server.kept_tokens({{1002, 4000}}) == 4000U);
    BOOST_TEST(world.server.kept_tokens({{1003, 4000}}) == 4000U);
}

BOOST_AUTO_TEST_CASE(the_queue_is_by_urgency_and_bounded)
{
    auto speed = simple_speed();
    speed.slots = 1;
    server_world world{speed};
    BOOST_REQUIRE(world.server.submit(make_work(1, 100, 50, 0)));
    world.run_for(15ms);
    BOOST_REQUIRE(world.server.submit(make_work(2, 100, 1, 5)));
    BOOST_REQUIRE(world.server.submit(make_work(3, 100, 1, 1)));
    BOOST_TEST(!world.server.submit(make_work(4, 100, 1, 0)));
    world.run_for(10s);
    BOOST_TEST((first_event(world, 3) < first_event(world, 2)));
}

BOOST_AUTO_TEST_CASE(a_more_urgent_request_takes_the_place_of_another)
{
    auto speed = simple_speed();
    speed.slots = 1;
    server_world world{speed};
    BOOST_REQUIRE(world.server.submit(make_work(1, 100, 100, 5)));
    world.run_for(500ms);
    BOOST_REQUIRE(world.server.submit(make_work(2, 100, 2, 0)));
    world.run_for(60s);
    BOOST_TEST(world.server.preemptions() == 1U);
    BOOST_TEST((world.told.at(2).back().at < world.told.at(1).back().at));
    // The one that gave way goes on where it was: each event comes once.
    std::uint32_t expected = 0;
    for (auto const& event : world.told.at(1)) {
        BOOST_TEST(event.number == ++expected);
    }
    BOOST_TEST(expected == 100U);
}

BOOST_AUTO_TEST_CASE(memory_that_runs_out_costs_the_newest)
{
    auto speed = simple_speed();
    speed.memory_tokens = 1100;
    server_world world{speed};
    BOOST_REQUIRE(world.server.submit(make_work(1, 400, 200)));
    BOOST_REQUIRE(world.server.submit(make_work(2, 400, 200)));
    world.run_for(60s);
    BOOST_TEST(world.server.preemptions() >= 1U);
    BOOST_TEST(world.told.at(1).back().whole);
    BOOST_TEST(world.told.at(2).back().whole);
    BOOST_TEST((world.told.at(1).back().at < world.told.at(2).back().at));
}

BOOST_AUTO_TEST_CASE(a_request_larger_than_the_memory_is_turned_away)
{
    server_world world{simple_speed()};
    BOOST_TEST(!world.server.submit(make_work(1, 10000, 1)));
}

BOOST_AUTO_TEST_CASE(a_crash_loses_all_requests_and_all_kept_parts)
{
    server_world world{simple_speed()};
    BOOST_REQUIRE(world.server.submit(make_work(1, 100, 1)));
    world.run_for(10s);
    BOOST_REQUIRE(world.server.submit(make_work(2, 100, 1000)));
    world.run_for(50ms);
    auto const lost = world.server.crash();
    BOOST_REQUIRE(lost.size() == 1U);
    BOOST_TEST(lost.front() == 2U);
    BOOST_TEST(!world.server.submit(make_work(3, 100, 1)));
    world.server.restart();
    BOOST_TEST(world.server.kept_tokens({{1001, 100}}) == 0U);
    auto const events = world.told[2].size();
    world.run_for(10s);
    BOOST_TEST(world.told[2].size() == events);
}

BOOST_AUTO_TEST_SUITE_END()
