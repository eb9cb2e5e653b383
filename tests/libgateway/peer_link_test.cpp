// Datagrams between daemons.

#include <medlarstall/gateway/peer_link.hpp>

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <string>

using namespace medlarstall;
using namespace medlarstall::gateway;

namespace {

asio::ip::udp::endpoint free_address()
{
    asio::io_context context;
    asio::ip::udp::socket const socket{
        context, {asio::ip::make_address("127.0.0.1"), 0}};
    return socket.local_endpoint();
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_link_suite)

BOOST_AUTO_TEST_CASE(long_news_come_whole)
{
    // News of a daemon with work at 375 backend servers are longer than 16 kB,
    // and were cut off there, so that the others refused them.
    asio::io_context context;
    std::string got;
    peer_link sender{context, [](std::string const&, std::string_view) {
                     }};
    peer_link receiver{context,
                       [&got](std::string const&, std::string_view bytes) {
                           got = bytes;
                       }};
    auto const address = free_address();
    BOOST_REQUIRE(!failed(sender.open(free_address())));
    BOOST_REQUIRE(!failed(receiver.open(address)));
    std::string const news(40000, 'n');
    sender.send({"127.0.0.1:" + std::to_string(address.port())}, news);
    constexpr std::chrono::seconds patience{5};
    while (got.empty() && context.run_one_for(patience) > 0) {
    }
    BOOST_TEST(got.size() == news.size());
}

BOOST_AUTO_TEST_SUITE_END()
