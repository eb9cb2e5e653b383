// The body of an engine is the caller's with two members replaced, and neither
// it nor what routing reads of it is held as JSON values.

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include <chat_request.hpp>
#include <engine_body.hpp>

using namespace medlarstall;
using namespace medlarstall::daemon;
using nlohmann::json;

namespace {

json some_value(int depth)
{
    switch (*rc::gen::inRange(0, depth > 0 ? 8 : 6)) {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::arbitrary<bool>();
    case 2:
        return *rc::gen::arbitrary<std::int64_t>();
    case 3:
        return *rc::gen::element(1.5, -2.25e-7, 3e300);
    case 4:
        return *rc::gen::element<std::string>("", "stream", "\"\\\n", "\u00e9");
    case 5:
        return *rc::gen::arbitrary<std::uint64_t>();
    case 6: {
        auto list = json::array();
        for (auto left = *rc::gen::inRange(0, 4); left > 0; --left) {
            list.push_back(some_value(depth - 1));
        }
        return list;
    }
    default: {
        auto object = json::object();
        for (auto left = *rc::gen::inRange(0, 4); left > 0; --left) {
            object[*rc::gen::element<std::string>("stream", "priority", "a",
                                                  "b")] = some_value(depth - 1);
        }
        return object;
    }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine_body_suite)

RC_BOOST_PROP(two_members_are_replaced_and_no_other, ())
{
    auto document = some_value(4);
    auto const body = document.dump(*rc::gen::inRange(-1, 3));
    auto const made = make_engine_body(body, 3);
    if (!document.is_object()) {
        RC_ASSERT(made == body);
        return;
    }
    document["stream"] = true;
    document["priority"] = 3;
    RC_ASSERT(json::parse(made) == document);
}

BOOST_AUTO_TEST_CASE(a_body_that_is_no_json_is_changed)
{
    BOOST_TEST(make_engine_body("{\"a\":", 1) == "{\"a\":");
    BOOST_TEST(make_engine_body("", 1).empty());
}

BOOST_AUTO_TEST_CASE(texts_of_messages_and_parts_make_the_prompt)
{
    auto const parsed = chat_request_parser{32}.parse(R"({"model":"m",
        "tools":[{"content":"no"}],"messages":[{"role":"a","content":"one"},
        {"content":[{"text":"tw","x":{"text":"no"}},7,[{"text":"no"}],
        {"text":"o"},{"text":null}],"role":"b"},{"role":"c","content":null}]})");
    auto const* const request = std::get_if<chat_request>(&parsed);
    BOOST_REQUIRE(request != nullptr);
    BOOST_TEST(request->model == "m");
    BOOST_TEST(request->prompt_bytes == std::string{"one\ntwo\n"}.size());
}

BOOST_AUTO_TEST_CASE(an_invalid_message_is_named)
{
    auto const message_of = [](std::string const& messages) {
        auto const parsed = chat_request_parser{8}.parse(
            R"({"model":"m","messages":)" + messages + "}");
        auto const* const problem = std::get_if<api_error>(&parsed);
        return problem == nullptr ? std::string{} : problem->message;
    };
    BOOST_TEST(message_of(R"([{"role":"a"}])").empty());
    BOOST_TEST(message_of("[]").starts_with("messages:"));
    BOOST_TEST(message_of("7").starts_with("messages:"));
    BOOST_TEST(message_of(R"([{"role":"a"},7])").starts_with("messages[1]:"));
    BOOST_TEST(message_of(R"([[{"role":"a"}]])").starts_with("messages[0]:"));
    BOOST_TEST(message_of(R"([{"role":"a","content":{}}])")
                   .starts_with("messages[0].content:"));
    BOOST_TEST(message_of("[[[[[[[[[]]]]]]]]]").starts_with("body:"));
}

BOOST_AUTO_TEST_SUITE_END()
