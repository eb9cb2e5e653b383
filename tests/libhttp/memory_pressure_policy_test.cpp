#include <medlarstall/http/memory_pressure_policy.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <numeric>

using namespace medlarstall;
using namespace medlarstall::http;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kilobyte = 1000;

memory_holder upload(std::size_t bytes, duration without_progress)
{
    memory_holder holder;
    holder.kind = holder_kind::unfinished_request;
    holder.bytes = bytes;
    holder.without_progress = without_progress;
    return holder;
}

memory_holder waiting(std::size_t bytes, std::size_t may_add, time_point began)
{
    auto holder = upload(bytes, 0ms);
    holder.waiting = true;
    holder.may_add = may_add;
    holder.began = began;
    return holder;
}

std::size_t sum_of(std::vector<memory_holder> const& holders)
{
    return std::accumulate(holders.begin(), holders.end(), std::size_t{0},
                           [](std::size_t sum, memory_holder const& holder) {
                               return sum + holder.bytes;
                           });
}

pressure_decision decide(std::vector<memory_holder> const& holders,
                         std::size_t limit)
{
    return memory_pressure_policy::decide(holders, sum_of(holders), limit);
}

using indexes = std::vector<std::size_t>;

} // namespace

BOOST_AUTO_TEST_SUITE(memory_pressure_policy_suite)

BOOST_AUTO_TEST_CASE(within_the_budget_stalled_clients_are_left_alone)
{
    auto const decision =
        decide({upload(400 * kilobyte, 10s), upload(500 * kilobyte, 5s)},
               1000 * kilobyte);
    BOOST_TEST(decision.close.empty());
}

// The one to be closed holds the most for the longest time, not the largest
// request, which may be that of an ordinary caller.
BOOST_AUTO_TEST_CASE(a_live_upload_is_closed_before_a_stalled_one)
{
    auto const decision =
        decide({upload(600 * kilobyte, 5ms), upload(500 * kilobyte, 4s)},
               1000 * kilobyte);
    BOOST_TEST(decision.close == indexes{1}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_request_at_work_or_a_small_one_is_closed)
{
    auto at_work = upload(900 * kilobyte, 30s);
    at_work.kind = holder_kind::nothing_closable;
    auto const small = upload(memory_pressure_policy::min_bytes - 1, 10s);
    auto const decision =
        decide({at_work, small, upload(200 * kilobyte, 1ms)}, 500 * kilobyte);
    BOOST_TEST(decision.close == indexes{2}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(uploads_that_all_wait_are_never_read)
{
    time_point const start{};
    auto const decision =
        decide({waiting(450 * kilobyte, 600 * kilobyte, start + 1s),
                waiting(450 * kilobyte, 600 * kilobyte, start)},
               1000 * kilobyte);
    BOOST_TEST(decision.close.empty());
    BOOST_TEST(decision.resume == indexes{1}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_stalled_client_keeps_its_memory_from_one_that_waits)
{
    auto const decision =
        decide({upload(600 * kilobyte, 600ms),
                waiting(200 * kilobyte, 300 * kilobyte, time_point{})},
               1000 * kilobyte);
    BOOST_TEST(decision.close == indexes{0}, boost::test_tools::per_element());
    BOOST_TEST(decision.resume == indexes{1}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_request_waits_without_end)
{
    auto late = waiting(200 * kilobyte, 900 * kilobyte, time_point{});
    late.waited = memory_pressure_policy::max_wait;
    auto const decision = decide({late}, 1000 * kilobyte);
    BOOST_TEST(decision.close == indexes{0}, boost::test_tools::per_element());
    BOOST_TEST(decision.resume.empty());
}

RC_BOOST_PROP(closes_enough_and_none_that_it_must_not, ())
{
    auto const holders =
        *rc::gen::container<std::vector<memory_holder>>(rc::gen::exec([] {
            auto holder =
                upload(*rc::gen::inRange<std::size_t>(0, 500 * kilobyte),
                       std::chrono::milliseconds{*rc::gen::inRange(0, 9000)});
            holder.kind = *rc::gen::element(holder_kind::nothing_closable,
                                            holder_kind::unfinished_request,
                                            holder_kind::unread_answer);
            if (holder.kind == holder_kind::unfinished_request) {
                holder.waiting = *rc::gen::arbitrary<bool>();
                holder.granted = !holder.waiting && *rc::gen::arbitrary<bool>();
                holder.may_add = *rc::gen::inRange<std::size_t>(0, 400000);
                holder.waited =
                    std::chrono::milliseconds{*rc::gen::inRange(0, 4000)};
            }
            return holder;
        }));
    auto const limit = *rc::gen::inRange<std::size_t>(1, 3000 * kilobyte);
    auto const decision = decide(holders, limit);
    auto left = sum_of(holders);
    std::vector<bool> closed(holders.size(), false);
    for (auto const index : decision.close) {
        RC_ASSERT(!closed[index]);
        closed[index] = true;
        RC_ASSERT(holders[index].kind != holder_kind::nothing_closable);
        left -= holders[index].bytes;
    }
    auto const closable_left = std::any_of(
        holders.begin(), holders.end(), [&](memory_holder const& holder) {
            auto const index =
                static_cast<std::size_t>(&holder - holders.data());
            return !closed[index] &&
                   holder.kind != holder_kind::nothing_closable &&
                   holder.bytes >= memory_pressure_policy::min_bytes;
        });
    RC_ASSERT(left <= limit || !closable_left);
    auto waits = false;
    auto granted = !decision.resume.empty();
    for (std::size_t index = 0; index < holders.size(); ++index) {
        waits = waits || (holders[index].waiting && !closed[index]);
        granted = granted || (holders[index].granted && !closed[index]);
    }
    RC_ASSERT(!waits || granted);
}

BOOST_AUTO_TEST_SUITE_END()
