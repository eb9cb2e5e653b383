// The orders that are stored, and when they are sent.

#include <medlarstall/duty/scale_orders.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

using namespace medlarstall;
using namespace medlarstall::duty;
using namespace std::chrono_literals;

namespace {

std::map<std::string, std::uint32_t> const limits{{"s", 60}};
scale_subject const reclaimable{"s", "a", true};
scale_subject const regular{"s", "a", false};

std::string cbor(nlohmann::json const& value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

struct orders_fixture
{
    /// Orders a number, which is stored at once.
    void order(scale_subject const& subject, std::uint32_t count)
    {
        orders.set(subject, count, 0, now);
        orders.on_stored(orders.revision());
    }

    std::vector<scale_order> take_after(duration wait)
    {
        now += wait;
        return orders.take_due(limits, now);
    }

    scale_orders orders;
    time_point now = time_point{} + 1h;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(scale_orders_suite, orders_fixture)

// Guards against an order that the next holder does not know of.
BOOST_AUTO_TEST_CASE(order_is_sent_only_when_stored)
{
    orders.set(regular, 5, 0, now);
    BOOST_TEST(take_after(1s).empty());
    orders.on_stored(orders.revision());
    BOOST_TEST(take_after(1s).size() == 1U);
    BOOST_TEST(take_after(1s).empty()); // Its result is not known.
}

// After a restore of the store the platform may hold other numbers than those
// of the copy, so that both kinds together could exceed the limit.
BOOST_AUTO_TEST_CASE(orders_of_a_restored_state_are_taken_for_the_last_ones)
{
    order(regular, 5);
    orders.on_result(take_after(1s).at(0), call_outcome::accepted, now);
    order(reclaimable, 7);
    orders.on_result(take_after(1s).at(0), call_outcome::accepted, now);
    auto const copy = orders.encode();
    orders.decode(copy, now);
    orders.doubt_all();
    order(reclaimable, 9); // The platform may hold up to 60 regular servers.
    auto const first = take_after(1s);
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST(!first.at(0).reclaimable);
    BOOST_TEST(first.at(0).count == 5U);
    BOOST_TEST(take_after(1s).empty());
    orders.on_result(first.at(0), call_outcome::accepted, now);
    BOOST_TEST(take_after(1s).at(0).count == 9U);
}

// Guards against loss of what was ordered, of its outcome and of the price
// limit at a change of the holder.
BOOST_AUTO_TEST_CASE(stored_orders_are_read_again)
{
    order(regular, 5);
    orders.on_result(take_after(1s).at(0), call_outcome::accepted, now);
    order(reclaimable, 7);
    orders.set_first_price("s", 91.5);
    scale_orders next;
    next.decode(orders.encode(), now);
    BOOST_TEST(next.ordered(regular).value() == 5U);
    BOOST_TEST(next.first_price("s").value() == 91.5);
    auto const due = next.take_due(limits, now);
    BOOST_REQUIRE(due.size() == 1U); // The one without a known outcome.
    BOOST_TEST(due.at(0).reclaimable);
    BOOST_TEST(due.at(0).count == 7U);
}

// Guards against records of older and newer builds: what is missing is unknown,
// and what is unknown is ignored.
BOOST_AUTO_TEST_CASE(records_of_other_builds_are_read)
{
    nlohmann::json item{{"service", "s"}, {"data_centre", "a"}, {"count", 4}};
    orders.decode(cbor({{"orders", {item}}}), now);
    BOOST_TEST(orders.ordered(regular).value() == 4U);
    BOOST_TEST(!orders.first_price("s").has_value());
    BOOST_TEST(take_after(0s).size() == 1U); // The outcome is unknown.
    item["settled"] = true;
    item["later_field"] = {1, 2};
    orders.decode(cbor({{"orders", {item}}, {"later_field", 1}}), now);
    BOOST_TEST(orders.ordered(regular).value() == 4U);
    BOOST_TEST(take_after(1s).empty());
    item.erase("count");
    orders.decode(cbor({{"orders", {item, 7}}}), now);
    BOOST_TEST(!orders.ordered(regular).has_value());
}

RC_BOOST_PROP(corrupted_records_are_read_or_left_out, ())
{
    scale_orders orders;
    auto const now = time_point{} + 1h;
    orders.set(regular, 5, 0, now);
    orders.set_first_price("s", 91.5);
    auto bytes = orders.encode();
    auto const at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[at] = *rc::gen::arbitrary<char>();
    orders.decode(bytes, now);
    orders.decode(bytes.substr(0, at), now);
    RC_SUCCEED("was read or left out");
}

// Guards against an order that is executed late and undoes the one after it.
BOOST_AUTO_TEST_CASE(order_is_repeated_if_a_late_call_has_undone_it)
{
    order(regular, 5);
    auto const late = take_after(1s).at(0);
    orders.on_result(late, call_outcome::unknown, now);
    order(regular, 20);
    orders.on_result(take_after(1s).at(0), call_outcome::accepted, now);
    orders.expected(regular, 20, 4s, now);
    BOOST_TEST(take_after(5s).empty());
    orders.expected(regular, 5, 4s, now);
    now += 11s;
    BOOST_TEST(orders.expected(regular, 5, 4s, now) == 5U);
    auto const again = take_after(0s);
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again.at(0).count == 20U);
    orders.on_result(again.at(0), call_outcome::accepted, now);
    now += 30s;
    orders.expected(regular, 5, 4s, now);
    BOOST_TEST(take_after(0s).empty()); // Once only.
}

// Guards against asking again at once for servers that are not available.
BOOST_AUTO_TEST_CASE(refused_order_blocks_its_subject_for_longer_each_time)
{
    duration last{0};
    for (std::uint32_t count = 10; count < 14; ++count) {
        order(reclaimable, count);
        orders.on_result(take_after(1s).at(0), call_outcome::unavailable, now);
        BOOST_TEST(orders.ordered(reclaimable).value() == 0U);
        auto const from = now;
        while (orders.is_blocked(reclaimable, now)) {
            now += 1s;
        }
        BOOST_TEST((now - from > last));
        last = now - from;
        BOOST_TEST(take_after(0s).empty());
    }
    BOOST_TEST(!orders.is_blocked(regular, now));
}

// Guards against both kinds together exceeding the limit while the order for
// fewer of the other kind may not have been executed.
BOOST_AUTO_TEST_CASE(order_waits_for_the_reduction_of_the_other_kind)
{
    order(reclaimable, 50);
    orders.on_result(take_after(1s).at(0), call_outcome::accepted, now);
    order(reclaimable, 0);
    order(regular, 40);
    auto const first = take_after(1s);
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST(first.at(0).count == 0U);
    orders.on_result(first.at(0), call_outcome::unknown, now);
    auto const repeated = take_after(2s);
    BOOST_REQUIRE(repeated.size() == 1U);
    BOOST_TEST(repeated.at(0).reclaimable);
    orders.on_result(repeated.at(0), call_outcome::accepted, now);
    auto const second = take_after(1s);
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second.at(0).count == 40U);
}

// Guards against both kinds together exceeding the limit after a change of the
// holder, while the call of the holder before may have been executed.
BOOST_AUTO_TEST_CASE(next_holder_counts_what_the_last_call_may_have_ordered)
{
    order(reclaimable, 50);
    BOOST_TEST(take_after(1s).at(0).count == 50U);
    order(reclaimable, 10);
    order(regular, 40);
    scale_orders next;
    next.decode(orders.encode(), now);
    auto const due = next.take_due(limits, now);
    BOOST_REQUIRE(due.size() == 1U);
    BOOST_TEST(due.at(0).count == 10U);
    next.on_result(due.at(0), call_outcome::accepted, now);
    BOOST_TEST(next.take_due(limits, now + 1s).at(0).count == 40U);
}

BOOST_AUTO_TEST_SUITE_END()
