// Tests the counts of requests that daemons merge from each other.

#include <medlarstall/duty/usage_ledger.hpp>
#include <medlarstall/duty/usage_state.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <cstdint>
#include <limits>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace medlarstall;
using namespace medlarstall::duty;

namespace {

constexpr counter_id own = 1;
constexpr std::uint64_t current = 1000;

usage_ledger make_ledger(ledger_limits limits = {})
{
    usage_ledger ledger{own, limits};
    ledger.advance(current);
    return ledger;
}

} // namespace

BOOST_AUTO_TEST_SUITE(usage_ledger_suite)

// Rows arrive twice, late and in any order, and old ones after newer ones.
RC_BOOST_PROP(merging_is_idempotent_and_independent_of_the_order, ())
{
    std::vector<std::pair<counter_id, usage_row>> rows;
    organisation_counts expected;
    for (counter_id counter = 2; counter < 6; ++counter) {
        std::uint64_t count = 0;
        auto const told = *rc::gen::inRange(1, 5);
        for (int at = 0; at < told; ++at) {
            count += *rc::gen::inRange<std::uint64_t>(1, 9);
            rows.emplace_back(counter,
                              usage_row{current, {{"a", count}, {"b", 1}}});
        }
        expected["a"] += count;
        ++expected["b"];
    }
    auto ledger = make_ledger();
    auto const sent = rows.size() * 3;
    for (std::size_t at = 0; at < sent; ++at) {
        auto const& [counter, row] =
            rows[*rc::gen::inRange<std::size_t>(0, rows.size())];
        RC_ASSERT(ledger.merge(counter, row));
    }
    for (auto const& [counter, row] : rows) {
        ledger.merge(counter, row);
    }
    RC_ASSERT(ledger.sum(current) == expected);
}

// The memory of a daemon must stay bounded, and its own counts be kept.
BOOST_AUTO_TEST_CASE(rows_beyond_the_bounds_are_rejected)
{
    constexpr auto most = std::numeric_limits<std::uint64_t>::max();
    auto ledger = make_ledger({.max_counts = 100});
    BOOST_TEST(!ledger.merge(2, {current + 2, {{"a", 1}}}));
    BOOST_TEST(!ledger.merge(2, {current - 25, {{"a", 1}}}));
    BOOST_TEST(!ledger.merge(2, {most, {{"a", 1}}}));
    BOOST_TEST(!ledger.merge(2, {current, {{"a", most}}}));
    BOOST_TEST(!ledger.merge(2, {current, {{"", 1}}}));
    BOOST_TEST(!ledger.merge(2, {current, {{std::string(200, 'x'), 1}}}));
    BOOST_TEST(ledger.size() == 0U);
    BOOST_TEST(ledger.windows().empty());
    for (counter_id counter = 2; counter < 500; ++counter) {
        ledger.merge(counter, {current, {{"a", 1}}});
    }
    BOOST_TEST(ledger.size() == 100U);
    BOOST_TEST(ledger.windows().at(current).size() == 100U);
    BOOST_TEST(ledger.count("a", current));
    BOOST_TEST(ledger.sum(current).at("a") == 101U);
    BOOST_TEST(ledger.merge(2, {current, {{"a", 7}}})); // A known count.
    ledger.advance(current + 25);
    BOOST_TEST(ledger.size() == 0U);
}

// A peer, or the stored state, must not change what this daemon has counted.
BOOST_AUTO_TEST_CASE(own_counts_are_not_merged)
{
    auto ledger = make_ledger();
    ledger.count("a", current);
    BOOST_TEST(ledger.merge(own, {current, {{"a", 50}}}));
    BOOST_TEST(ledger.sum(current).at("a") == 1U);
}

BOOST_AUTO_TEST_CASE(only_changed_rows_are_taken)
{
    auto ledger = make_ledger();
    ledger.count("a", current);
    ledger.count("a", current - 1);
    BOOST_TEST(ledger.take_changed_rows().size() == 2U);
    BOOST_TEST(ledger.take_changed_rows().empty());
    ledger.count("b", current);
    auto const rows = ledger.take_changed_rows();
    BOOST_REQUIRE(rows.size() == 1U);
    BOOST_TEST((rows.at(0).counts == organisation_counts{{"b", 1}}));
    BOOST_TEST(ledger.own_rows(current - 1).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(usage_state_suite)

BOOST_AUTO_TEST_CASE(state_survives_encoding_and_decoding)
{
    usage_state state;
    state.closed_before = 7;
    state.fixed = {{5, {{"b", 300}}}, {6, {}}};
    state.open = {{7, {{1, {{"a", 1}}}, {9, {{"b", 70000}}}}}};
    auto const read = decode_usage_state(encode(state));
    BOOST_REQUIRE(!failed(read));
    BOOST_TEST((value_of(read) == state));
}

RC_BOOST_PROP(a_corrupt_state_does_not_crash_the_daemon, ())
{
    usage_state state;
    state.fixed = {{5, {{"b", 300}}}};
    state.open = {{7, {{1, {{"a", 1}}}}}};
    auto bytes = encode(state);
    auto const at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[at] = *rc::gen::arbitrary<char>();
    std::ignore = decode_usage_state(bytes);
    RC_SUCCEED("was decoded or rejected");
}

BOOST_AUTO_TEST_SUITE_END()
