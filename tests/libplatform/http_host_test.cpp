// Tests the host that all stand-ins of servers listen with.

#include <medlarstall/standins/http_host.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <boost/test/unit_test.hpp>

#include <system_error>

using namespace medlarstall;

BOOST_AUTO_TEST_SUITE(http_host_suite)

// A stand-in that was down found its port in use by another process.
BOOST_AUTO_TEST_CASE(the_port_of_a_stopped_host_is_taken)
{
    asio::io_context context{1};
    standins::http_host host{context, {}, [](auto const&) {
                             }};
    host.start();
    asio::ip::tcp::endpoint const address{asio::ip::make_address("127.0.0.1"),
                                          host.port()};
    for (int times = 0; times < 3; ++times) {
        host.stop();
        asio::ip::tcp::socket other{context, asio::ip::tcp::v4()};
        std::error_code in_use;
        std::ignore = other.bind(address, in_use);
        BOOST_TEST(bool(in_use == asio::error::address_in_use));
        asio::ip::tcp::socket caller{context};
        std::error_code refused;
        std::ignore = caller.connect(address, refused);
        BOOST_TEST(bool(refused == asio::error::connection_refused));
        host.start();
        BOOST_TEST(host.port() == address.port());
        std::error_code connected;
        std::ignore = caller.close(connected);
        std::ignore = caller.connect(address, connected);
        BOOST_TEST(!connected);
    }
}

BOOST_AUTO_TEST_SUITE_END()
