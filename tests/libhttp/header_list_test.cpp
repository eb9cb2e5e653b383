#include <medlarstall/http/header_list.hpp>
#include <medlarstall/http/message.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarstall::http;

BOOST_AUTO_TEST_SUITE(header_list_suite)

BOOST_AUTO_TEST_CASE(removes_hop_by_hop_fields)
{
    header_list headers;
    headers.add("Connection", "close, X-Private, X-Kept");
    headers.add("X-Private", "1");
    headers.add("X-Kept", "2");
    headers.add("Transfer-Encoding", "chunked");
    headers.add("X-Other", "3");
    headers.remove_hop_by_hop({"x-kept"});
    BOOST_TEST(headers.entries().size() == 2U);
    BOOST_TEST(*headers.find("X-KEPT") == "2");
    BOOST_TEST(*headers.find("x-other") == "3");
}

BOOST_AUTO_TEST_CASE(set_replaces_all_occurrences)
{
    header_list headers;
    headers.add("A", "1");
    headers.add("a", "2");
    headers.set("A", "3");
    BOOST_TEST(headers.entries().size() == 1U);
    BOOST_TEST(*headers.find("a") == "3");
}

BOOST_AUTO_TEST_CASE(serializes_messages_and_reads_query_parameters)
{
    request_head head{"POST", "/p", {}};
    head.headers.add("Host", "h");
    BOOST_TEST(serialize_request(head, "ab") ==
               "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab");
    head.method = "GET";
    BOOST_TEST(serialize_request(head, "") ==
               "GET /p HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(encode_chunk("hello world, hello") ==
               "12\r\nhello world, hello\r\n");
    BOOST_TEST(query_value("/p?a=1&bc=2", "bc") == "2");
    BOOST_TEST(query_value("/p", "bc").empty());
    BOOST_TEST(query_number("/p?a=1&bc=2", "bc") == 2U);
    BOOST_TEST(query_number("/p?bc=x", "bc") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
