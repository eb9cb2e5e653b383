// Backend servers that send what is no answer, or an answer without end,
// through a whole gateway.

#include "gateway_world.hpp"

#include <medlarstall/platform_standins/raw_server.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarstall;
using namespace std::chrono_literals;
using platform_standins::raw_answer;
using platform_standins::raw_server;

namespace {

/// One gateway whose only backend server sends given bytes.
struct trouble_world : gateway_world
{
    raw_server trouble;

    explicit trouble_world(raw_answer answer)
        : gateway_world{0}, trouble{context, std::move(answer)}
    {
        configure(1);
        add_gateway();
        BOOST_REQUIRE(run_until([this] {
            return get(gateways[0]->settings().ready_address, "/api/readyz")
                       .status == 200;
        }));
        list_raw(trouble);
    }

    /// \return true if the gateway closes what it got no answer on
    bool closes_upstream()
    {
        return run_until([this] { return trouble.closed() > 0; });
    }
};

std::string const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n"
                         "X-Response-Seal: s\r\n";

/// Well before the time limit of the routes, 3 s.
constexpr auto soon = 2000ms;

/// Asks, and checks that the backend server is given up well before the limit.
void check_given_up(trouble_world& world, std::string const& path)
{
    auto const before = std::chrono::steady_clock::now();
    auto const answer = world.ask(0, "POST", path, "id-1");
    auto const took = std::chrono::steady_clock::now() - before;
    BOOST_TEST(answer.status == 502);
    BOOST_TEST((took < soon));
    BOOST_TEST(world.closes_upstream());
}

} // namespace

BOOST_AUTO_TEST_SUITE(servers_in_trouble_suite)

BOOST_AUTO_TEST_CASE(a_head_without_end_is_given_up)
{
    trouble_world world{
        {"HTTP/1.1 200 OK\r\nX-Long: ", "aaaaaaaaaaaaaaaa", {}}};
    check_given_up(world, "/once/a");
}

BOOST_AUTO_TEST_CASE(fields_without_end_are_given_up)
{
    trouble_world world{{head, "X-More: bytes and bytes\r\n", {}}};
    check_given_up(world, "/once/a");
}

BOOST_AUTO_TEST_CASE(interim_answers_without_end_are_given_up)
{
    trouble_world world{{"", "HTTP/1.1 100 Continue\r\n\r\n", {}}};
    check_given_up(world, "/once/a");
}

BOOST_AUTO_TEST_CASE(a_body_without_end_ends_at_the_time_limit_and_not_whole)
{
    trouble_world world{{head + "\r\n", std::string(4096, 'b'), 1ms}};
    auto const answer = world.ask(0, "POST", "/once/a", "id-1");
    BOOST_TEST(!answer.complete);
    BOOST_TEST(answer.broken);
    BOOST_TEST(world.closes_upstream());
}

BOOST_AUTO_TEST_CASE(an_event_without_end_is_given_up)
{
    trouble_world world{{head + "\r\n", std::string(65536, 'e'), {}}};
    check_given_up(world, "/stream/a");
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_answer_reach_no_caller)
{
    trouble_world world{{"\x01\x02 no answer\r\n\r\n", "", {}}};
    auto const answer = world.ask(0, "POST", "/once/a", "id-1");
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(answer.body.find("no answer") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_second_copy_of_an_answer_reaches_no_other_caller)
{
    auto const copy =
        head + "Keep-Alive: timeout=9\r\nContent-Length: 2\r\n\r\nID";
    trouble_world world{{copy + copy, "", {}}};
    for (auto const* const id : {"X1", "X2", "X3"}) {
        auto const answer = world.ask(0, "POST", "/once/a", id);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.body == id);
    }
}

BOOST_AUTO_TEST_CASE(a_stuck_stream_that_sends_some_bytes_goes_on_elsewhere)
{
    using kind = platform_standins::behaviour::kind;
    gateway_world world{1};
    world.configure(1);
    world.add_gateway();
    BOOST_REQUIRE(world.wait_ready(0));
    auto const before = world.total_runs();
    constexpr std::size_t held = 20; // So that the other server is chosen.
    for (std::size_t at = 0; at < held; ++at) {
        world.servers[0]->script({kind::hold});
        std::ignore =
            world.send(0, "POST", "/once/a", "held-" + std::to_string(at));
    }
    BOOST_REQUIRE(
        world.run_until([&] { return world.total_runs() == before + held; }));
    raw_server stuck{world.context,
                     {head + "\r\nid: 1\ndata: event 1\n\n", ":", 100ms}};
    world.list_raw(stuck);
    world.servers[0]->script({kind::answer, 4});
    auto const answer = world.ask(0, "POST", "/resume/a", "id-1");
    BOOST_TEST(stuck.requests() == 1U);
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.body.find("event 4") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
