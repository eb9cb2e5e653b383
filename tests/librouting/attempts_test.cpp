#include "fleet.hpp"

#include <medlarstall/routing/hedge_policy.hpp>
#include <medlarstall/routing/retry_policy.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <random>

using namespace medlarstall;
using namespace medlarstall::routing;

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t random_bits = 0x8000'0000'0000'0000U;

} // namespace

BOOST_AUTO_TEST_SUITE(attempts_suite)

BOOST_AUTO_TEST_CASE(
    retries_at_once_if_not_run_and_never_repeats_work_that_may_have_run)
{
    retry_policy policy;
    auto request = plain_request();
    request.repeatable = false;
    retry_history history;
    auto const not_executed = policy.decide(request, run_state::not_run,
                                            history, random_bits, at_ms(0));
    BOOST_TEST(bool(not_executed.action == retry_action::retry_now));
    for (auto const ran : {run_state::unknown, run_state::ran}) {
        auto const possibly_executed =
            policy.decide(request, ran, history, random_bits, at_ms(0));
        BOOST_TEST(bool(possibly_executed.action == retry_action::give_up));
        BOOST_TEST(
            bool(possibly_executed.reason == give_up_reason::not_repeatable));
    }
}

BOOST_AUTO_TEST_CASE(gives_up_when_the_deadline_is_too_close)
{
    retry_policy policy;
    auto request = plain_request();
    request.deadline = at_ms(120);
    retry_history history;
    auto const late = policy.decide(request, run_state::not_run, history,
                                    random_bits, at_ms(30));
    BOOST_TEST(bool(late.reason == give_up_reason::deadline));
    auto const delayed =
        policy.decide(request, run_state::ran, history, random_bits, at_ms(10));
    BOOST_TEST(bool(delayed.reason == give_up_reason::deadline));
    request.deadline = at_ms(1000);
    auto const in_time =
        policy.decide(request, run_state::ran, history, random_bits, at_ms(0));
    BOOST_TEST(bool(in_time.action == retry_action::retry_later));
    BOOST_TEST((in_time.delay >= 25ms && in_time.delay <= 50ms));
}

RC_BOOST_PROP(limits_retries_to_a_fixed_fraction_of_all_requests, ())
{
    auto const daemons = *rc::gen::inRange(1, 8);
    auto const failing_percent = *rc::gen::inRange(0, 101);
    std::vector<retry_policy> policies(daemons);
    std::vector<std::vector<retry_history>> waiting(daemons);
    double requests = 0;
    double retries = 0;
    std::mt19937_64 random{*rc::gen::arbitrary<std::uint64_t>()};
    std::int64_t const steps = 300;
    for (std::int64_t step = 0; step < steps; ++step) {
        for (int daemon = 0; daemon < daemons; ++daemon) {
            policies[daemon].on_request();
            ++requests;
            if (static_cast<int>(random() % 100) < failing_percent) {
                waiting[daemon].emplace_back();
            }
            // All requests that failed or wait for the budget ask again in each
            // step.
            for (auto& history : waiting[daemon]) {
                auto const decision = policies[daemon].decide(
                    plain_request(), run_state::ran, history, random(),
                    at_ms(step * 10));
                retries += decision.action == retry_action::retry_later ? 1 : 0;
            }
        }
    }
    attempt_budget_settings const budget;
    double const bound = budget.per_request * requests +
                         daemons * (budget.initial_balance + 1.0) +
                         daemons * budget.per_second * 0.01 * steps;
    RC_ASSERT(retries <= bound);
    if (failing_percent == 100) {
        RC_ASSERT(retries >= 0.9 * budget.per_request * requests);
    }
}

BOOST_AUTO_TEST_CASE(hedges_late_repeatable_work_within_a_budget)
{
    hedge_policy policy;
    auto request = plain_request();
    BOOST_TEST(!policy.hedge_delay(request).has_value());
    for (int i = 0; i < 64; ++i) {
        policy.record_first_token("g", 0, i < 60 ? 200ms : 900ms);
    }
    BOOST_REQUIRE(policy.hedge_delay(request).has_value());
    BOOST_TEST((*policy.hedge_delay(request) == 900ms ||
                *policy.hedge_delay(request) == 200ms));
    BOOST_TEST(!policy.should_hedge(request, 150ms, 0us, at_ms(0)));
    BOOST_TEST(!policy.should_hedge(request, 950ms, 10us, at_ms(0)));
    int hedged = 0;
    for (int i = 0; i < 200; ++i) {
        policy.on_request();
        hedged += policy.should_hedge(request, 950ms, 0us, at_ms(i)) ? 1 : 0;
    }
    BOOST_TEST(hedged <= 200 * 0.05 + 2);
    BOOST_TEST(hedged >= 10);
    request.repeatable = false;
    BOOST_TEST(!policy.hedge_delay(request).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
