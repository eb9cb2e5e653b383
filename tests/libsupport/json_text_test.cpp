// JSON text and CBOR from outside: what is refused, and that nothing ends the
// program.

#include <medlarstall/support/json_text.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include <string>
#include <tuple>

using namespace medlarstall;

BOOST_AUTO_TEST_SUITE(json_text_suite)

BOOST_AUTO_TEST_CASE(a_value_survives_both_encodings)
{
    nlohmann::json const value{{"a", {1, 2.5, "x"}}, {"b", nullptr}};
    auto const text = parse_json(canonical_text(value));
    BOOST_REQUIRE(!failed(text));
    BOOST_TEST((value_of(text) == value));
    auto const encoded = nlohmann::json::to_cbor(value);
    auto const decoded =
        parse_cbor(std::string{encoded.begin(), encoded.end()});
    BOOST_REQUIRE(!failed(decoded));
    BOOST_TEST((value_of(decoded) == value));
}

BOOST_AUTO_TEST_CASE(claimed_sizes_are_not_believed)
{
    BOOST_TEST(failed(parse_cbor("\x9B"
                                 "aaaaaaaa")));
    BOOST_TEST(failed(parse_cbor("\xBB"
                                 "aaaaaaaa")));
    BOOST_TEST(failed(parse_cbor("\x5B"
                                 "aaaaaaaa")));
}

BOOST_AUTO_TEST_CASE(deep_values_are_refused_before_they_are_read)
{
    constexpr std::size_t levels = 1000000;
    BOOST_TEST(failed(parse_cbor(std::string(levels, '\x81'))));
    BOOST_TEST(failed(parse_json(std::string(levels, '['))));
    BOOST_TEST(failed(parse_cbor("\x81\x81\x01", {.depth = 1})));
    BOOST_TEST(!failed(parse_cbor("\x81\x81\x01", {.depth = 2})));
}

BOOST_AUTO_TEST_CASE(long_input_is_refused)
{
    BOOST_TEST(failed(parse_json("[1, 2]", {.bytes = 5})));
    BOOST_TEST(failed(parse_cbor("\x82\x01\x02", {.bytes = 2})));
}

RC_BOOST_PROP(any_bytes_are_read_or_refused, (std::string const& bytes))
{
    std::ignore = parse_json(bytes);
    std::ignore = parse_cbor(bytes);
    RC_SUCCEED("was read or refused");
}

BOOST_AUTO_TEST_SUITE_END()
