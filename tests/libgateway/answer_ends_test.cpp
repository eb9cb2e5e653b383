// Tests gateways with backend servers whose answers have neither a length nor
// chunks, so that only the end of their connection ends them.

#include "gateway_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace medlarstall;
using namespace std::chrono_literals;
using platform_standins::behaviour;
using platform_standins::raw_server;
using platform_standins::server_standin;

namespace {

std::string const unframed_head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n"
                                  "X-Response-Seal: s\r\n\r\n";
std::string const plain_body = "half of a body";

/// \return events with the ids from 1 to a number
std::string events_up_to(std::uint64_t last)
{
    std::string text;
    for (std::uint64_t id = 1; id <= last; ++id) {
        auto const number = std::to_string(id);
        text.append("id: ").append(number);
        text.append("\ndata: event ").append(number).append("\n\n");
    }
    return text;
}

/// Number of events that the server sends before its connections end.
constexpr std::uint64_t first_events = 2;
/// Number of events of the whole stream, if it continues elsewhere.
constexpr std::uint64_t all_events = 4;

/// Fixture with one gateway and a server that sends the beginning of an answer,
/// and no more. A second server can go on with it.
struct unframed_answers : gateway_fixture
{
    raw_server ending;
    std::vector<std::shared_ptr<caller_answer>> answers;

    explicit unframed_answers(std::string const& body)
        : gateway_fixture{0}, ending{context, {unframed_head + body, "", {}}}
    {
        write_configuration(1);
        add_gateway();
        BOOST_REQUIRE(run_until([this] {
            return get(gateways[0]->settings().ready_address, "/api/readyz")
                       .status == 200;
        }));
        list_raw_server(ending);
    }

    /// Sends requests, which reach the server that ends its connections.
    void begin(std::size_t count, std::string const& path)
    {
        auto const before = ending.requests();
        for (std::size_t at = 0; at < count; ++at) {
            answers.push_back(
                send(0, "POST", path, "id-" + std::to_string(at)));
        }
        BOOST_REQUIRE(
            run_until([&] { return ending.requests() >= before + count; }));
        // What the server has sent is on its way.
        run_for(100ms);
    }

    /// Begins streams and waits until the callers have the first events.
    void begin_streams(std::size_t count, std::string const& path)
    {
        begin(count, path);
        BOOST_REQUIRE(run_until([this] {
            return std::ranges::all_of(answers, [](auto const& answer) {
                return answer->body == events_up_to(first_events);
            });
        }));
    }

    /// Starts a second server, which goes on with streams.
    server_standin& add_successor(std::size_t streams = 0)
    {
        servers.push_back(std::make_unique<server_standin>(context, "i-0"));
        for (std::size_t at = 0; at < streams; ++at) {
            servers[0]->script({behaviour::kind::answer, all_events});
        }
        list_server(0, "ready", 1);
        BOOST_REQUIRE(run_until([this] {
            return get(gateways[0]->settings().peer_address, "/v1/status")
                       .body.find("i-0") != std::string::npos;
        }));
        return *servers[0];
    }

    bool wait_for_ends()
    {
        return run_until([this] {
            return std::ranges::all_of(
                answers, [](auto const& answer) { return answer->ended(); });
        });
    }
};

/// Ends the process of a server within some streams.
void check_streams_continue(std::size_t count)
{
    unframed_answers world{events_up_to(first_events)};
    world.begin_streams(count, "/resume/a");
    auto const& successor = world.add_successor(count);
    world.ending.end_process();
    BOOST_REQUIRE(world.wait_for_ends());
    for (auto const& answer : world.answers) {
        BOOST_TEST(answer->complete);
        BOOST_TEST(answer->body == events_up_to(all_events));
    }
    BOOST_TEST(successor.runs().size() == count);
}

} // namespace

BOOST_AUTO_TEST_SUITE(answer_ends_suite)

// The process had ended between two events, and the kernel had closed the
// connection without a reset.
BOOST_AUTO_TEST_CASE(a_stream_is_told_as_complete_since_its_server_has_ended)
{
    check_streams_continue(1);
}

// Each connection was still open when the end of the one before was read.
BOOST_AUTO_TEST_CASE(streams_that_end_together_vouch_for_each_other)
{
    check_streams_continue(6);
}

BOOST_AUTO_TEST_CASE(a_stream_that_cannot_continue_is_told_as_complete)
{
    unframed_answers world{events_up_to(first_events)};
    world.begin_streams(1, "/stream/a");
    world.ending.end_process();
    BOOST_REQUIRE(world.wait_for_ends());
    BOOST_TEST(world.answers[0]->broken);
    BOOST_TEST(!world.answers[0]->complete);
}

BOOST_AUTO_TEST_CASE(part_of_a_plain_answer_is_told_as_the_whole)
{
    unframed_answers world{plain_body};
    world.begin(1, "/once/a");
    world.ending.end_process();
    BOOST_REQUIRE(world.wait_for_ends());
    BOOST_TEST(world.answers[0]->status == 502);
}

BOOST_AUTO_TEST_CASE(part_of_a_plain_answer_ends_a_request_that_may_run_again)
{
    unframed_answers world{plain_body};
    world.begin(1, "/safe/a");
    world.add_successor();
    world.ending.end_process();
    BOOST_REQUIRE(world.wait_for_ends());
    BOOST_TEST(world.answers[0]->status == 200);
    BOOST_TEST(world.answers[0]->body == "done by i-0");
}

BOOST_AUTO_TEST_CASE(a_whole_stream_is_complete_as_another_connection_lives)
{
    unframed_answers world{events_up_to(first_events)};
    world.begin_streams(2, "/resume/a");
    auto const& successor = world.add_successor(2);
    auto const accepted = world.ending.accepted();
    world.ending.end_answers(1);
    auto const& answers = world.answers;
    BOOST_REQUIRE(world.run_until(
        [&] { return answers[0]->ended() || answers[1]->ended(); }));
    auto const& ended = answers[0]->ended() ? answers[0] : answers[1];
    BOOST_TEST(ended->complete);
    BOOST_TEST(ended->body == events_up_to(first_events));
    BOOST_TEST(successor.runs().empty());
    BOOST_TEST(world.ending.accepted() == accepted);
}

BOOST_AUTO_TEST_CASE(a_whole_stream_is_complete_without_another_connection)
{
    unframed_answers world{events_up_to(first_events)};
    world.begin_streams(1, "/resume/a");
    auto const& successor = world.add_successor(1);
    world.ending.end_answers();
    BOOST_REQUIRE(world.wait_for_ends());
    BOOST_TEST(world.answers[0]->complete);
    BOOST_TEST(world.answers[0]->body == events_up_to(first_events));
    BOOST_TEST(successor.runs().empty());
}

BOOST_AUTO_TEST_CASE(a_whole_plain_answer_is_delivered)
{
    unframed_answers world{plain_body};
    world.begin(1, "/once/a");
    world.ending.end_answers();
    BOOST_REQUIRE(world.wait_for_ends());
    BOOST_TEST(world.answers[0]->status == 200);
    BOOST_TEST(world.answers[0]->body == plain_body);
}

BOOST_AUTO_TEST_CASE(answers_that_end_together_cost_at_most_one_connection)
{
    constexpr std::size_t count = 100;
    unframed_answers world{events_up_to(first_events)};
    world.begin_streams(count, "/resume/a");
    // The gateway asks the server for the start of its process meanwhile.
    BOOST_REQUIRE(world.run_until([&] {
        return world.log_text().find("event=process ") != std::string::npos;
    }));
    auto const accepted = world.ending.accepted();
    world.ending.end_answers();
    BOOST_REQUIRE(world.wait_for_ends());
    for (auto const& answer : world.answers) {
        BOOST_TEST(answer->complete);
    }
    BOOST_TEST(world.ending.accepted() <= accepted + 1);
}

BOOST_AUTO_TEST_CASE(a_check_outlives_the_caller_that_waits_for_it)
{
    unframed_answers world{plain_body};
    world.begin(1, "/once/a");
    auto const accepted = world.ending.accepted();
    world.ending.end_answers();
    BOOST_REQUIRE(
        world.run_until([&] { return world.ending.accepted() > accepted; }));
    world.connections.clear();
    world.run_for(200ms);
    BOOST_TEST(world.log_text().find("event=answer_end") == std::string::npos);
    world.answers.clear();
    world.begin(1, "/once/b");
    world.ending.end_answers();
    BOOST_REQUIRE(world.wait_for_ends());
    BOOST_TEST(world.answers[0]->body == plain_body);
}

BOOST_AUTO_TEST_CASE(an_answer_with_a_length_waits_for_the_check)
{
    unframed_answers world{plain_body};
    world.ending.set_answer({"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n"
                             "X-Response-Seal: s\r\nConnection: close\r\n"
                             "Content-Length: 2\r\n\r\nID",
                             "",
                             {}});
    auto const answer = world.send_and_wait(0, "POST", "/once/a", "X1");
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == "X1");
    BOOST_TEST(world.log_text().find("event=answer_end") == std::string::npos);
}

// Each connection that is open at the end of an answer ends soon after it.
BOOST_AUTO_TEST_CASE(short_answers_are_broken_as_no_connection_lasts)
{
    constexpr int rounds = 40;
    unframed_answers world{plain_body};
    for (int round = 0; round < rounds; ++round) {
        world.answers.push_back(
            world.send(0, "POST", "/once/a", "id-" + std::to_string(round)));
        world.run_for(20ms);
        world.ending.end_answers(round + 1 < rounds ? 1 : 0);
    }
    BOOST_REQUIRE(world.wait_for_ends());
    for (auto const& answer : world.answers) {
        BOOST_TEST(answer->status == 200);
        BOOST_TEST(answer->body == plain_body);
    }
    BOOST_TEST_MESSAGE("connections: " << world.ending.accepted());
}

// A resumption at the last event has an empty rest.
BOOST_AUTO_TEST_CASE(a_whole_stream_ends_well_if_its_server_ends_right_after)
{
    unframed_answers world{events_up_to(first_events)};
    world.begin_streams(1, "/resume/a");
    auto& successor = world.add_successor();
    successor.script({behaviour::kind::answer, first_events});
    world.ending.end_process();
    BOOST_REQUIRE(world.wait_for_ends());
    BOOST_TEST(world.answers[0]->complete);
    BOOST_TEST(world.answers[0]->body == events_up_to(first_events));
}

BOOST_AUTO_TEST_SUITE_END()
