#include <medlarstall/http/message.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

using namespace medlarstall::http;

BOOST_AUTO_TEST_SUITE(message_suite)

// A key of another writer was put into a query as it is.
BOOST_AUTO_TEST_CASE(a_value_changes_the_query_that_it_is_put_into)
{
    BOOST_TEST(escape_query_value("a05+") == "a05%2B");
    BOOST_TEST(escape_query_value("a02%41&part=7#x") ==
               "a02%2541%26part%3D7%23x");
    BOOST_TEST(escape_query_value("\xc3\xbc \n") == "%C3%BC%20%0A");
    BOOST_TEST(escape_query_value("i-9._~Z") == "i-9._~Z");
    BOOST_TEST(escape_query_value("") == "");
}

// The path of a health check comes from the configuration.
BOOST_AUTO_TEST_CASE(a_target_ends_the_head_of_its_request)
{
    request_head const head{"GET", "/health check\r\nX-Forged: 1", {}};
    BOOST_TEST(serialize_request(head, "") ==
               "GET /health%20check%0D%0AX-Forged:%201 HTTP/1.1\r\n\r\n");
}

// The name of an organisation comes from the configuration, and the id of a
// backend server from a key of the store.
BOOST_AUTO_TEST_CASE(a_value_ends_its_header_field)
{
    request_head head{"GET", "/", {}};
    head.headers.add("X-Name", "a\r\nX-Forged: 1");
    BOOST_TEST(serialize_request(head, "") ==
               "GET / HTTP/1.1\r\nX-Name: a  X-Forged: 1\r\n\r\n");
}

BOOST_AUTO_TEST_SUITE_END()
