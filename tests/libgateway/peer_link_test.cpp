// Exchange of datagrams between two peer links over the loopback interface.

#include <medlarstall/gateway/peer_link.hpp>

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <string>

using namespace medlarstall;
using namespace medlarstall::gateway;

namespace {

asio::ip::udp::endpoint unused_address()
{
    asio::io_context context;
    asio::ip::udp::socket const socket{
        context, {asio::ip::make_address("127.0.0.1"), 0}};
    return socket.local_endpoint();
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_link_suite)

BOOST_AUTO_TEST_CASE(long_datagrams_are_not_truncated)
{
    // The update of a daemon with requests at 375 backend servers exceeds
    // 16 kB. A receive buffer of that size truncated it, and peers rejected it.
    asio::io_context context;
    std::string received;
    peer_link sender{context, [](std::string const&, std::string_view) {
                     }};
    peer_link receiver{context,
                       [&received](std::string const&, std::string_view bytes) {
                           received = bytes;
                       }};
    auto const address = unused_address();
    BOOST_REQUIRE(!failed(sender.open(unused_address())));
    BOOST_REQUIRE(!failed(receiver.open(address)));
    std::string const datagram(40000, 'n');
    sender.send({"127.0.0.1:" + std::to_string(address.port())}, datagram);
    constexpr std::chrono::seconds timeout{5};
    while (received.empty() && context.run_one_for(timeout) > 0) {
    }
    BOOST_TEST(received.size() == datagram.size());
}

BOOST_AUTO_TEST_SUITE_END()
