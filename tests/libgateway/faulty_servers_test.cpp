// Tests a whole gateway with faulty backend servers: malformed answers, answers
// without an end, and stuck streams.

#include "gateway_fixture.hpp"

#include <medlarstall/platform_standins/raw_server.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

using namespace medlarstall;
using namespace std::chrono_literals;
using platform_standins::raw_answer;
using platform_standins::raw_server;

namespace {

/// Fixture with one gateway whose only backend server sends given bytes.
struct faulty_server_fixture : gateway_fixture
{
    raw_server faulty_server;

    explicit faulty_server_fixture(raw_answer answer)
        : gateway_fixture{0}, faulty_server{context, std::move(answer)}
    {
        write_configuration(1);
        add_gateway();
        BOOST_REQUIRE(run_until([this] {
            return get(gateways[0]->settings().ready_address, "/api/readyz")
                       .status == 200;
        }));
        list_raw_server(faulty_server);
    }

    /// \return true once the gateway closes the connection on which it received
    ///     no valid answer
    bool closes_connection()
    {
        return run_until([this] { return faulty_server.closed() > 0; });
    }
};

/// \return memory of this process that is in use, in bytes
std::size_t memory_in_use()
{
    std::ifstream file{"/proc/self/statm"};
    std::size_t all_pages = 0;
    std::size_t used_pages = 0;
    file >> all_pages >> used_pages;
    return used_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::string const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n"
                         "X-Response-Seal: s\r\n";

/// Well before the time limit of the routes, 3 s.
constexpr auto max_abort_time = 2000ms;

/// Sends a request and checks that the gateway closes the connection to the
/// backend server and answers 502 well before the time limit.
void check_aborted(faulty_server_fixture& world, std::string const& path)
{
    auto const before = std::chrono::steady_clock::now();
    auto const answer = world.send_and_wait(0, "POST", path, "id-1");
    auto const took = std::chrono::steady_clock::now() - before;
    BOOST_TEST(answer.status == 502);
    BOOST_TEST((took < max_abort_time));
    BOOST_TEST(world.closes_connection());
}

} // namespace

BOOST_AUTO_TEST_SUITE(faulty_servers_suite)

BOOST_AUTO_TEST_CASE(an_endless_header_line_is_aborted)
{
    faulty_server_fixture world{
        {"HTTP/1.1 200 OK\r\nX-Long: ", "aaaaaaaaaaaaaaaa", {}}};
    check_aborted(world, "/once/a");
}

BOOST_AUTO_TEST_CASE(endless_header_fields_are_aborted)
{
    faulty_server_fixture world{{head, "X-More: bytes and bytes\r\n", {}}};
    check_aborted(world, "/once/a");
}

BOOST_AUTO_TEST_CASE(endless_interim_answers_are_aborted)
{
    faulty_server_fixture world{{"", "HTTP/1.1 100 Continue\r\n\r\n", {}}};
    check_aborted(world, "/once/a");
}

BOOST_AUTO_TEST_CASE(an_endless_body_is_cut_off_at_the_time_limit)
{
    faulty_server_fixture world{{head + "\r\n", std::string(4096, 'b'), 1ms}};
    auto const answer = world.send_and_wait(0, "POST", "/once/a", "id-1");
    BOOST_TEST(!answer.complete);
    BOOST_TEST(answer.broken);
    BOOST_TEST(world.closes_connection());
}

BOOST_AUTO_TEST_CASE(an_endless_event_is_aborted)
{
    faulty_server_fixture world{{head + "\r\n", std::string(65536, 'e'), {}}};
    check_aborted(world, "/stream/a");
}

BOOST_AUTO_TEST_CASE(a_malformed_answer_is_not_relayed)
{
    faulty_server_fixture world{{"\x01\x02 no answer\r\n\r\n", "", {}}};
    auto const answer = world.send_and_wait(0, "POST", "/once/a", "id-1");
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(answer.body.find("no answer") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_duplicate_answer_is_not_relayed_to_another_caller)
{
    auto const copy =
        head + "Keep-Alive: timeout=9\r\nContent-Length: 2\r\n\r\nID";
    faulty_server_fixture world{{copy + copy, "", {}}};
    for (auto const* const id : {"X1", "X2", "X3"}) {
        auto const answer = world.send_and_wait(0, "POST", "/once/a", id);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.body == id);
    }
}

// A refusal of an earlier request, which named no request, was taken for the
// answer to a request that the server ran.
BOOST_AUTO_TEST_CASE(an_earlier_refusal_is_taken_for_that_of_a_later_request)
{
    std::string const refusal =
        "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    auto const good =
        head + "Keep-Alive: timeout=9\r\nContent-Length: 2\r\n\r\nID";
    faulty_server_fixture world{{good, "", {}, refusal}};
    for (auto const* const id : {"X1", "X2", "X3"}) {
        auto const answer = world.send_and_wait(0, "POST", "/once/a", id);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.body == id);
    }
}

// A 200 that breaks off within its head was relayed as a whole, empty answer.
BOOST_AUTO_TEST_CASE(an_answer_that_breaks_off_within_its_head_looks_whole)
{
    // Without a length, so that the end of the connection ends the body.
    auto const whole = head + "Content-Type: text/event-stream\r\n\r\n";
    faulty_server_fixture world{{whole, "", {}}};
    for (std::size_t bytes = 0; bytes + 1 < whole.size(); bytes += 3) {
        world.faulty_server.set_answer({whole, "", {}, "", bytes});
        for (auto const* const path : {"/once/a", "/safe/a", "/resume/a"}) {
            auto const answer = world.send_and_wait(
                0, "POST", path, "cut-" + std::to_string(bytes));
            BOOST_TEST_CONTEXT(path << " after " << bytes << " bytes")
            {
                BOOST_TEST((answer.broken || answer.status >= 500));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_stuck_stream_that_sends_some_bytes_is_resumed_elsewhere)
{
    using kind = platform_standins::behaviour::kind;
    gateway_fixture world{1};
    world.write_configuration(1);
    world.add_gateway();
    BOOST_REQUIRE(world.wait_until_ready(0));
    auto const before = world.total_runs();
    constexpr std::size_t held = 20; // Makes it choose the other server.
    for (std::size_t at = 0; at < held; ++at) {
        world.servers[0]->script({kind::hold});
        std::ignore =
            world.send(0, "POST", "/once/a", "held-" + std::to_string(at));
    }
    BOOST_REQUIRE(
        world.run_until([&] { return world.total_runs() == before + held; }));
    raw_server stuck{world.context,
                     {head + "\r\nid: 1\ndata: event 1\n\n", ":", 100ms}};
    world.list_raw_server(stuck);
    world.servers[0]->script({kind::answer, 4});
    auto const answer = world.send_and_wait(0, "POST", "/resume/a", "id-1");
    BOOST_TEST(stuck.requests() == 1U);
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.body.find("event 4") != std::string::npos);
}

namespace {

std::string const fields = "X-Attempt-Id: ID\r\nX-Response-Seal: s\r\n";

/// \return answers that a backend server may not send
std::vector<std::string> invalid_answers()
{
    std::string const empty = "Content-Length: 0\r\n\r\n";
    return {"HTTP/1.1 000 Zero\r\n" + fields + empty,
            "HTTP/1.1 099 Low\r\n" + fields + empty,
            "HTTP/1.1 600 High\r\n" + fields + empty,
            "HTTP/1.1 101 Switching\r\n" + fields + "\r\n",
            "HTTP/1.1 204 None\r\n" + fields + "\r\nabc",
            "HTTP/1.1 304 Same\r\n" + fields + "\r\nabc",
            head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            head + empty + "HTTP/1.1 100 Continue\r\n\r\n"};
}

} // namespace

// Statuses such as 099 reached the caller.
BOOST_AUTO_TEST_CASE(an_invalid_answer_reaches_the_caller)
{
    for (auto const& text : invalid_answers()) {
        faulty_server_fixture world{{text, "", {}}};
        auto const answer = world.send_and_wait(0, "POST", "/once/a", "id-1");
        BOOST_TEST_CONTEXT(text)
        {
            BOOST_TEST(answer.status == 502);
        }
    }
}

// The same for a request that another daemon has passed on.
BOOST_AUTO_TEST_CASE(an_invalid_answer_reaches_the_daemon_that_passed_it_on)
{
    for (auto const& text : invalid_answers()) {
        faulty_server_fixture world{{text, "", {}}};
        auto const answer =
            world.send_with_fields(0, "POST", "/once/a", "id-1",
                                   {{"Medlarstall-Passed-On-By", "edge-9"}});
        BOOST_REQUIRE(world.run_until([&] { return answer->ended(); }));
        BOOST_TEST_CONTEXT(text)
        {
            BOOST_TEST(answer->status == 502);
        }
    }
}

// A probe took an invalid answer for a sign of health.
BOOST_AUTO_TEST_CASE(an_invalid_answer_to_a_probe_shows_a_healthy_server)
{
    auto const text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                      "HTTP/1.1 100 Continue\r\n\r\n";
    faulty_server_fixture world{{text, "", {}, "", std::string::npos, true}};
    for (int round = 0; round < 6; ++round) {
        std::ignore =
            world.send(0, "POST", "/once/a", "probe-" + std::to_string(round));
        world.run_for(300ms);
    }
    BOOST_TEST(world.log_text().find("now=up reason=answered") ==
               std::string::npos);
}

// Reported of other systems: a daemon kept all that faulty servers sent without
// end, and ran out of memory.
BOOST_AUTO_TEST_CASE(endless_answers_to_health_checks_fill_the_memory)
{
    constexpr std::size_t faulty_servers = 12;
    constexpr std::size_t max_growth = 32U << 20U; // Bytes; aim for a daemon.
    gateway_fixture world{1};
    world.write_configuration(1);
    world.add_gateway();
    BOOST_REQUIRE(world.wait_until_ready(0));
    std::vector<std::unique_ptr<raw_server>> faulty;
    for (std::size_t at = 0; at < faulty_servers; ++at) {
        faulty.push_back(std::make_unique<raw_server>(
            world.context, raw_answer{head + "\r\n",
                                      std::string(65536, 'b'),
                                      {},
                                      "",
                                      std::string::npos,
                                      true}));
        world.list_raw_server(*faulty.back(), "i-raw-" + std::to_string(at));
    }
    auto const before = memory_in_use();
    auto most = before;
    for (int round = 0; round < 40; ++round) {
        std::ignore = world.send(0, "POST", "/stream/a",
                                 "endless-" + std::to_string(round));
        world.run_for(50ms);
        most = std::max(most, memory_in_use());
    }
    BOOST_TEST(most - before < max_growth);
    BOOST_TEST(world.send_and_wait(0, "GET", "/safe/a", "sound").status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
