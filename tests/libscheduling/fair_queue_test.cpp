#include <medlarstall/scheduling/fair_queue.hpp>

#include <boost/test/unit_test.hpp>

#include <array>

using namespace medlarstall;
using namespace medlarstall::scheduling;

namespace {

constexpr std::array<lane_index, 1> only_lane{0};

/// A queue in which each request generates 100 tokens.
struct queue_fixture
{
    fair_queue queue{20'000};
    request_id last_id = 0;

    queue_entry push(organisation_index organisation, int due_ms = 0,
                     bool late = false)
    {
        queue_entry const entry{
            .organisation = organisation,
            .position = {.late = late,
                         .due = time_point{std::chrono::milliseconds{due_ms}},
                         .id = ++last_id},
            .expected_tokens = 100};
        queue.push(entry);
        return entry;
    }

    fair_queue::candidate serve()
    {
        auto const next = queue.front(only_lane).value();
        queue_entry const entry{.organisation = next.organisation,
                                .lane = next.lane,
                                .position = next.position,
                                .expected_tokens = 100};
        queue.begin_service(entry);
        queue.erase(entry);
        queue.charge(next.organisation, 100);
        return next;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(fair_queue_suite, queue_fixture)

BOOST_AUTO_TEST_CASE(serves_by_weight_independently_of_queue_lengths)
{
    queue.set_weight(0, 3);
    queue.set_weight(1, 1);
    for (int each = 0; each < 400; ++each) {
        push(0);
        push(1);
        push(1);
    }
    std::array<int, 2> served{};
    for (int each = 0; each < 400; ++each) {
        ++served[serve().organisation];
    }
    BOOST_TEST(std::abs(served[0] - 300) <= 1);
}

BOOST_AUTO_TEST_CASE(idle_time_earns_no_credit)
{
    for (int each = 0; each < 300; ++each) {
        push(0);
    }
    for (int each = 0; each < 200; ++each) {
        serve();
    }
    for (int each = 0; each < 100; ++each) {
        push(1);
    }
    int served_after_idle = 0;
    for (int each = 0; each < 50; ++each) {
        served_after_idle += serve().organisation == 1 ? 1 : 0;
    }
    BOOST_TEST(std::abs(served_after_idle - 25) <= 1);
}

BOOST_AUTO_TEST_CASE(one_request_in_eight_is_a_late_one)
{
    push(0, 1, true);
    push(0, 2, true);
    for (int each = 0; each < 14; ++each) {
        push(0, 100 + each);
    }
    for (int each = 1; each <= 16; ++each) {
        auto const served = serve();
        BOOST_TEST(served.position.late == (each % 8 == 0));
    }
}

BOOST_AUTO_TEST_CASE(late_requests_are_served_first_at_low_demand)
{
    for (int each = 0; each < 10; ++each) {
        push(0);
    }
    queue.charge(0, 10);
    push(1, 0, true);
    BOOST_TEST(queue.front(only_lane)->organisation == 1);
    // With a backlog of the same size, late requests no longer come first.
    for (int each = 0; each < 9; ++each) {
        push(1, 0, true);
    }
    BOOST_TEST(queue.front(only_lane)->organisation == 0);
    queue.charge(0, 1000);
    BOOST_TEST(queue.front(only_lane)->organisation == 1);
}

BOOST_AUTO_TEST_CASE(earliest_due_first_within_an_organisation)
{
    push(0, 30);
    push(0, 10);
    push(0, 20);
    BOOST_TEST(serve().position.id == 2);
    BOOST_TEST(serve().position.id == 3);
    BOOST_TEST(serve().position.id == 1);
}

BOOST_AUTO_TEST_CASE(sheds_from_the_largest_backlog_relative_to_weight)
{
    queue.set_weight(0, 10);
    for (int each = 0; each < 20; ++each) {
        push(0, each);
    }
    for (int each = 0; each < 5; ++each) {
        push(1, each);
    }
    // 2,000 tokens at a weight of 10 are less, relative to the weight, than
    // 500 tokens at a weight of 1.
    BOOST_TEST(queue.shed_candidate().value() == 25);
}

BOOST_AUTO_TEST_CASE(remote_usage_counts_up_to_the_maximum_lead)
{
    push(0);
    push(1);
    queue.charge_remote(0, 1e9);
    int served_other = 0;
    for (int each = 0; each < 300; ++each) {
        push(1);
        push(0);
        if (serve().organisation == 0) {
            break;
        }
        ++served_other;
    }
    BOOST_TEST(served_other >= 199);
    BOOST_TEST(served_other <= 202);
}

BOOST_AUTO_TEST_CASE(blocked_organisation_is_skipped)
{
    push(0);
    push(1);
    queue.charge(1, 50);
    queue.set_blocked(0, true);
    BOOST_TEST(queue.front(only_lane)->organisation == 1);
    queue.charge(0, 10);
    queue.set_blocked(0, false);
    BOOST_TEST(queue.front(only_lane)->organisation == 0);
}

BOOST_AUTO_TEST_SUITE_END()
