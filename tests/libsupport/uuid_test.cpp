// UUID version 7, SHA-256 and the constant-time comparison.

#include <medlarstall/support/digest.hpp>
#include <medlarstall/support/uuid.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace medlarstall;

BOOST_AUTO_TEST_SUITE(uuid_suite)

RC_BOOST_PROP(version_7_keeps_timestamp_and_round_trips_as_text,
              (std::uint64_t high, std::uint64_t low))
{
    auto const ms = std::chrono::milliseconds{high >> 20U};
    auto const id = make_uuid_v7(wall_time{ms}, high, low);
    RC_ASSERT(version_of(id) == 7);
    RC_ASSERT(timestamp_of(id).time_since_epoch() == ms);
    auto const parsed = parse_uuid(to_string(id));
    RC_ASSERT(!failed(parsed));
    RC_ASSERT(value_of(parsed) == id);
}

BOOST_AUTO_TEST_CASE(rejects_malformed_text)
{
    BOOST_TEST(failed(parse_uuid("")));
    BOOST_TEST(failed(parse_uuid("0190a3b0-7b1c-7000-8000-00000000000g")));
    BOOST_TEST(failed(parse_uuid("0190a3b0_7b1c-7000-8000-000000000000")));
}

BOOST_AUTO_TEST_CASE(sha256_and_comparison_of_known_values)
{
    BOOST_TEST(sha256_hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a39"
                                    "6177a9cb410ff61f20015ad");
    BOOST_TEST(equal_constant_time("abc", "abc"));
    BOOST_TEST(!equal_constant_time("abc", "abd"));
}

BOOST_AUTO_TEST_SUITE_END()
