// Tests the format of the lease record.

#include <medlarstall/duty/lease_record.hpp>

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include <chrono>
#include <string>
#include <utility>

using namespace medlarstall;
using namespace std::chrono_literals;

namespace {

duty::lease_record example()
{
    duty::lease_record record;
    record.token = 12;
    record.holder = "edge-1";
    record.incarnation = 1'700'000'000'000;
    record.write = 9;
    record.previous_holder = "edge-2";
    record.held = 8500ms;
    record.released = true;
    record.era = 2;
    record.states_era = 1;
    record.states = {{"usage_report", std::string{"\x00\xff{", 3}}, {"x", ""}};
    return record;
}

std::string cbor(nlohmann::json const& value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(lease_record_suite)

BOOST_AUTO_TEST_CASE(a_record_is_read_as_written)
{
    auto const read = duty::decode_lease_record(encode(example()));
    BOOST_REQUIRE(!failed(read));
    BOOST_TEST((value_of(read) == example()));
}

// Guards against daemons of another version that cannot take the lease over: a
// record may lack fields, and have others.
BOOST_AUTO_TEST_CASE(missing_fields_are_unknown_and_others_ignored)
{
    auto const read = duty::decode_lease_record(
        cbor({{"t", 3}, {"h", "edge-1"}, {"new", {1, 2}}}));
    BOOST_REQUIRE(!failed(read));
    duty::lease_record expected;
    expected.token = 3;
    expected.holder = "edge-1";
    BOOST_TEST((value_of(read) == expected));
}

// The first write of a holder of an older version repeats states that may be
// those of a copy of the store.
BOOST_AUTO_TEST_CASE(the_era_of_the_states_of_an_older_version_is_derived)
{
    for (auto const& [held_ms, era] : {std::pair{0, 0U}, std::pair{900, 4U}}) {
        auto const read = duty::decode_lease_record(
            cbor({{"t", 3}, {"h", "edge-1"}, {"e", 4}, {"d", held_ms}}));
        BOOST_REQUIRE(!failed(read));
        BOOST_TEST(value_of(read).states_era == era);
    }
}

BOOST_AUTO_TEST_CASE(invalid_records_are_rejected)
{
    for (auto const& value : std::vector<nlohmann::json>{
             {{"t", 3}},
             {{"h", "edge-1"}},
             {{"t", 3}, {"h", ""}},
             {{"t", ~std::uint64_t{0}}, {"h", "edge-1"}},
             {{"t", "3"}, {"h", "edge-1"}},
             {{"t", 3}, {"h", "edge-1"}, {"s", {{"x", 1}}}},
             {{"t", 3}, {"h", "edge-1"}, {"s", 5}},
             nlohmann::json::array({1, 2}),
             nullptr}) {
        BOOST_TEST(failed(duty::decode_lease_record(cbor(value))));
    }
    BOOST_TEST(failed(duty::decode_lease_record("")));
}

// Guards against bytes of the store that end the daemon.
BOOST_AUTO_TEST_CASE(any_bytes_are_read_or_rejected)
{
    BOOST_TEST(
        rc::check([](std::string const& bytes, std::uint8_t at, char replaced) {
            std::ignore = duty::decode_lease_record(bytes);
            auto damaged = encode(example());
            damaged[at % damaged.size()] = replaced;
            std::ignore = duty::decode_lease_record(damaged);
            std::ignore = duty::decode_lease_record(
                std::string_view{damaged}.substr(0, at % damaged.size()));
        }));
}

BOOST_AUTO_TEST_SUITE_END()
