#include <medlarstall/peer/peer_pool.hpp>
#include <medlarstall/peer/peer_server.hpp>
#include <medlarstall/peer/peer_stream.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

using namespace medlarstall;
using namespace medlarstall::peer;

namespace {

/// Longest time that a test waits for a condition.
constexpr std::chrono::seconds wait_timeout{10};

/// A server that sends each message back, and a pool that connects to it.
struct echo_fixture
{
    explicit echo_fixture(std::string server_secret = "secret")
        : server{io,
                 {.secret = std::move(server_secret)},
                 [this](auto stream) {
                     serve(std::move(stream));
                 }},
          pool{io, {.secret = "secret"}}
    {
        port = value_of(server.listen("127.0.0.1", 0));
    }

    void serve(std::shared_ptr<peer_stream> stream)
    {
        auto const weak = std::weak_ptr{stream};
        stream->on_message([weak](message const& content) {
            if (auto const live_stream = weak.lock()) {
                live_stream->send(content);
            }
        });
        server_streams.push_back(std::move(stream));
    }

    template<class Condition>
    void run_until(Condition condition)
    {
        auto const deadline = std::chrono::steady_clock::now() + wait_timeout;
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
            io.run_one_for(std::chrono::milliseconds{100});
        }
        BOOST_REQUIRE(condition());
    }

    asio::io_context io;
    peer_server server;
    peer_pool pool;
    std::uint16_t port = 0;
    std::vector<std::shared_ptr<peer_stream>> server_streams;
};

} // namespace

BOOST_AUTO_TEST_SUITE(peer_connection_suite)

BOOST_AUTO_TEST_CASE(echoes_messages_in_order)
{
    echo_fixture fixture;
    auto const stream =
        fixture.pool.open_stream("127.0.0.1", fixture.port, "/echo");
    std::vector<int> replies;
    stream->on_message(
        [&](message const& content) { replies.push_back(content.at("n")); });
    for (int n = 0; n < 100; ++n) {
        stream->send({{"n", n}, {"text", std::string(10'000, 'x')}});
    }
    fixture.run_until([&] { return replies.size() == 100; });
    for (int n = 0; n < 100; ++n) {
        BOOST_TEST(replies[n] == n);
    }
    BOOST_TEST(fixture.server_streams.front()->path() == "/echo");
}

BOOST_AUTO_TEST_CASE(rejects_a_wrong_secret)
{
    echo_fixture fixture{"other"};
    auto const stream =
        fixture.pool.open_stream("127.0.0.1", fixture.port, "/echo");
    std::optional<stream_outcome> ended;
    stream->on_closed([&](stream_outcome outcome) { ended = outcome; });
    stream->send({{"n", 1}});
    fixture.run_until([&] { return ended.has_value(); });
    BOOST_TEST(fixture.server_streams.empty());
    BOOST_TEST((*ended != stream_outcome::complete));
}

BOOST_AUTO_TEST_CASE(reports_refused_if_the_connection_cannot_be_made)
{
    echo_fixture fixture;
    asio::ip::tcp::acceptor acceptor{fixture.io,
                                     {asio::ip::make_address("127.0.0.1"), 0}};
    auto const unused_port = acceptor.local_endpoint().port();
    acceptor.close();
    auto const stream =
        fixture.pool.open_stream("127.0.0.1", unused_port, "/echo");
    std::optional<stream_outcome> ended;
    stream->on_closed([&](stream_outcome outcome) { ended = outcome; });
    fixture.run_until([&] { return ended.has_value(); });
    BOOST_TEST((*ended == stream_outcome::refused));
}

BOOST_AUTO_TEST_CASE(applies_backpressure_to_a_sender_while_reading_is_paused)
{
    echo_fixture fixture;
    auto const stream =
        fixture.pool.open_stream("127.0.0.1", fixture.port, "/echo");
    std::size_t replies = 0;
    stream->on_message([&](message const&) { ++replies; });
    stream->send({{"n", 0}});
    fixture.run_until([&] { return replies == 1; });
    stream->set_reading(false);
    constexpr std::size_t message_count = 100;
    for (std::size_t n = 0; n < message_count; ++n) {
        stream->send({{"text", std::string(50'000, 'x')}});
    }
    auto const& server_stream = fixture.server_streams.front();
    fixture.run_until(
        [&] { return server_stream->pending_bytes() > 1'000'000; });
    BOOST_TEST(replies == 1U);
    stream->set_reading(true);
    fixture.run_until([&] { return replies == message_count + 1; });
}

BOOST_AUTO_TEST_CASE(shut_down_keeps_open_streams)
{
    echo_fixture fixture;
    auto const first =
        fixture.pool.open_stream("127.0.0.1", fixture.port, "/echo");
    std::size_t replies = 0;
    first->on_message([&](message const&) { ++replies; });
    first->send({{"n", 0}});
    fixture.run_until([&] { return replies == 1; });
    fixture.server.shut_down();
    std::optional<stream_outcome> ended;
    // A stream that is opened after GOAWAY was received uses a new connection;
    // the streams of the old connection continue.
    auto const second =
        fixture.pool.open_stream("127.0.0.1", fixture.port, "/echo");
    second->on_closed([&](stream_outcome outcome) { ended = outcome; });
    first->send({{"n", 1}});
    fixture.run_until([&] { return replies == 2; });
    BOOST_TEST(first->is_open());
}

BOOST_AUTO_TEST_SUITE_END()
