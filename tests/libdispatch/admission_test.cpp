#include <medlarstall/dispatch/admission_policy.hpp>
#include <medlarstall/dispatch/dispatcher.hpp>
#include <medlarstall/dispatch/estimate_calibration.hpp>
#include <medlarstall/dispatch/mechanism.hpp>

#include <boost/test/unit_test.hpp>

#include <array>

using namespace medlarstall;
using namespace medlarstall::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr std::uint32_t ranks = 3;
/// Hashes of a request with the limits of its own rank, and of one with those
/// of the most urgent rank.
constexpr std::uint64_t ordinary_hash = 1;
constexpr std::uint64_t exempt_hash = 0;

admission_input make_input(std::uint32_t urgency, duration expected,
                           double load_per_slot = 0.5)
{
    admission_input input;
    input.objective = 1000ms;
    input.expected_first_event = expected;
    input.load_per_slot = load_per_slot;
    input.urgency_rank = urgency;
    input.rank_count = ranks;
    input.attempt_hash = ordinary_hash;
    return input;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission_suite)

BOOST_AUTO_TEST_CASE(request_that_meets_its_objective_is_admitted)
{
    for (std::uint32_t urgency = 0; urgency < ranks; ++urgency) {
        BOOST_TEST(
            !retry_delay_if_refused(make_input(urgency, 1000ms)).has_value());
    }
}

BOOST_AUTO_TEST_CASE(less_urgent_requests_are_refused_first)
{
    BOOST_TEST(retry_delay_if_refused(make_input(2, 1100ms)).has_value());
    BOOST_TEST(!retry_delay_if_refused(make_input(1, 1100ms)).has_value());
    BOOST_TEST(retry_delay_if_refused(make_input(1, 1600ms)).has_value());
    BOOST_TEST(!retry_delay_if_refused(make_input(0, 1600ms)).has_value());
    BOOST_TEST(retry_delay_if_refused(make_input(0, 2100ms)).has_value());
    BOOST_TEST(retry_delay_if_refused(make_input(2, 100ms, 1.1)).has_value());
    BOOST_TEST(!retry_delay_if_refused(make_input(1, 100ms, 1.5)).has_value());
    BOOST_TEST(!retry_delay_if_refused(make_input(0, 100ms, 2.0)).has_value());
}

BOOST_AUTO_TEST_CASE(time_already_waited_counts_towards_the_objective)
{
    auto input = make_input(2, 900ms);
    input.waited = 200ms;
    BOOST_TEST(retry_delay_if_refused(input).has_value());
}

BOOST_AUTO_TEST_CASE(part_of_each_rank_has_the_limits_of_the_most_urgent_rank)
{
    auto input = make_input(2, 1500ms, 1.8);
    input.attempt_hash = exempt_hash;
    BOOST_TEST(!retry_delay_if_refused(input).has_value());
}

BOOST_AUTO_TEST_CASE(retry_time_depends_on_queue_and_objective)
{
    BOOST_TEST((retry_delay_if_refused(make_input(2, 2000ms)) == 1500ms));
    BOOST_TEST((retry_delay_if_refused(make_input(2, 100ms, 2.0)) == 500ms));
}

BOOST_AUTO_TEST_CASE(burst_beyond_the_batches_keeps_slots_for_urgent_requests)
{
    // Guards against admitting more requests than the batches hold. In an
    // emulated burst of 2.7 times the usual load, 30 requests were in flight at
    // each backend server with a batch of 12: 2,756 were preempted while they
    // ran, and 1,753 timed out.
    constexpr int servers = 8;
    constexpr std::uint32_t slots = 12;
    dispatcher target{{"dc", {}, {}}};
    for (int index = 0; index < servers; ++index) {
        backend_server_entry entry;
        entry.id = "server-" + std::to_string(index);
        entry.service = "s";
        entry.data_centre = "dc";
        entry.slots = slots;
        target.apply(entry, start);
    }
    std::array<int, ranks> admitted{};
    std::array<int, ranks> requested{};
    constexpr std::uint64_t burst = 240; // 30 requests for each backend server.
    for (std::uint64_t number = 0; number < burst; ++number) {
        auto const urgency = static_cast<std::uint32_t>(number % ranks);
        placement_request request;
        request.service = "s";
        request.tie_break_hash = number;
        request.model_prompt = prompt{"m", 900, 50, {{number, 900}}};
        auto const chosen = target.choose(request, start);
        BOOST_REQUIRE(chosen.has_value());
        auto input = make_input(urgency, 100ms, chosen->load_per_slot);
        input.attempt_hash = number;
        ++requested[urgency];
        if (!retry_delay_if_refused(input)) {
            ++admitted[urgency];
            target.on_sent(request, *chosen, start);
        }
    }
    BOOST_TEST(admitted[0] >= admitted[1]);
    BOOST_TEST(admitted[1] >= admitted[2]);
    BOOST_TEST(admitted[2] >= requested[2] / 5); // One in 5 is exempt.
    constexpr int total_slots = servers * static_cast<int>(slots);
    BOOST_TEST(admitted[0] + admitted[1] + admitted[2] <= 2 * total_slots + 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(estimate_calibration_suite)

using ms = estimate_calibration::milliseconds;

BOOST_AUTO_TEST_CASE(factor_converges_to_the_ratio_of_real_to_estimated_time)
{
    estimate_calibration calibration;
    BOOST_TEST(calibration.factor() == 1.0);
    for (int count = 0; count < 100; ++count) {
        calibration.add_sample(ms{1000}, ms{400});
    }
    BOOST_TEST(calibration.factor() == 0.4, boost::test_tools::tolerance(0.01));
    for (int count = 0; count < 200; ++count) {
        calibration.add_sample(ms{1000}, ms{2000});
    }
    BOOST_TEST(calibration.factor() == 2.0, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(short_estimates_are_ignored)
{
    estimate_calibration calibration;
    calibration.add_sample(ms{50}, ms{500});
    BOOST_TEST(calibration.factor() == 1.0);
}

BOOST_AUTO_TEST_CASE(requests_that_end_without_an_event_give_a_lower_bound)
{
    estimate_calibration calibration;
    calibration.add_lower_bound(ms{1000}, ms{300}); // Shorter than expected.
    BOOST_TEST(calibration.factor() == 1.0);
    calibration.add_lower_bound(ms{1000}, ms{3000});
    BOOST_TEST(calibration.factor() > 2.0);
}

BOOST_AUTO_TEST_CASE(effect_of_an_outlier_is_bounded)
{
    estimate_calibration calibration;
    calibration.add_sample(ms{1000}, ms{1e9});
    BOOST_TEST(calibration.factor() <= 4.1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(mechanism_suite)

BOOST_AUTO_TEST_CASE(each_mechanism_has_a_name)
{
    BOOST_TEST((mechanism_of("admission") == mechanism::admission));
    BOOST_TEST((mechanism_of("early-callers") == mechanism::early_callers));
    BOOST_TEST(mechanism_names().size() == 9U);
}

BOOST_AUTO_TEST_CASE(disabled_mechanism_does_not_affect_the_cost)
{
    auto const cost_with = [](mechanism_set disabled) {
        dispatcher target{{"dc", {}, std::move(disabled)}};
        backend_server_entry entry;
        entry.id = "a";
        entry.service = "s";
        entry.data_centre = "dc";
        target.apply(entry, start);
        placement_request request;
        request.service = "s";
        request.model_prompt = prompt{"m", 900, 50, {{1, 900}}};
        return target.choose(request, start)->cost;
    };
    BOOST_TEST(cost_with({}) < cost_with({mechanism::homes}));
}

BOOST_AUTO_TEST_SUITE_END()
