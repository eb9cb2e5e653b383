// The emulated backend server with a model: batches, chunked prefill, cached
// prompt parts, memory limits, preemption and the queue.

#include <medlarstall/emulator/model_server.hpp>

#include <boost/test/unit_test.hpp>

#include <map>

using namespace medlarstall;
using namespace medlarstall::emulator;

namespace {

using namespace std::chrono_literals;

struct received_event
{
    time_point at;
    std::uint32_t sequence;
    bool is_last;
};

/// A server and the events that it emitted, by request id.
struct server_fixture
{
    explicit server_fixture(model_server_settings settings)
        : server{
              events, settings, prefills,
              [this](std::uint64_t id, std::uint32_t sequence, bool is_last) {
                  received[id].push_back({events.now(), sequence, is_last});
              }}
    {}

    void run_for(duration span) { events.run_until(events.now() + span); }

    event_queue events;
    prefill_counter prefills;
    std::map<std::uint64_t, std::vector<received_event>> received;
    model_server server;
};

model_server_settings simple_settings()
{
    model_server_settings settings;
    settings.slots = 2;
    settings.queue_capacity = 2;
    settings.step_ms = 10;
    settings.step_ms_per_slot = 0;
    settings.prompt_tokens_per_ms = 10;
    settings.chunk_tokens = 1000;
    settings.memory_tokens = 10000;
    return settings;
}

model_request make_request(std::uint64_t id, std::uint32_t tokens,
                           std::uint32_t output, std::uint32_t priority = 0)
{
    return {id, {{1000 + id, tokens}}, output, priority, 0};
}

duration time_to_first_event(server_fixture const& fixture, std::uint64_t id)
{
    return fixture.received.at(id).front().at - event_queue::initial_time;
}

} // namespace

BOOST_AUTO_TEST_SUITE(model_server_suite)

BOOST_AUTO_TEST_CASE(prompt_is_prefilled_in_chunks_before_first_event)
{
    server_fixture fixture{simple_settings()};
    BOOST_REQUIRE(fixture.server.submit(make_request(1, 2500, 3)));
    fixture.run_for(10s);
    // Two full chunks take 100 ms each and the rest 50 ms; each of the three
    // steps adds 10 ms.
    BOOST_TEST((time_to_first_event(fixture, 1) == 280ms));
    BOOST_REQUIRE(fixture.received.at(1).size() == 3U);
    BOOST_TEST(fixture.received.at(1).back().is_last);
    BOOST_TEST((fixture.received.at(1).back().at - event_queue::initial_time ==
                300ms));
}

BOOST_AUTO_TEST_CASE(event_contains_several_tokens)
{
    auto settings = simple_settings();
    settings.tokens_per_event = 3;
    server_fixture fixture{settings};
    BOOST_REQUIRE(fixture.server.submit(make_request(1, 100, 7)));
    fixture.run_for(10s);
    auto const& received = fixture.received.at(1);
    BOOST_REQUIRE(received.size() == 3U);
    BOOST_TEST(received[0].sequence == 1U);
    BOOST_TEST(received[2].sequence == 3U);
    BOOST_TEST(received[2].is_last);
}

BOOST_AUTO_TEST_CASE(cached_part_is_not_prefilled_again)
{
    server_fixture fixture{simple_settings()};
    model_request first{1, {{7, 2000}, {8, 10}}, 1, 0, 0};
    model_request second{2, {{7, 2000}, {9, 10}}, 1, 0, 0};
    BOOST_REQUIRE(fixture.server.submit(first));
    fixture.run_for(10s);
    BOOST_TEST(fixture.server.cached_prefix_tokens(second.parts) == 2000U);
    BOOST_REQUIRE(fixture.server.submit(second));
    fixture.run_for(10s);
    BOOST_TEST(fixture.prefills.total_tokens() == 2020U);
    BOOST_TEST(fixture.prefills.repeated_tokens() == 0U);
}

BOOST_AUTO_TEST_CASE(part_after_missing_part_is_not_reused)
{
    server_fixture fixture{simple_settings()};
    BOOST_REQUIRE(fixture.server.submit({1, {{7, 500}, {8, 500}}, 1, 0, 0}));
    fixture.run_for(10s);
    BOOST_TEST(fixture.server.cached_prefix_tokens({{6, 10}, {8, 500}}) == 0U);
    BOOST_TEST(fixture.server.cached_prefix_tokens({{7, 500}, {6, 10}}) ==
               500U);
}

BOOST_AUTO_TEST_CASE(least_recently_used_part_is_evicted)
{
    server_fixture fixture{simple_settings()};
    for (std::uint64_t id = 1; id <= 3; ++id) {
        BOOST_REQUIRE(fixture.server.submit(make_request(id, 4000, 1)));
        fixture.run_for(10s);
    }
    BOOST_TEST(fixture.server.cached_prefix_tokens({{1001, 4000}}) == 0U);
    BOOST_TEST(fixture.server.cached_prefix_tokens({{1002, 4000}}) == 4000U);
    BOOST_TEST(fixture.server.cached_prefix_tokens({{1003, 4000}}) == 4000U);
}

BOOST_AUTO_TEST_CASE(queue_is_ordered_by_priority_and_bounded)
{
    auto settings = simple_settings();
    settings.slots = 1;
    server_fixture fixture{settings};
    BOOST_REQUIRE(fixture.server.submit(make_request(1, 100, 50, 0)));
    fixture.run_for(15ms);
    BOOST_REQUIRE(fixture.server.submit(make_request(2, 100, 1, 5)));
    BOOST_REQUIRE(fixture.server.submit(make_request(3, 100, 1, 1)));
    BOOST_TEST(!fixture.server.submit(make_request(4, 100, 1, 0)));
    fixture.run_for(10s);
    BOOST_TEST(
        (time_to_first_event(fixture, 3) < time_to_first_event(fixture, 2)));
}

BOOST_AUTO_TEST_CASE(more_urgent_request_preempts_another)
{
    auto settings = simple_settings();
    settings.slots = 1;
    server_fixture fixture{settings};
    BOOST_REQUIRE(fixture.server.submit(make_request(1, 100, 100, 5)));
    fixture.run_for(500ms);
    BOOST_REQUIRE(fixture.server.submit(make_request(2, 100, 2, 0)));
    fixture.run_for(60s);
    BOOST_TEST(fixture.server.preemptions() == 1U);
    BOOST_TEST(
        (fixture.received.at(2).back().at < fixture.received.at(1).back().at));
    // The preempted request resumes without repeating or skipping an event.
    std::uint32_t expected = 0;
    for (auto const& event : fixture.received.at(1)) {
        BOOST_TEST(event.sequence == ++expected);
    }
    BOOST_TEST(expected == 100U);
}

BOOST_AUTO_TEST_CASE(full_memory_preempts_newest_request)
{
    auto settings = simple_settings();
    settings.memory_tokens = 1100;
    server_fixture fixture{settings};
    BOOST_REQUIRE(fixture.server.submit(make_request(1, 400, 200)));
    BOOST_REQUIRE(fixture.server.submit(make_request(2, 400, 200)));
    fixture.run_for(60s);
    BOOST_TEST(fixture.server.preemptions() >= 1U);
    BOOST_TEST(fixture.received.at(1).back().is_last);
    BOOST_TEST(fixture.received.at(2).back().is_last);
    BOOST_TEST(
        (fixture.received.at(1).back().at < fixture.received.at(2).back().at));
}

BOOST_AUTO_TEST_CASE(request_larger_than_memory_is_rejected)
{
    server_fixture fixture{simple_settings()};
    BOOST_TEST(!fixture.server.submit(make_request(1, 10000, 1)));
}

BOOST_AUTO_TEST_CASE(crash_drops_all_requests_and_cached_parts)
{
    server_fixture fixture{simple_settings()};
    BOOST_REQUIRE(fixture.server.submit(make_request(1, 100, 1)));
    fixture.run_for(10s);
    BOOST_REQUIRE(fixture.server.submit(make_request(2, 100, 1000)));
    fixture.run_for(50ms);
    auto const lost = fixture.server.crash();
    BOOST_REQUIRE(lost.size() == 1U);
    BOOST_TEST(lost.front() == 2U);
    BOOST_TEST(!fixture.server.submit(make_request(3, 100, 1)));
    fixture.server.restart();
    BOOST_TEST(fixture.server.cached_prefix_tokens({{1001, 100}}) == 0U);
    auto const events = fixture.received[2].size();
    fixture.run_for(10s);
    BOOST_TEST(fixture.received[2].size() == events);
}

BOOST_AUTO_TEST_SUITE_END()
