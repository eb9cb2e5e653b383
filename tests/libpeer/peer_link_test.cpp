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

/// Longest time that a test waits for what must happen.
constexpr std::chrono::seconds patience{10};

/// A server that answers each message with the same message.
struct echo_link
{
    explicit echo_link(std::string server_secret = "secret")
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
            if (auto const open = weak.lock()) {
                open->send(content);
            }
        });
        served.push_back(std::move(stream));
    }

    template<class Condition>
    void run_until(Condition condition)
    {
        auto const limit = std::chrono::steady_clock::now() + patience;
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            io.run_one_for(std::chrono::milliseconds{100});
        }
        BOOST_REQUIRE(condition());
    }

    asio::io_context io;
    peer_server server;
    peer_pool pool;
    std::uint16_t port = 0;
    std::vector<std::shared_ptr<peer_stream>> served;
};

} // namespace

BOOST_AUTO_TEST_SUITE(peer_link_suite)

BOOST_AUTO_TEST_CASE(carries_messages_both_ways_in_order)
{
    echo_link link;
    auto const stream = link.pool.open("127.0.0.1", link.port, "/echo");
    std::vector<int> answers;
    stream->on_message(
        [&](message const& content) { answers.push_back(content.at("n")); });
    for (int n = 0; n < 100; ++n) {
        stream->send({{"n", n}, {"text", std::string(10'000, 'x')}});
    }
    link.run_until([&] { return answers.size() == 100; });
    for (int n = 0; n < 100; ++n) {
        BOOST_TEST(answers[n] == n);
    }
    BOOST_TEST(link.served.front()->path() == "/echo");
}

BOOST_AUTO_TEST_CASE(refuses_a_wrong_secret)
{
    echo_link link{"other"};
    auto const stream = link.pool.open("127.0.0.1", link.port, "/echo");
    std::optional<stream_end> ended;
    stream->on_end([&](stream_end how) { ended = how; });
    stream->send({{"n", 1}});
    link.run_until([&] { return ended.has_value(); });
    BOOST_TEST(link.served.empty());
    BOOST_TEST((*ended != stream_end::complete));
}

BOOST_AUTO_TEST_CASE(tells_that_a_stream_was_never_sent)
{
    echo_link link;
    asio::ip::tcp::acceptor unused{link.io,
                                   {asio::ip::make_address("127.0.0.1"), 0}};
    auto const closed_port = unused.local_endpoint().port();
    unused.close();
    auto const stream = link.pool.open("127.0.0.1", closed_port, "/echo");
    std::optional<stream_end> ended;
    stream->on_end([&](stream_end how) { ended = how; });
    link.run_until([&] { return ended.has_value(); });
    BOOST_TEST((*ended == stream_end::refused));
}

BOOST_AUTO_TEST_CASE(slows_a_sender_whose_messages_are_not_taken)
{
    echo_link link;
    auto const stream = link.pool.open("127.0.0.1", link.port, "/echo");
    std::size_t answers = 0;
    stream->on_message([&](message const&) { ++answers; });
    stream->send({{"n", 0}});
    link.run_until([&] { return answers == 1; });
    stream->set_reading(false);
    constexpr std::size_t sent = 100;
    for (std::size_t n = 0; n < sent; ++n) {
        stream->send({{"text", std::string(50'000, 'x')}});
    }
    auto const& served = link.served.front();
    link.run_until([&] { return served->pending_bytes() > 1'000'000; });
    BOOST_TEST(answers == 1U);
    stream->set_reading(true);
    link.run_until([&] { return answers == sent + 1; });
}

BOOST_AUTO_TEST_CASE(shut_down_lets_open_streams_finish)
{
    echo_link link;
    auto const first = link.pool.open("127.0.0.1", link.port, "/echo");
    std::size_t answers = 0;
    first->on_message([&](message const&) { ++answers; });
    first->send({{"n", 0}});
    link.run_until([&] { return answers == 1; });
    link.server.shut_down();
    std::optional<stream_end> ended;
    // A stream opened after the other side said that it leaves goes over a
    // new connection; the old one goes on.
    auto const probe = link.pool.open("127.0.0.1", link.port, "/echo");
    probe->on_end([&](stream_end how) { ended = how; });
    first->send({{"n", 1}});
    link.run_until([&] { return answers == 2; });
    BOOST_TEST(first->open());
}

BOOST_AUTO_TEST_SUITE_END()
