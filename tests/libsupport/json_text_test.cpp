// Parsing of JSON text and CBOR from untrusted sources: invalid input is
// rejected with an error and never crashes the process.

#include <medlarstall/support/json_text.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include <string>
#include <tuple>

using namespace medlarstall;

BOOST_AUTO_TEST_SUITE(json_text_suite)

BOOST_AUTO_TEST_CASE(value_round_trips_through_json_and_cbor)
{
    nlohmann::json const value{{"a", {1, 2.5, "x"}}, {"b", nullptr}};
    auto const text = parse_json(canonical_json(value));
    BOOST_REQUIRE(!failed(text));
    BOOST_TEST((value_of(text) == value));
    auto const encoded = nlohmann::json::to_cbor(value);
    auto const decoded =
        parse_cbor(std::string{encoded.begin(), encoded.end()});
    BOOST_REQUIRE(!failed(decoded));
    BOOST_TEST((value_of(decoded) == value));
}

// An array, an object and a byte string, each with a length field of 8 bytes
// that is far larger than the input. Reserving that much memory would fail.
BOOST_AUTO_TEST_CASE(cbor_length_beyond_input_is_rejected)
{
    BOOST_TEST(failed(parse_cbor("\x9B"
                                 "aaaaaaaa")));
    BOOST_TEST(failed(parse_cbor("\xBB"
                                 "aaaaaaaa")));
    BOOST_TEST(failed(parse_cbor("\x5B"
                                 "aaaaaaaa")));
}

// A parser that recurses for each level would overflow the stack, so the depth
// is checked first.
BOOST_AUTO_TEST_CASE(deep_nesting_is_rejected_before_parsing)
{
    constexpr std::size_t levels = 1000000;
    BOOST_TEST(failed(parse_cbor(std::string(levels, '\x81'))));
    BOOST_TEST(failed(parse_json(std::string(levels, '['))));
    BOOST_TEST(failed(parse_cbor("\x81\x81\x01", {.max_depth = 1})));
    BOOST_TEST(!failed(parse_cbor("\x81\x81\x01", {.max_depth = 2})));
}

BOOST_AUTO_TEST_CASE(input_over_the_size_limit_is_rejected)
{
    BOOST_TEST(failed(parse_json("[1, 2]", {.max_bytes = 5})));
    BOOST_TEST(failed(parse_cbor("\x82\x01\x02", {.max_bytes = 2})));
}

RC_BOOST_PROP(arbitrary_bytes_are_parsed_or_rejected,
              (std::string const& bytes))
{
    std::ignore = parse_json(bytes);
    std::ignore = parse_cbor(bytes);
    RC_SUCCEED("was parsed or rejected");
}

BOOST_AUTO_TEST_SUITE_END()
