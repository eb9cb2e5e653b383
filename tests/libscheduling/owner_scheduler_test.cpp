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

BOOST_AUTO_TEST_CASE(bounce_of_the_last_backend_server_hands_over)
{
    scheduler_fixture test{1};
    test.enqueue(test.make(1, 0));
    test.scheduler.remove_backend_server("engine0", test.now, test.actions);
    test.scheduler.bounced(1, test.now, test.actions);
    auto const given = test.take<hand_over>();
    BOOST_REQUIRE(given.size() == 1);
    BOOST_TEST(!given[0].started);
    BOOST_TEST(test.scheduler.queued() == 0);
}

BOOST_AUTO_TEST_CASE(victim_is_the_one_that_wastes_least)
{
    scheduler_fixture test{3};
    auto costly = test.make(1, 2);
    costly.prompt_tokens = 4000;
    auto lost = test.make(2, 2);
    lost.resumable = false;
    auto cheap = test.make(3, 2);
    cheap.prompt_tokens = 100;
    for (auto const& each : {costly, lost, cheap}) {
        test.enqueue(each);
        test.scheduler.tokens(each.id, 5, test.now, test.actions);
    }
    test.enqueue(test.make(4, 0));
    test.advance(seconds{2});
    auto const victims = test.take<preempt>();
    BOOST_REQUIRE(victims.size() == 1);
    BOOST_TEST(victims[0].id == 3);
}

BOOST_AUTO_TEST_CASE(request_that_grows_long_closes_the_gate)
{
    scheduler_fixture test{4};
    test.enqueue(test.make(1, 1));
    test.scheduler.tokens(1, 2000, test.now, test.actions);
    auto longer = test.make(2, 1);
    longer.expected_output_tokens = 5000;
    for (request_id id = 10; id < 13; ++id) {
        test.enqueue(test.make(id, 1));
    }
    test.enqueue(longer);
    test.enqueue(test.make(20, 1));
    test.enqueue(test.make(21, 1));
    test.dispatched();
    for (request_id id = 10; id < 12; ++id) {
        test.scheduler.finished(id, test.now, test.actions);
    }
    BOOST_TEST(test.dispatched() == (ids{20, 21}),
               boost::test_tools::per_element());
    test.scheduler.finished(12, test.now, test.actions);
    // Nothing else waits, so the long one may have the slot.
    BOOST_TEST(test.dispatched() == ids{2}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(long_requests_beyond_their_part_yield_to_short_ones)
{
    scheduler_fixture test{2};
    for (request_id id = 1; id <= 2; ++id) {
        test.enqueue(test.make(id, 1));
        test.scheduler.tokens(id, 2000, test.now, test.actions);
    }
    test.enqueue(test.make(3, 1));
    test.enqueue(test.make(4, 1));
    test.advance(seconds{2});
    // The part of two slots is one, which the other long request keeps.
    auto const victims = test.take<preempt>();
    BOOST_REQUIRE(victims.size() == 1);
    test.dispatched();
    test.scheduler.preempted(victims[0].id, test.now, test.actions);
    BOOST_TEST(test.dispatched() == ids{3}, boost::test_tools::per_element());
    BOOST_TEST(test.take<preempt>().empty());
}

BOOST_AUTO_TEST_CASE(victim_makes_progress_before_it_is_preempted_again)
{
    scheduler_fixture test{1};
    test.enqueue(test.make(1, 2));
    for (request_id id = 2; id <= 3; ++id) {
        test.enqueue(test.make(id, 0));
        test.advance(seconds{2});
        BOOST_REQUIRE(test.take<preempt>().size() == 1);
        test.scheduler.preempted(1, test.now, test.actions);
        test.scheduler.finished(id, test.now, test.actions);
        test.enqueue(test.make(10 + id, 0));
        test.advance(seconds{2});
        BOOST_TEST(test.take<preempt>().empty());
        test.scheduler.cancelled(10 + id, test.now, test.actions);
        test.scheduler.tokens(1, 64, test.now, test.actions);
    }
}

BOOST_AUTO_TEST_CASE(flood_leaves_a_small_organisation_its_share)
{
    scheduler_fixture test{1};
    request_id id = 0;
    std::size_t small = 0;
    for (unsigned round = 0; round < 200; ++round) {
        for (unsigned copy = 0; copy < 10; ++copy) {
            test.enqueue(test.make(++id, 1, "flood"));
        }
        test.enqueue(test.make(++id, 1, "small"));
        for (auto const& started : test.take<dispatch>()) {
            small += started.id % 11 == 0 ? 1 : 0;
            test.scheduler.tokens(started.id, 50, test.now, test.actions);
            test.advance(milliseconds{100});
            test.scheduler.finished(started.id, test.now, test.actions);
        }
    }
    // Its entitlement is half of the 200 slots; it asks for all of them.
    BOOST_TEST(small >= 95);
    for (auto const& each : test.scheduler.usage()) {
        BOOST_TEST((each.organisation == "flood" || each.refused <= 105));
    }
}

BOOST_AUTO_TEST_CASE(retry_after_spreads_the_returns)
{
    scheduler_fixture test{1};
    for (request_id id = 1; id <= 217; ++id) {
        test.enqueue(test.make(id, 1));
    }
    std::set<milliseconds> times;
    for (auto const& each : test.take<refuse>()) {
        BOOST_TEST((each.reason == refusal::queue_full));
        BOOST_TEST((each.retry_after >= milliseconds{500}));
        times.insert(each.retry_after / 50);
    }
    BOOST_TEST(times.size() >= 15);
}

BOOST_AUTO_TEST_CASE(refuses_early_what_can_not_start_in_time)
{
    scheduler_fixture test{1};
    test.enqueue(test.make(1, 1));
    test.advance(seconds{2});
    test.scheduler.finished(1, test.now, test.actions);
    for (request_id id = 2; id < 10; ++id) {
        test.enqueue(test.make(id, 1));
    }
    auto late = test.make(20, 1);
    late.deadline = test.now + seconds{3};
    test.enqueue(late);
    auto const refused = test.take<refuse>();
    BOOST_REQUIRE(refused.size() == 1);
    BOOST_TEST((refused[0].reason == refusal::deadline));
}

BOOST_AUTO_TEST_CASE(new_owner_waits_for_the_work_of_the_former_one)
{
    scheduler_fixture test{4};
    test.scheduler.load_reported("engine0", {.running = 3}, test.now,
                                 test.actions);
    for (request_id id = 1; id <= 4; ++id) {
        test.enqueue(test.make(id, 1));
    }
    BOOST_TEST(test.dispatched() == ids{1}, boost::test_tools::per_element());
    test.advance(milliseconds{300});
    test.scheduler.load_reported("engine0", {.running = 1}, test.now,
                                 test.actions);
    BOOST_TEST(test.dispatched() == (ids{2, 3, 4}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(two_owners_of_one_backend_server_settle_within_its_slots)
{
    scheduler_fixture first{8};
    scheduler_fixture second{8};
    for (request_id id = 1; id <= 200; ++id) {
        first.enqueue(first.make(id, 1));
        second.enqueue(second.make(id, 1));
    }
    std::size_t running = 16;
    for (unsigned round = 0; round < 40; ++round) {
        running = first.scheduler.running() + second.scheduler.running();
        for (auto* const each : {&first, &second}) {
            each->advance(milliseconds{100});
            each->scheduler.load_reported("engine0",
                                          {.running = std::uint32_t(running)},
                                          each->now, each->actions);
            auto const started = each->take<dispatch>();
            each->scheduler.finished(round + 1, each->now, each->actions);
        }
    }
    BOOST_TEST(running <= 8);
    BOOST_TEST(running >= 7);
}

BOOST_AUTO_TEST_CASE(token_limit_holds_over_time)
{
    scheduler_fixture test{4};
    test.entries.organisations["coteau"].value.limits.tokens_per_second = 100;
    test.publish();
    std::uint64_t served = 0;
    request_id id = 0;
    for (unsigned round = 0; round < 300; ++round) {
        if (test.scheduler.queued() < 4) {
            test.enqueue(test.make(++id, 1));
        }
        test.advance(milliseconds{100});
        for (auto const& each : test.take<dispatch>()) {
            test.scheduler.tokens(each.id, 200, test.now, test.actions);
            test.scheduler.finished(each.id, test.now, test.actions);
            served += 200;
        }
    }
    BOOST_TEST(served <= 100 * 31 + 200);
    BOOST_TEST(served >= 100 * 28);
}

BOOST_AUTO_TEST_CASE(fleet_limit_counts_other_owners)
{
    scheduler_fixture test{8};
    test.entries.organisations["coteau"].value.limits.concurrency = 6;
    test.publish();
    test.scheduler.set_remote_usage(
        "coteau", "tier1", {.running = 4, .owners = 1}, test.now, test.actions);
    for (request_id id = 1; id <= 8; ++id) {
        test.enqueue(test.make(id, 1));
    }
    // Two are left, but an equal part of 6 is 3.
    BOOST_TEST(test.dispatched().size() == 3);
    test.scheduler.set_remote_usage("coteau", "tier1", {.owners = 1}, test.now,
                                    test.actions);
    BOOST_TEST(test.dispatched().size() == 3);
}

BOOST_AUTO_TEST_CASE(prefers_the_backend_server_with_the_cache)
{
    scheduler_fixture test{1, 3};
    auto value = test.make(1, 1);
    value.preferred_backend_server = "engine2";
    test.enqueue(value);
    auto const started = test.take<dispatch>();
    BOOST_REQUIRE(started.size() == 1);
    BOOST_TEST(started[0].backend_server == "engine2");
    test.enqueue(test.make(2, 1));
    test.enqueue(test.make(3, 1));
    test.enqueue(test.make(4, 1));
    value.id = 5;
    value.deadline += seconds{1};
    test.enqueue(value);
    auto urgent = test.make(6, 1);
    urgent.preferred_backend_server = "engine0";
    test.take<dispatch>();
    test.scheduler.finished(1, test.now, test.actions);
    // No preference of the first one: it is not passed over.
    BOOST_TEST(test.dispatched() == ids{4}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(only_loaded_models_are_served)
{
    scheduler_fixture test{1, 0};
    test.scheduler.add_backend_server(
        {.id = "a", .group = "engines", .models = {"small"}}, test.now,
        test.actions);
    test.scheduler.add_backend_server(
        {.id = "b", .group = "engines", .models = {"small", "large"}}, test.now,
        test.actions);
    auto value = test.make(1, 1);
    value.model = "large";
    for (value.id = 1; value.id <= 2; ++value.id) {
        test.enqueue(value);
    }
    auto const started = test.take<dispatch>();
    BOOST_REQUIRE(started.size() == 1);
    BOOST_TEST(started[0].backend_server == "b");
    test.scheduler.add_backend_server(
        {.id = "b", .group = "engines", .models = {"small"}}, test.now,
        test.actions);
    auto const given = test.take<hand_over>();
    BOOST_REQUIRE(given.size() == 1);
    BOOST_TEST(given[0].id == 2);
}

BOOST_AUTO_TEST_SUITE_END()
