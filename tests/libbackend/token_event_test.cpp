#include <medlarstall/backend/event_stream.hpp>
#include <medlarstall/backend/token_event.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace medlarstall;
using namespace medlarstall::backend;

BOOST_AUTO_TEST_SUITE(token_event_suite)

BOOST_AUTO_TEST_CASE(reads_a_token_and_a_finish_mark)
{
    token_event event;
    BOOST_REQUIRE(!failed(token_event_reader{}.read(
        R"({"id":"a","token_index":7,"choices":[{"index":0,
            "delta":{"content":"x\n"},"finish_reason":null}]})",
        event)));
    BOOST_TEST(event.attempt == "a");
    BOOST_TEST(event.token_index == 7U);
    BOOST_TEST(event.content == "x\n");
    BOOST_TEST(event.finish_reason.empty());
    BOOST_REQUIRE(!failed(token_event_reader{}.read(
        R"({"id":"a","token_index":8,"choices":[{"index":0,"delta":{},
            "finish_reason":"stop"}],"usage":{"prompt_tokens":3,
            "completion_tokens":8,"cached_tokens":2}})",
        event)));
    BOOST_TEST(event.finish_reason == "stop");
    BOOST_TEST(event.usage.completion_tokens == 8U);
    BOOST_TEST(event.usage.cached_tokens == 2U);
}

BOOST_AUTO_TEST_CASE(refuses_what_is_no_event)
{
    token_event event;
    for (auto const* text :
         {"", "{", "[]", "7", R"({"id":"a"})", R"({"token_index":1})",
          R"({"id":"a","token_index":-1})",
          R"([[[[[[[[[[[[{"id":"a","token_index":1}]]]]]]]]]]]])"}) {
        BOOST_TEST(failed(token_event_reader{}.read(text, event)));
    }
}

RC_BOOST_PROP(reads_any_bytes_without_harm, (std::string const& bytes))
{
    token_event event;
    static_cast<void>(token_event_reader{}.read(bytes, event));
}

RC_BOOST_PROP(cuts_events_alike_however_they_arrive,
              (std::vector<std::uint8_t> const& cuts))
{
    std::string const whole =
        "data: one\r\n\r\n: comment\ndata:two\n\nevent: x\ndata: three\n\n";
    event_stream stream;
    std::vector<std::string> events;
    auto const keep = [&events](std::string_view data) {
        events.emplace_back(data);
        return true;
    };
    std::size_t position = 0;
    for (auto const cut : cuts) {
        auto const size =
            std::min<std::size_t>(cut % 7, whole.size() - position);
        RC_ASSERT(stream.feed(whole.substr(position, size), keep));
        position += size;
    }
    RC_ASSERT(stream.feed(whole.substr(position), keep));
    RC_ASSERT((events == std::vector<std::string>{"one", "two", "three"}));
}

BOOST_AUTO_TEST_CASE(refuses_an_event_without_end)
{
    event_stream stream;
    bool going_on = true;
    std::string const part(std::size_t{64} * 1024, 'x');
    for (int i = 0; i < 32 && going_on; ++i) {
        going_on = stream.feed(part, [](std::string_view) { return true; });
    }
    BOOST_TEST(!going_on);
}

BOOST_AUTO_TEST_SUITE_END()
