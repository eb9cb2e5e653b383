// The memory that connections hold is counted once and returned.

#include <medlarstall/http/http_listener.hpp>

#include <asio/buffer.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <memory>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

using namespace medlarstall;
using namespace medlarstall::http;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t budget = 600000;
/// One request may be read to its end above the budget, buffers hold up to
/// twice their bytes, and each of the few connections may hold a little.
constexpr std::size_t max_held = 4 * budget;

/// A listener with clients and unanswered requests in one event loop.
struct listener_model
{
    asio::io_context context{1};
    std::shared_ptr<memory_account> account =
        std::make_shared<memory_account>(budget);
    std::vector<std::unique_ptr<exchange>> exchanges;
    http_listener listener{
        context,
        {.request =
             [this](auto arrived) { exchanges.push_back(std::move(arrived)); },
         .refused = {},
         .closed_for_limit = {}},
        8,
        account};
    std::vector<asio::ip::tcp::socket> clients;

    listener_model()
    {
        RC_ASSERT(
            !failed(listener.listen({asio::ip::make_address("127.0.0.1"), 0})));
        listener.set_limits({.max_head_bytes = 2000, .max_body_bytes = 200000});
    }

    void poll()
    {
        for (int round = 0; round < 20; ++round) {
            context.poll();
            context.restart();
        }
    }

    void connect()
    {
        clients.emplace_back(context);
        std::error_code failure;
        std::ignore = clients.back().connect(listener.address(), failure);
        std::ignore = clients.back().non_blocking(true, failure);
    }

    void send(std::size_t client, std::string const& bytes)
    {
        std::error_code ignored;
        clients[client].write_some(asio::buffer(bytes), ignored);
    }

    void receive(std::size_t client)
    {
        std::string part(50000, ' ');
        std::error_code ignored;
        clients[client].read_some(asio::buffer(part), ignored);
    }
};

std::string some_bytes()
{
    return *rc::gen::element<std::string>(
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 150000\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a HTTP/1.1\r\nHo",
        "st: h\r\na:\r\nb:\r\nc:\r\n", "\r\n", "1\r\nx\r\n", "0\r\n\r\n",
        "c350\r\n" + std::string(50000, 'c') + "\r\n", std::string(60000, 'b'),
        std::string(3000, 'a'));
}

void act(listener_model& world, time_point& now)
{
    auto const action = *rc::gen::inRange(0, 12);
    if (action == 0 || world.clients.empty()) {
        world.connect();
        return;
    }
    auto const client = *rc::gen::inRange<std::size_t>(0, world.clients.size());
    if (action <= 6) {
        world.send(client, some_bytes());
    } else if (action == 7) {
        world.receive(client);
    } else if (action == 8) {
        world.clients.erase(world.clients.begin() +
                            static_cast<std::ptrdiff_t>(client));
    } else if (action == 9) {
        now += std::chrono::milliseconds{*rc::gen::inRange(0, 700)};
        world.listener.close_expired(now);
    } else if (!world.exchanges.empty()) {
        auto const at =
            *rc::gen::inRange<std::size_t>(0, world.exchanges.size());
        auto& answered = *world.exchanges[at];
        answered.set_held_bytes(*rc::gen::inRange<std::size_t>(0, 30000));
        if (action == 10) {
            answered.respond({{200, {}, {}}, std::string(90000, 'r')});
        }
        world.exchanges.erase(world.exchanges.begin() +
                              static_cast<std::ptrdiff_t>(at));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(connection_memory_suite)

// A pipelined request counted as read late if the answer before it took longer
// than its caller waits for a request to be read.
BOOST_AUTO_TEST_CASE(pipelined_request_arrives_when_the_answer_before_it_ends)
{
    listener_model world;
    world.connect();
    world.poll();
    std::string const request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    world.send(0, request + request);
    world.poll();
    BOOST_REQUIRE_EQUAL(world.exchanges.size(), 1U);
    std::this_thread::sleep_for(std::chrono::milliseconds{20});
    auto const answered_at = monotonic_clock::now();
    world.exchanges[0]->respond({{200, {}, {}}, "x"});
    world.poll();
    BOOST_REQUIRE_EQUAL(world.exchanges.size(), 2U);
    BOOST_TEST((world.exchanges[1]->arrived_at() >= answered_at));
}

RC_BOOST_PROP(memory_is_counted_twice_or_forgotten, ())
{
    listener_model world;
    auto now = monotonic_clock::now();
    auto const steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        act(world, now);
        world.poll();
        RC_ASSERT(world.account->held() <= max_held);
    }
    world.clients.clear();
    for (int round = 1; round < 10; ++round) { // Bytes may hold requests yet.
        world.exchanges.clear();
        world.poll();
        world.listener.close_expired(now + round * 60s);
    }
    RC_ASSERT(world.listener.size() == 0U);
    RC_ASSERT(world.account->held() == 0U);
}

RC_BOOST_PROP(a_parser_counts_all_that_it_keeps, ())
{
    message_parser parser{message_kind::request, {2000, 200000}};
    auto const parts = *rc::gen::inRange(1, 30);
    for (int part = 0; part < parts; ++part) {
        std::ignore = parser.feed(some_bytes());
        RC_ASSERT(parser.held_bytes() <= 2 * 200000U);
        if (*rc::gen::inRange(0, 6) == 0) {
            auto const before = parser.held_bytes();
            auto const body = parser.take_body();
            RC_ASSERT(parser.held_bytes() == before - heap_bytes(body));
        }
        if (parser.complete()) {
            parser.reset({2000, 200000});
        }
    }
    parser.release();
    RC_ASSERT(parser.held_bytes() == 0U);
}

// A body announced as large must not hold memory before it arrives.
BOOST_AUTO_TEST_CASE(the_announced_length_is_reserved)
{
    message_parser parser{message_kind::request};
    std::ignore = parser.feed("POST / HTTP/1.1\r\nHost: h\r\n"
                              "Content-Length: 4000000\r\n\r\nabc");
    BOOST_TEST(parser.held_bytes() < 10000U);
    std::string const rest(4000000 - 3, 'b');
    for (std::size_t at = 0; at < rest.size(); at += 65536) {
        std::ignore = parser.feed(std::string_view{rest}.substr(at, 65536));
    }
    BOOST_TEST(parser.complete());
    BOOST_TEST(parser.held_bytes() < 4000000U + 10000U);
}

BOOST_AUTO_TEST_SUITE_END()
