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
    test.enqueue(test.make_request(1, 2));
    test.enqueue(test.make_request(2, 2));
    test.enqueue(test.make_request(3, 0));
    BOOST_TEST(test.take_dispatched() == ids{1},
               boost::test_tools::per_element());
    test.scheduler.finished(1, test.now, test.actions);
    BOOST_TEST(test.take_dispatched() == ids{3},
               boost::test_tools::per_element());
    test.scheduler.finished(3, test.now, test.actions);
    BOOST_TEST(test.take_dispatched() == ids{2},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(preempts_only_when_a_target_would_be_missed)
{
    scheduler_fixture test{1};
    test.enqueue(test.make_request(1, 2));
    test.scheduler.tokens_received(1, 7, test.now, test.actions);
    test.enqueue(test.make_request(2, 0));
    BOOST_TEST(test.take_actions<preempt>().empty());
    test.advance(milliseconds{1700});
    BOOST_TEST(test.take_actions<preempt>().empty());
    auto const wake_ups = test.take_actions<wake_up>();
    BOOST_REQUIRE(!wake_ups.empty());
    test.advance(wake_ups.back().at - test.now);
    BOOST_REQUIRE(test.take_actions<preempt>().size() == 1);
    BOOST_TEST(test.take_dispatched() == ids{1},
               boost::test_tools::per_element());
    test.scheduler.preempted(1, test.now, test.actions);
    BOOST_TEST(test.take_dispatched() == ids{2},
               boost::test_tools::per_element());
    test.scheduler.finished(2, test.now, test.actions);
    auto const resumed = test.take_actions<dispatch>();
    BOOST_REQUIRE(resumed.size() == 1);
    BOOST_TEST(resumed[0].id == 1);
    BOOST_TEST(resumed[0].resume_from == 7);
}

BOOST_AUTO_TEST_CASE(never_preempts_for_the_same_tier_or_for_a_floor)
{
    scheduler_fixture test{1};
    test.entries.classes["tier2"].value.floor = 0.5;
    test.apply_catalogue();
    test.enqueue(test.make_request(1, 1));
    test.enqueue(test.make_request(2, 1));
    test.enqueue(test.make_request(3, 2));
    test.advance(seconds{30});
    BOOST_TEST(test.take_actions<preempt>().empty());
}

BOOST_AUTO_TEST_CASE(floor_guarantees_a_fraction_of_the_freed_slots)
{
    scheduler_fixture test{1};
    test.entries.classes["tier2"].value.floor = 0.2;
    test.apply_catalogue();
    std::size_t low_tier_served = 0;
    test.enqueue(test.make_request(1000, 2));
    for (request_id id = 1; id <= 100; ++id) {
        test.enqueue(test.make_request(id, 0));
        test.enqueue(test.make_request(1000 + id, 2));
        for (auto const started : test.take_dispatched()) {
            low_tier_served += started >= 1000 ? 1 : 0;
            test.scheduler.finished(started, test.now, test.actions);
        }
    }
    BOOST_TEST(low_tier_served >= 19);
    BOOST_TEST(low_tier_served <= 24);
}

BOOST_AUTO_TEST_CASE(leaving_backend_server_hands_queued_requests_back)
{
    scheduler_fixture test{1};
    test.enqueue(test.make_request(1, 0));
    test.enqueue(test.make_request(2, 0));
    test.take_dispatched();
    test.scheduler.mark_backend_server_leaving("engine0", test.now,
                                               test.actions);
    auto const handed_back = test.take_actions<hand_back>();
    BOOST_REQUIRE(handed_back.size() == 1);
    BOOST_TEST(handed_back[0].id == 2);
    BOOST_TEST(!handed_back[0].has_run);
    test.enqueue(test.make_request(3, 0));
    auto const refused = test.take_actions<refuse>();
    BOOST_REQUIRE(refused.size() == 1);
    BOOST_TEST((refused[0].reason == refusal::no_backend_server));
    test.scheduler.finished(1, test.now, test.actions);
    BOOST_TEST(test.take_dispatched().empty());
}

BOOST_AUTO_TEST_CASE(busy_rejection_by_the_last_backend_server_hands_back)
{
    scheduler_fixture test{1};
    test.enqueue(test.make_request(1, 0));
    test.scheduler.remove_backend_server("engine0", test.now, test.actions);
    test.scheduler.rejected_as_busy(1, test.now, test.actions);
    auto const handed_back = test.take_actions<hand_back>();
    BOOST_REQUIRE(handed_back.size() == 1);
    BOOST_TEST(!handed_back[0].has_run);
    BOOST_TEST(test.scheduler.queued() == 0);
}

BOOST_AUTO_TEST_CASE(victim_is_the_request_that_wastes_least_work)
{
    scheduler_fixture test{3};
    auto costly = test.make_request(1, 2);
    costly.prompt_tokens = 4000;
    auto not_resumable = test.make_request(2, 2);
    not_resumable.resumable = false;
    auto cheap = test.make_request(3, 2);
    cheap.prompt_tokens = 100;
    for (auto const& each : {costly, not_resumable, cheap}) {
        test.enqueue(each);
        test.scheduler.tokens_received(each.id, 5, test.now, test.actions);
    }
    test.enqueue(test.make_request(4, 0));
    test.advance(seconds{2});
    auto const victims = test.take_actions<preempt>();
    BOOST_REQUIRE(victims.size() == 1);
    BOOST_TEST(victims[0].id == 3);
}

BOOST_AUTO_TEST_CASE(request_that_becomes_long_delays_other_long_ones)
{
    scheduler_fixture test{4};
    test.enqueue(test.make_request(1, 1));
    test.scheduler.tokens_received(1, 2000, test.now, test.actions);
    auto long_request = test.make_request(2, 1);
    long_request.expected_output_tokens = 5000;
    for (request_id id = 10; id < 13; ++id) {
        test.enqueue(test.make_request(id, 1));
    }
    test.enqueue(long_request);
    test.enqueue(test.make_request(20, 1));
    test.enqueue(test.make_request(21, 1));
    test.take_dispatched();
    for (request_id id = 10; id < 12; ++id) {
        test.scheduler.finished(id, test.now, test.actions);
    }
    BOOST_TEST(test.take_dispatched() == (ids{20, 21}),
               boost::test_tools::per_element());
    test.scheduler.finished(12, test.now, test.actions);
    // No other request waits, so the long one may use the slot.
    BOOST_TEST(test.take_dispatched() == ids{2},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(long_requests_beyond_their_fraction_are_preempted)
{
    scheduler_fixture test{2};
    for (request_id id = 1; id <= 2; ++id) {
        test.enqueue(test.make_request(id, 1));
        test.scheduler.tokens_received(id, 2000, test.now, test.actions);
    }
    test.enqueue(test.make_request(3, 1));
    test.enqueue(test.make_request(4, 1));
    test.advance(seconds{2});
    // Long requests may hold one of two slots. The other long request keeps
    // that one.
    auto const victims = test.take_actions<preempt>();
    BOOST_REQUIRE(victims.size() == 1);
    test.take_dispatched();
    test.scheduler.preempted(victims[0].id, test.now, test.actions);
    BOOST_TEST(test.take_dispatched() == ids{3},
               boost::test_tools::per_element());
    BOOST_TEST(test.take_actions<preempt>().empty());
}

BOOST_AUTO_TEST_CASE(victim_makes_progress_before_it_is_preempted_again)
{
    scheduler_fixture test{1};
    test.enqueue(test.make_request(1, 2));
    for (request_id id = 2; id <= 3; ++id) {
        test.enqueue(test.make_request(id, 0));
        test.advance(seconds{2});
        BOOST_REQUIRE(test.take_actions<preempt>().size() == 1);
        test.scheduler.preempted(1, test.now, test.actions);
        test.scheduler.finished(id, test.now, test.actions);
        test.enqueue(test.make_request(10 + id, 0));
        test.advance(seconds{2});
        BOOST_TEST(test.take_actions<preempt>().empty());
        test.scheduler.cancelled(10 + id, test.now, test.actions);
        test.scheduler.tokens_received(1, 64, test.now, test.actions);
    }
}

BOOST_AUTO_TEST_CASE(overload_leaves_a_small_organisation_its_share)
{
    scheduler_fixture test{1};
    request_id id = 0;
    std::size_t small_served = 0;
    for (unsigned round = 0; round < 200; ++round) {
        for (unsigned copy = 0; copy < 10; ++copy) {
            test.enqueue(test.make_request(++id, 1, "flood"));
        }
        test.enqueue(test.make_request(++id, 1, "small"));
        for (auto const& started : test.take_actions<dispatch>()) {
            small_served += started.id % 11 == 0 ? 1 : 0;
            test.scheduler.tokens_received(started.id, 50, test.now,
                                           test.actions);
            test.advance(milliseconds{100});
            test.scheduler.finished(started.id, test.now, test.actions);
        }
    }
    // The small organisation is entitled to half of the 200 freed slots and
    // sends enough requests for all of them.
    BOOST_TEST(small_served >= 95);
    for (auto const& each : test.scheduler.usage()) {
        BOOST_TEST((each.organisation == "flood" || each.refused <= 105));
    }
}

BOOST_AUTO_TEST_CASE(retry_after_spreads_the_retries)
{
    scheduler_fixture test{1};
    for (request_id id = 1; id <= 217; ++id) {
        test.enqueue(test.make_request(id, 1));
    }
    std::set<milliseconds> retry_times;
    for (auto const& each : test.take_actions<refuse>()) {
        BOOST_TEST((each.reason == refusal::queue_full));
        BOOST_TEST((each.retry_after >= milliseconds{500}));
        retry_times.insert(each.retry_after / 50);
    }
    BOOST_TEST(retry_times.size() >= 15);
}

BOOST_AUTO_TEST_CASE(refuses_at_once_what_cannot_start_in_time)
{
    scheduler_fixture test{1};
    test.enqueue(test.make_request(1, 1));
    test.advance(seconds{2});
    test.scheduler.finished(1, test.now, test.actions);
    for (request_id id = 2; id < 10; ++id) {
        test.enqueue(test.make_request(id, 1));
    }
    auto late = test.make_request(20, 1);
    late.deadline = test.now + seconds{3};
    test.enqueue(late);
    auto const refused = test.take_actions<refuse>();
    BOOST_REQUIRE(refused.size() == 1);
    BOOST_TEST((refused[0].reason == refusal::deadline));
}

BOOST_AUTO_TEST_CASE(new_owner_waits_for_requests_of_the_previous_owner)
{
    scheduler_fixture test{4};
    test.scheduler.load_reported("engine0", {.running = 3}, test.now,
                                 test.actions);
    for (request_id id = 1; id <= 4; ++id) {
        test.enqueue(test.make_request(id, 1));
    }
    BOOST_TEST(test.take_dispatched() == ids{1},
               boost::test_tools::per_element());
    test.advance(milliseconds{300});
    test.scheduler.load_reported("engine0", {.running = 1}, test.now,
                                 test.actions);
    BOOST_TEST(test.take_dispatched() == (ids{2, 3, 4}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(two_owners_share_the_slots_of_one_backend_server)
{
    scheduler_fixture first{8};
    scheduler_fixture second{8};
    for (request_id id = 1; id <= 200; ++id) {
        first.enqueue(first.make_request(id, 1));
        second.enqueue(second.make_request(id, 1));
    }
    std::size_t running = 16;
    for (unsigned round = 0; round < 40; ++round) {
        running = first.scheduler.running() + second.scheduler.running();
        for (auto* const each : {&first, &second}) {
            each->advance(milliseconds{100});
            each->scheduler.load_reported("engine0",
                                          {.running = std::uint32_t(running)},
                                          each->now, each->actions);
            auto const started = each->take_actions<dispatch>();
            each->scheduler.finished(round + 1, each->now, each->actions);
        }
    }
    BOOST_TEST(running <= 8);
    BOOST_TEST(running >= 7);
}

BOOST_AUTO_TEST_CASE(token_rate_limit_holds_over_time)
{
    scheduler_fixture test{4};
    test.entries.organisations["coteau"].value.limits.tokens_per_second = 100;
    test.apply_catalogue();
    std::uint64_t served = 0;
    request_id id = 0;
    for (unsigned round = 0; round < 300; ++round) {
        if (test.scheduler.queued() < 4) {
            test.enqueue(test.make_request(++id, 1));
        }
        test.advance(milliseconds{100});
        for (auto const& each : test.take_actions<dispatch>()) {
            test.scheduler.tokens_received(each.id, 200, test.now,
                                           test.actions);
            test.scheduler.finished(each.id, test.now, test.actions);
            served += 200;
        }
    }
    BOOST_TEST(served <= 100 * 31 + 200);
    BOOST_TEST(served >= 100 * 28);
}

BOOST_AUTO_TEST_CASE(concurrency_limit_counts_other_owners)
{
    scheduler_fixture test{8};
    test.entries.organisations["coteau"].value.limits.concurrency = 6;
    test.apply_catalogue();
    test.scheduler.set_remote_usage(
        "coteau", "tier1", {.running = 4, .owners = 1}, test.now, test.actions);
    for (request_id id = 1; id <= 8; ++id) {
        test.enqueue(test.make_request(id, 1));
    }
    // The other owner leaves 2 of 6, but an equal share is 3.
    BOOST_TEST(test.take_dispatched().size() == 3);
    test.scheduler.set_remote_usage("coteau", "tier1", {.owners = 1}, test.now,
                                    test.actions);
    BOOST_TEST(test.take_dispatched().size() == 3);
}

BOOST_AUTO_TEST_CASE(prefers_the_backend_server_with_the_cache)
{
    scheduler_fixture test{1, 3};
    auto value = test.make_request(1, 1);
    value.preferred_backend_server = "engine2";
    test.enqueue(value);
    auto const started = test.take_actions<dispatch>();
    BOOST_REQUIRE(started.size() == 1);
    BOOST_TEST(started[0].backend_server == "engine2");
    test.enqueue(test.make_request(2, 1));
    test.enqueue(test.make_request(3, 1));
    test.enqueue(test.make_request(4, 1));
    value.id = 5;
    value.deadline += seconds{1};
    test.enqueue(value);
    auto urgent = test.make_request(6, 1);
    urgent.preferred_backend_server = "engine0";
    test.take_actions<dispatch>();
    test.scheduler.finished(1, test.now, test.actions);
    // The first queued request prefers no backend server, so it is not passed
    // over.
    BOOST_TEST(test.take_dispatched() == ids{4},
               boost::test_tools::per_element());
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
    auto value = test.make_request(1, 1);
    value.model = "large";
    for (value.id = 1; value.id <= 2; ++value.id) {
        test.enqueue(value);
    }
    auto const started = test.take_actions<dispatch>();
    BOOST_REQUIRE(started.size() == 1);
    BOOST_TEST(started[0].backend_server == "b");
    test.scheduler.add_backend_server(
        {.id = "b", .group = "engines", .models = {"small"}}, test.now,
        test.actions);
    auto const handed_back = test.take_actions<hand_back>();
    BOOST_REQUIRE(handed_back.size() == 1);
    BOOST_TEST(handed_back[0].id == 2);
}

BOOST_AUTO_TEST_SUITE_END()
