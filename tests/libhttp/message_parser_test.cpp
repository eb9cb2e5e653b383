#include <medlarstall/http/message_parser.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <string>

using namespace medlarstall::http;

namespace {

/// Feeds a text to a parser in parts of at most `size` bytes.
/// \return the bytes that the parser did not consume
std::string feed_in_parts(message_parser& parser, std::string_view text,
                          std::size_t size)
{
    while (!text.empty() && !parser.complete() &&
           parser.failure() == parse_failure::none) {
        text.remove_prefix(parser.feed(text.substr(0, size)));
    }
    return std::string{text};
}

parse_failure failure_of(std::string_view text, parser_limits limits = {})
{
    message_parser parser{message_kind::request, limits};
    feed_in_parts(parser, text, text.size());
    return parser.failure();
}

} // namespace

BOOST_AUTO_TEST_SUITE(message_parser_suite)

RC_BOOST_PROP(stops_after_a_request_for_any_part_size, ())
{
    std::string const first = "POST /a?b=c HTTP/1.1\r\nHost: h\r\n"
                              "Content-Length: 5\r\n\r\nhello";
    std::string const second = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
    auto const size = *rc::gen::inRange<std::size_t>(1, 90);
    message_parser parser{message_kind::request};
    auto const text = first + second;
    std::string_view unread{text};
    while (!parser.complete()) {
        auto const part = unread.substr(0, size);
        unread.remove_prefix(parser.feed(part));
    }
    RC_ASSERT(std::string{unread} == second);
    RC_ASSERT(parser.request().target == "/a?b=c");
    RC_ASSERT(parser.take_body() == "hello");
}

BOOST_AUTO_TEST_CASE(reads_a_chunked_body)
{
    message_parser parser{message_kind::request};
    feed_in_parts(parser,
                  "POST / HTTP/1.1\r\nHost: h\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n"
                  "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
                  7);
    BOOST_TEST(parser.complete());
    BOOST_TEST(parser.take_body() == "abcde");
}

BOOST_AUTO_TEST_CASE(rejects_request_smuggling)
{
    BOOST_TEST(bool(failure_of("POST / HTTP/1.1\r\nHost: h\r\n"
                               "Content-Length: 3\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "0\r\n\r\nGET /x HTTP/1.1\r\n\r\n") ==
                    parse_failure::malformed));
    BOOST_TEST(bool(failure_of("POST / HTTP/1.1\r\nHost: h\r\n"
                               "Content-Length: 3\r\nContent-Length: 4\r\n"
                               "\r\nabcd") == parse_failure::malformed));
    BOOST_TEST(bool(failure_of("GET / HTTP/1.1\r\nHost : h\r\n\r\n") ==
                    parse_failure::malformed));
}

BOOST_AUTO_TEST_CASE(enforces_limits_of_head_and_body)
{
    parser_limits const limits{64, 10};
    auto const long_head =
        "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(200, 'x') + "\r\n\r\n";
    BOOST_TEST(
        bool(failure_of(long_head, limits) == parse_failure::head_too_large));
    BOOST_TEST(bool(failure_of("POST / HTTP/1.1\r\nHost: h\r\n"
                               "Content-Length: 11\r\n\r\n",
                               limits) == parse_failure::body_too_large));
}

// Blanks after the colon were counted even where none were sent.
BOOST_AUTO_TEST_CASE(a_head_within_its_limit_is_rejected)
{
    parser_limits const limits{16384, 10};
    std::string head = "GET / HTTP/1.1\r\nHost: h\r\n";
    for (int field = 0; field < 3500; ++field) {
        head += "a:\r\n";
    }
    BOOST_TEST(bool(failure_of(head + "\r\n", limits) == parse_failure::none));
}

// A chunk beyond the limit was read up to the limit first.
BOOST_AUTO_TEST_CASE(a_chunk_that_announces_too_much_is_accepted)
{
    parser_limits const limits{16384, 1000};
    std::string const head =
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    BOOST_TEST(bool(failure_of(head + "3e9\r\n", limits) ==
                    parse_failure::body_too_large));
    BOOST_TEST(bool(failure_of(head + "1\r\nx\r\n3e8\r\n", limits) ==
                    parse_failure::body_too_large));
    BOOST_TEST(
        bool(failure_of(head + "3e8\r\n", limits) == parse_failure::none));
}

BOOST_AUTO_TEST_CASE(body_without_framing_ends_when_the_connection_closes)
{
    message_parser parser{message_kind::response};
    parser.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    BOOST_TEST(!parser.complete());
    BOOST_TEST(bool(parser.framing() == body_framing::until_close));
    parser.finish();
    BOOST_TEST(parser.complete());
    BOOST_TEST(!parser.keeps_alive());
}

BOOST_AUTO_TEST_CASE(truncated_response_fails)
{
    message_parser parser{message_kind::response};
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    parser.finish();
    BOOST_TEST(!parser.complete());
    BOOST_TEST(bool(parser.failure() == parse_failure::malformed));
}

BOOST_AUTO_TEST_CASE(skips_interim_responses)
{
    message_parser parser{message_kind::response};
    parser.feed("HTTP/1.1 100 Continue\r\n\r\n"
                "HTTP/1.1 204 No Content\r\n\r\n");
    BOOST_TEST(parser.complete());
    BOOST_TEST(parser.response().status == 204);
}

RC_BOOST_PROP(arbitrary_bytes_are_consumed_within_bounds,
              (std::string const& bytes))
{
    message_parser parser{message_kind::request};
    auto const used = parser.feed(bytes);
    RC_ASSERT(used <= bytes.size());
}

BOOST_AUTO_TEST_SUITE_END()
