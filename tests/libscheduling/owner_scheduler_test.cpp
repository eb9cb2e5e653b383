#include "scheduler_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace medlarstall;
using namespace medlarstall::scheduling;
using std::chrono::seconds;
using ids = std::vector<request_id>;

BOOST_AUTO_TEST_SUITE(owner_scheduler_suite)

BOOST_AUTO_TEST_CASE(serves_the_more_important_tier_first)
{
    scheduler_fixture test{1};
    test.enqueue(test.make(1, 2));
    test.enqueue(test.make(2, 2));
    test.enqueue(test.make(3, 0));
    BOOST_TEST(test.dispatched() == ids{1}, boost::test_tools::per_element());
    test.scheduler.finished(1, test.now, test.actions);
    BOOST_TEST(test.dispatched() == ids{3}, boost::test_tools::per_element());
    test.scheduler.finished(3, test.now, test.actions);
    BOOST_TEST(test.dispatched() == ids{2}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(preempts_only_when_the_target_would_be_missed)
{
    scheduler_fixture test{1};
    test.enqueue(test.make(1, 2));
    test.scheduler.tokens(1, 7, test.now, test.actions);
    test.enqueue(test.make(2, 0));
    BOOST_TEST(test.take<preempt>().empty());
    test.advance(milliseconds{1700});
    BOOST_TEST(test.take<preempt>().empty());
    auto const wake = test.take<wake_up>();
    BOOST_REQUIRE(!wake.empty());
    test.advance(wake.back().at - test.now);
    BOOST_REQUIRE(test.take<preempt>().size() == 1);
    BOOST_TEST(test.dispatched() == ids{1}, boost::test_tools::per_element());
    test.scheduler.preempted(1, test.now, test.actions);
    BOOST_TEST(test.dispatched() == ids{2}, boost::test_tools::per_element());
    test.scheduler.finished(2, test.now, test.actions);
    auto const resumed = test.take<dispatch>();
    BOOST_REQUIRE(resumed.size() == 1);
    BOOST_TEST(resumed[0].id == 1);
    BOOST_TEST(resumed[0].resume_from == 7);
}

BOOST_AUTO_TEST_CASE(never_preempts_for_the_same_tier_or_a_floor)
{
    scheduler_fixture test{1};
    test.entries.classes["tier2"].value.floor = 0.5;
    test.publish();
    test.enqueue(test.make(1, 1));
    test.enqueue(test.make(2, 1));
    test.enqueue(test.make(3, 2));
    test.advance(seconds{30});
    BOOST_TEST(test.take<preempt>().empty());
}

BOOST_AUTO_TEST_CASE(floor_gives_a_part_of_the_freed_slots)
{
    scheduler_fixture test{1};
    test.entries.classes["tier2"].value.floor = 0.2;
    test.publish();
    std::size_t low = 0;
    test.enqueue(test.make(1000, 2));
    for (request_id id = 1; id <= 100; ++id) {
        test.enqueue(test.make(id, 0));
        test.enqueue(test.make(1000 + id, 2));
        for (auto const started : test.dispatched()) {
            low += started >= 1000 ? 1 : 0;
            test.scheduler.finished(started, test.now, test.actions);
        }
    }
    BOOST_TEST(low >= 19);
    BOOST_TEST(low <= 24);
}

BOOST_AUTO_TEST_CASE(leaving_backend_server_gets_nothing_and_hands_over)
{
    scheduler_fixture test{1};
    test.enqueue(test.make(1, 0));
    test.enqueue(test.make(2, 0));
    test.dispatched();
    test.scheduler.leave_backend_server("engine0", test.now, test.actions);
    auto const given = test.take<hand_over>();
    BOOST_REQUIRE(given.size() == 1);
    BOOST_TEST(given[0].id == 2);
    BOOST_TEST(!given[0].started);
    test.enqueue(test.make(3, 0));
    auto const refused = test.take<refuse>();
    BOOST_REQUIRE(refused.size() == 1);
    BOOST_TEST((refused[0].reason == refusal::no_backend_server));
    test.scheduler.finished(1, test.now, test.actions);
    BOOST_TEST(test.dispatched().empty());
}

BOOST_AUTO_TEST_SUITE_END()
