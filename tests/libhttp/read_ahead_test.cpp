// What a connection reads ahead of its answers is bounded and is read on.

#include <medlarstall/http/http_listener.hpp>

#include <asio/buffer.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

using namespace medlarstall;
using namespace medlarstall::http;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t calm_budget = 100'000'000;
/// Further requests in a buffer with unused capacity, the receive buffer of the
/// kernel while reading is paused, and the request that is being answered.
constexpr std::size_t max_held_per_client = 3 * std::size_t{131072};

/// Fills answers up to their size.
constexpr char filler = '~';

/// A client that sends numbered requests without waiting for the answers.
struct pipelining_client
{
    explicit pipelining_client(asio::io_context& context) : socket{context} {}

    asio::ip::tcp::socket socket;
    std::string to_send;
    std::string received; ///< Without the filler.
    std::size_t received_bytes = 0;
    int requests = 0;

    void add_requests(int count, std::size_t body_bytes)
    {
        for (int added = 0; added < count; ++added) {
            to_send += "POST /" + std::to_string(requests++) +
                       " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                       std::to_string(body_bytes) + "\r\n\r\n" +
                       std::string(body_bytes, 'b');
        }
    }

    void send()
    {
        std::error_code ignored;
        to_send.erase(0, socket.write_some(asio::buffer(to_send), ignored));
    }

    /// \return number of bytes read
    std::size_t receive()
    {
        std::string part(100000, ' ');
        std::error_code ignored;
        auto const count = socket.read_some(asio::buffer(part), ignored);
        part.resize(count);
        received_bytes += count;
        std::erase(part, filler);
        received += part;
        return count;
    }
};

/// A listener that answers requests when told to, in one event loop with its
/// clients. Each answer names the target of its request.
struct pipelining_world
{
    explicit pipelining_world(std::size_t budget)
        : account{std::make_shared<memory_account>(budget)}
    {
        RC_ASSERT(
            !failed(listener.listen({asio::ip::make_address("127.0.0.1"), 0})));
        listener.set_limits({.head_timeout = 1h, .idle_timeout = 1h});
    }

    asio::io_context context{1};
    std::shared_ptr<memory_account> account;
    std::vector<std::unique_ptr<exchange>> exchanges;
    bool answer_at_once = false;
    std::size_t answer_bytes = 0;
    std::size_t most_held = 0; ///< Seen right after an answer.
    http_listener listener{context,
                           {.request =
                                [this](auto arrived) {
                                    exchanges.push_back(std::move(arrived));
                                    if (answer_at_once) {
                                        answer(exchanges.size() - 1);
                                    }
                                }},
                           8,
                           account};
    std::vector<std::unique_ptr<pipelining_client>> clients;

    void poll()
    {
        for (int round = 0; round < 20; ++round) {
            context.poll();
            context.restart();
        }
    }

    void connect()
    {
        clients.push_back(std::make_unique<pipelining_client>(context));
        std::error_code failure;
        auto& socket = clients.back()->socket;
        std::ignore = socket.connect(listener.address(), failure);
        std::ignore = socket.non_blocking(true, failure);
    }

    [[nodiscard]] bool has_unanswered() const
    {
        return std::ranges::any_of(clients, [](auto const& client) {
            return std::ranges::count(client->received, '<') < client->requests;
        });
    }

    /// Connects a client that sends one request.
    void send_request(std::size_t body_bytes)
    {
        connect();
        poll();
        clients.back()->add_requests(1, body_bytes);
        clients.back()->send();
        poll();
    }

    void answer(std::size_t at)
    {
        auto const answered = std::move(exchanges[at]);
        exchanges.erase(exchanges.begin() + static_cast<std::ptrdiff_t>(at));
        answered->respond({{200, {}, {}},
                           "<" + answered->head().target + ">" +
                               std::string(answer_bytes, filler)});
        most_held = std::max(most_held, account->held());
    }
};

/// \return true if the answers are those to the first requests, in order
bool are_in_order(pipelining_client const& client)
{
    int number = 0;
    for (auto at = client.received.find("</"); at != std::string::npos;
         at = client.received.find("</", at + 1)) {
        auto const expected = "</" + std::to_string(number++) + ">";
        auto const begun = client.received.substr(at, expected.size());
        if (!expected.starts_with(begun)) { // The last may be cut off.
            return false;
        }
    }
    return true;
}

auto answer_count(pipelining_client const& client)
{
    return std::ranges::count(client.received, '<');
}

void act(pipelining_world& world, time_point& now)
{
    auto const action = *rc::gen::inRange(0, 10);
    if (world.clients.empty() || (action == 0 && world.clients.size() < 4)) {
        world.connect();
        return;
    }
    auto& client =
        *world.clients[*rc::gen::inRange<std::size_t>(0, world.clients.size())];
    if (action <= 3) {
        client.add_requests(*rc::gen::inRange(1, 300),
                            *rc::gen::inRange<std::size_t>(0, 2000));
        client.send();
    } else if (action == 4) {
        client.receive();
    } else if (action == 5) {
        client.send();
    } else if (action == 6) {
        now += std::chrono::milliseconds{*rc::gen::inRange(0, 300)};
        world.listener.close_expired(now);
    } else if (action == 7) {
        world.answer_at_once = !world.answer_at_once;
    } else if (!world.exchanges.empty()) {
        world.answer_bytes = *rc::gen::inRange<std::size_t>(0, 30000);
        world.answer(*rc::gen::inRange<std::size_t>(0, world.exchanges.size()));
    }
}

/// Lets all clients send and receive until nothing moves any more. A client
/// whose connection is open is waited for, as a full window opens by a timer.
void finish_all(pipelining_world& world, int max_idle_rounds)
{
    world.answer_at_once = true;
    while (!world.exchanges.empty()) {
        world.answer(0);
    }
    for (int idle_rounds = 0; idle_rounds < max_idle_rounds;) {
        world.poll();
        auto moved = false;
        for (auto& client : world.clients) {
            auto const unsent = client->to_send.size();
            client->send();
            moved = client->to_send.size() < unsent || moved;
            moved = client->receive() > 0 || moved;
        }
        idle_rounds = moved ? 0 : idle_rounds + 1;
        if (!moved && world.has_unanswered()) {
            std::this_thread::sleep_for(10ms);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(read_ahead_suite)

// Each answer let one more read in, whatever was still unparsed.
RC_BOOST_PROP(more_is_read_ahead_than_may_be_held, ())
{
    pipelining_world world{calm_budget};
    auto now = monotonic_clock::now();
    auto const steps = *rc::gen::inRange(20, 120);
    for (int step = 0; step < steps; ++step) {
        act(world, now);
        world.poll();
        RC_ASSERT(world.account->held() <=
                  world.clients.size() * max_held_per_client);
    }
    finish_all(world, 100);
    for (auto const& client : world.clients) {
        RC_ASSERT(are_in_order(*client));
        RC_ASSERT(answer_count(*client) == client->requests);
    }
}

// While memory is scarce, what was read ahead is dropped, and the connection
// ends after the answer that is due. No answer is lost or given twice.
RC_BOOST_PROP(a_request_is_answered_out_of_order_or_twice_in_scarcity, ())
{
    pipelining_world world{*rc::gen::inRange<std::size_t>(60000, 600000)};
    auto now = monotonic_clock::now();
    auto const steps = *rc::gen::inRange(20, 120);
    for (int step = 0; step < steps; ++step) {
        act(world, now);
        world.poll();
    }
    finish_all(world, 2);
    for (auto const& client : world.clients) {
        RC_ASSERT(are_in_order(*client));
    }
}

// Requests that are answered at once must not be answered one after the other
// within one turn of the event loop, in which nobody else is served.
BOOST_AUTO_TEST_CASE(one_client_occupies_the_event_loop_with_one_read)
{
    pipelining_world world{calm_budget};
    world.answer_at_once = true;
    world.connect();
    world.poll();
    world.clients[0]->add_requests(100, 0);
    world.clients[0]->send();
    int turns = 0;
    while (world.clients[0]->receive() > 0 || turns == 0) {
        ++turns;
        world.context.poll_one();
        world.context.restart();
    }
    while (answer_count(*world.clients[0]) < 100 && turns < 10000) {
        ++turns;
        world.context.poll_one();
        world.context.restart();
        world.clients[0]->receive();
    }
    BOOST_TEST(answer_count(*world.clients[0]) == 100);
    BOOST_TEST(turns >= 100);
}

// A client whose answer is due leaves while reading is paused.
BOOST_AUTO_TEST_CASE(a_client_that_has_left_is_not_noticed_while_paused)
{
    pipelining_world world{calm_budget};
    world.connect();
    world.poll();
    world.clients[0]->add_requests(300, 1000);
    world.clients[0]->send();
    world.poll();
    BOOST_REQUIRE_EQUAL(world.exchanges.size(), 1U);
    bool left = false;
    world.exchanges[0]->on_caller_disconnected([&left] { left = true; });
    std::error_code ignored;
    std::ignore = world.clients[0]->socket.set_option(
        asio::socket_base::linger{true, 0}, ignored);
    std::ignore = world.clients[0]->socket.close(ignored);
    world.poll();
    world.listener.close_expired(monotonic_clock::now());
    BOOST_TEST(left);
}

// The last answer was cut off after two seconds if its client read slowly.
BOOST_AUTO_TEST_CASE(a_large_last_answer_is_cut_off)
{
    pipelining_world world{calm_budget};
    world.connect();
    world.poll();
    auto& client = *world.clients[0];
    client.to_send = "GET /0 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    client.send();
    world.poll();
    BOOST_REQUIRE_EQUAL(world.exchanges.size(), 1U);
    world.answer_bytes = 8'000'000;
    world.answer(0);
    world.poll();
    world.listener.close_expired(monotonic_clock::now() + 5s);
    for (std::size_t round = 0; round < 1000; ++round) {
        client.receive();
        world.poll();
    }
    BOOST_TEST(client.received_bytes > world.answer_bytes);
}

// A client that sends its whole request before it reads saw a reset instead of
// the refusal, and could not know that it must not come back.
BOOST_AUTO_TEST_CASE(a_client_beyond_the_limit_is_not_told_so)
{
    constexpr std::size_t max_body_bytes = 2'000'000;
    pipelining_world world{calm_budget};
    world.listener.set_limits({.max_body_bytes = max_body_bytes});
    world.connect();
    world.poll();
    auto& client = *world.clients[0];
    client.add_requests(1, 7'000'000);
    for (int round = 0; round < 1000 && !client.to_send.empty(); ++round) {
        client.send();
        world.poll();
    }
    BOOST_TEST(client.to_send.empty());
    client.receive();
    BOOST_TEST(client.received.starts_with("HTTP/1.1 413"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(exceeded_budget_suite)

// Requests that await an answer are never closed, so that together they could
// exceed the budget, each of them small enough not to wait.
BOOST_AUTO_TEST_CASE(complete_requests_exceed_the_budget)
{
    constexpr std::size_t budget = 200000;
    pipelining_world world{budget};
    world.send_request(0);
    BOOST_REQUIRE_EQUAL(world.exchanges.size(), 1U);
    world.exchanges[0]->set_held_bytes(2 * budget);
    world.connect();
    world.poll();
    world.clients[1]->add_requests(1, 30000);
    world.clients[1]->send();
    for (auto waited = 0ms; waited < 4s; waited += 100ms) {
        world.poll();
        world.listener.close_expired(monotonic_clock::now() + waited);
    }
    BOOST_TEST(world.exchanges.size() == 1U);
    world.clients[1]->receive();
    auto const& refusal = world.clients[1]->received;
    BOOST_TEST(refusal.starts_with("HTTP/1.1 503"));
    BOOST_TEST(refusal.find("Retry-After: 1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_small_request_is_refused_for_what_others_hold)
{
    constexpr std::size_t budget = 200000;
    pipelining_world world{budget};
    world.send_request(0);
    BOOST_REQUIRE_EQUAL(world.exchanges.size(), 1U);
    world.exchanges[0]->set_held_bytes(2 * budget);
    world.send_request(600);
    BOOST_TEST(world.exchanges.size() == 2U);
}

// Many connections are served in one turn of the event loop, and the decision
// about what they hold came after it.
BOOST_AUTO_TEST_CASE(answers_of_one_turn_exceed_the_budget_together)
{
    constexpr std::size_t budget = 2'000'000;
    constexpr std::size_t answer_bytes = 8'000'000;
    pipelining_world world{budget};
    world.answer_at_once = true;
    world.answer_bytes = answer_bytes;
    for (int client = 0; client < 8; ++client) {
        world.connect();
    }
    world.poll();
    for (auto const& client : world.clients) {
        client->add_requests(1, 0);
        client->send();
    }
    world.poll();
    BOOST_TEST(world.most_held < 2 * answer_bytes);
}

// What a closed connection had not sent was held until the next check.
BOOST_AUTO_TEST_CASE(a_closed_connection_holds_its_unsent_answer)
{
    constexpr std::size_t budget = 1'000'000;
    pipelining_world world{budget};
    world.send_request(0);
    BOOST_REQUIRE_EQUAL(world.exchanges.size(), 1U);
    world.answer_bytes = 8 * budget;
    world.answer(0);
    BOOST_TEST(world.account->held() > budget);
    world.poll();
    BOOST_TEST(world.account->held() < budget);
}

BOOST_AUTO_TEST_SUITE_END()
