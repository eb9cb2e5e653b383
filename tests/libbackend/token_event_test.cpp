#include <medlarstall/backend/sse_parser.hpp>
#include <medlarstall/backend/token_event.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace medlarstall;
using namespace medlarstall::backend;

BOOST_AUTO_TEST_SUITE(token_event_suite)

BOOST_AUTO_TEST_CASE(parses_a_token_and_a_finish_reason)
{
    token_event event;
    BOOST_REQUIRE(!failed(token_event_parser{}.parse(
        R"({"id":"a","token_index":7,"choices":[{"index":0,
            "delta":{"content":"x\n"},"finish_reason":null}]})",
        event)));
    BOOST_TEST(event.attempt == "a");
    BOOST_TEST(event.token_index == 7U);
    BOOST_TEST(event.content == "x\n");
    BOOST_TEST(event.finish_reason.empty());
    BOOST_REQUIRE(!failed(token_event_parser{}.parse(
        R"({"id":"a","token_index":8,"choices":[{"index":0,"delta":{},
            "finish_reason":"stop"}],"usage":{"prompt_tokens":3,
            "completion_tokens":8,"cached_tokens":2}})",
        event)));
    BOOST_TEST(event.finish_reason == "stop");
    BOOST_TEST(event.usage.completion_tokens == 8U);
    BOOST_TEST(event.usage.cached_tokens == 2U);
}

BOOST_AUTO_TEST_CASE(rejects_invalid_events)
{
    token_event event;
    for (auto const* json_text :
         {"", "{", "[]", "7", R"({"id":"a"})", R"({"token_index":1})",
          R"({"id":"a","token_index":-1})",
          R"([[[[[[[[[[[[{"id":"a","token_index":1}]]]]]]]]]]]])"}) {
        BOOST_TEST(failed(token_event_parser{}.parse(json_text, event)));
    }
}

RC_BOOST_PROP(handles_arbitrary_bytes, (std::string const& bytes))
{
    token_event event;
    static_cast<void>(token_event_parser{}.parse(bytes, event));
}

RC_BOOST_PROP(extracts_the_same_events_however_the_bytes_are_split,
              (std::vector<std::uint8_t> const& piece_sizes))
{
    std::string const input =
        "data: one\r\n\r\n: comment\ndata:two\n\nevent: x\ndata: three\n\n";
    sse_parser parser;
    std::vector<std::string> events;
    auto const collect = [&events](std::string_view data) {
        events.emplace_back(data);
        return true;
    };
    std::size_t position = 0;
    for (auto const piece_size : piece_sizes) {
        auto const size =
            std::min<std::size_t>(piece_size % 7, input.size() - position);
        RC_ASSERT(parser.feed(input.substr(position, size), collect));
        position += size;
    }
    RC_ASSERT(parser.feed(input.substr(position), collect));
    RC_ASSERT((events == std::vector<std::string>{"one", "two", "three"}));
}

BOOST_AUTO_TEST_CASE(rejects_an_event_that_is_too_long)
{
    sse_parser parser;
    bool accepted = true;
    std::string const piece(std::size_t{64} * 1024, 'x');
    for (int i = 0; i < 32 && accepted; ++i) {
        accepted = parser.feed(piece, [](std::string_view) { return true; });
    }
    BOOST_TEST(!accepted);
}

BOOST_AUTO_TEST_SUITE_END()
