#include <medlarstall/dispatch/answer_end_check.hpp>

#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

using namespace medlarstall;
using namespace medlarstall::dispatch;
using namespace std::chrono_literals;

namespace {

time_point const start{1h};
constexpr answer_end_settings settings{.closing_time = 50ms, .max_age = 500ms};

/// \return decisions without another open connection
std::vector<answer_end_decision> decide_alone(answer_end_check& check,
                                              time_point now)
{
    return check.take_decided(std::nullopt, now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(answer_end_check_suite)

BOOST_AUTO_TEST_CASE(an_older_connection_proves_an_end_once_others_had_closed)
{
    answer_end_check check{settings};
    auto const number = check.add({start, start});
    auto const opened = start - 10ms;
    BOOST_TEST(check.take_decided(opened, start + 49ms).empty());
    BOOST_TEST(!check.needs_connection(opened));
    auto const decided = check.take_decided(opened, start + 50ms);
    BOOST_REQUIRE(decided.size() == 1);
    BOOST_TEST(decided[0].end == number);
    BOOST_TEST(decided[0].complete);
    BOOST_TEST((decided[0].evidence == answer_end_evidence::older_connection));
    BOOST_TEST((decided[0].age == 50ms));
    BOOST_TEST((decided[0].evidence_age == std::optional<duration>{60ms}));
    BOOST_TEST(check.empty());
}

// It may be one to the process that has started after the end.
BOOST_AUTO_TEST_CASE(a_connection_that_others_opened_later_proves_an_end)
{
    answer_end_check check{settings};
    check.add({start, start});
    auto const opened = start + 1ms;
    BOOST_TEST(check.needs_connection(opened));
    BOOST_TEST(check.take_decided(opened, start + 400ms).empty());
}

BOOST_AUTO_TEST_CASE(an_end_without_any_connection_is_broken)
{
    answer_end_check check{settings};
    check.add({start, start});
    BOOST_TEST(check.needs_connection(std::nullopt));
    check.on_connecting();
    BOOST_TEST(!check.needs_connection(std::nullopt));
    BOOST_TEST(decide_alone(check, start + 1ms).empty());
    check.on_not_connected(start + 2ms);
    auto const decided = decide_alone(check, start + 3ms);
    BOOST_REQUIRE(decided.size() == 1);
    BOOST_TEST(!decided[0].complete);
    BOOST_TEST((decided[0].evidence == answer_end_evidence::not_connected));
    BOOST_TEST((decided[0].evidence_age == std::optional<duration>{1ms}));
}

// A process that is just ending may have accepted it.
BOOST_AUTO_TEST_CASE(a_new_connection_proves_an_end_before_it_has_lasted)
{
    answer_end_check check{settings};
    check.add({start, start});
    check.on_connecting();
    check.on_connected(start + 20ms);
    BOOST_TEST(decide_alone(check, start + 69ms).empty());
    auto const decided = decide_alone(check, start + 70ms);
    BOOST_REQUIRE(decided.size() == 1);
    BOOST_TEST(decided[0].complete);
    BOOST_TEST((decided[0].evidence == answer_end_evidence::new_connection));
}

BOOST_AUTO_TEST_CASE(an_end_is_broken_if_the_new_connection_closes_at_once)
{
    answer_end_check check{settings};
    check.add({start, start});
    check.on_connecting();
    check.on_connected(start + 5ms);
    check.on_closed();
    auto const decided = decide_alone(check, start + 30ms);
    BOOST_REQUIRE(decided.size() == 1);
    BOOST_TEST(!decided[0].complete);
}

BOOST_AUTO_TEST_CASE(a_later_end_needs_proof_of_its_own)
{
    answer_end_check check{settings};
    check.add({start, start});
    check.on_connecting();
    check.on_connected(start + 1ms);
    check.add({start + 40ms, start + 40ms});
    BOOST_TEST(decide_alone(check, start + 60ms).size() == 1);
    BOOST_TEST(decide_alone(check, start + 89ms).empty());
    auto const decided = decide_alone(check, start + 90ms);
    BOOST_REQUIRE(decided.size() == 1);
    BOOST_TEST((decided[0].evidence == answer_end_evidence::older_connection));
}

BOOST_AUTO_TEST_CASE(all_ends_share_one_failure_to_connect)
{
    answer_end_check check{settings};
    check.add({start, start});
    check.on_connecting();
    check.add({start + 1ms, start + 1ms});
    check.on_not_connected(start + 2ms);
    check.add({start + 3ms, start + 3ms});
    auto const decided = decide_alone(check, start + 3ms);
    BOOST_TEST(decided.size() == 3);
    BOOST_TEST(decided.front().checked_together == 3);
}

BOOST_AUTO_TEST_CASE(the_loss_of_the_older_connection_asks_for_a_new_one)
{
    answer_end_check check{settings};
    check.add({start, start});
    BOOST_TEST(!check.needs_connection(start - 1s));
    BOOST_TEST(check.needs_connection(std::nullopt));
}

BOOST_AUTO_TEST_CASE(an_end_that_nothing_decides_is_open_for_ever)
{
    answer_end_check check{settings};
    check.add({start, start});
    check.on_connecting();
    BOOST_TEST(decide_alone(check, start + 499ms).empty());
    auto const decided = decide_alone(check, start + 500ms);
    BOOST_REQUIRE(decided.size() == 1);
    BOOST_TEST(!decided[0].complete);
    BOOST_TEST((decided[0].evidence == answer_end_evidence::none));
    BOOST_TEST(!decided[0].evidence_age.has_value());
}

// The server had started again before this daemon woke and read the end.
BOOST_AUTO_TEST_CASE(an_end_that_is_read_late_is_complete_by_a_new_connection)
{
    answer_end_check check;
    auto const number = check.add({start, start - 800ms, true});
    check.on_connecting();
    check.on_connected(start + 1ms);
    auto const decided = check.take_decided(start - 100ms, start + 60ms);
    BOOST_REQUIRE(decided.size() == 1U);
    BOOST_TEST(decided[0].end == number);
    BOOST_TEST(!decided[0].complete);
}

BOOST_AUTO_TEST_CASE(a_connection_of_before_shows_that_a_late_end_is_complete)
{
    answer_end_check check;
    check.add({start, start - 800ms, true});
    auto const decided = check.take_decided(start - 900ms, start + 60ms);
    BOOST_REQUIRE(decided.size() == 1U);
    BOOST_TEST(decided[0].complete);
}

BOOST_AUTO_TEST_SUITE_END()
