#include <medlarstall/scheduling/concurrency_limiter.hpp>
#include <medlarstall/scheduling/straggler_gate.hpp>
#include <medlarstall/scheduling/token_bucket.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace medlarstall;
using namespace medlarstall::scheduling;
using std::chrono::milliseconds;

namespace {

/// A backend server whose time between tokens is that of its free work times
/// the requests that run, and whose limit is always in use.
struct loaded_server
{
    concurrency_limiter limiter{{}, 32};
    time_point now{std::chrono::hours{1}};

    void run(milliseconds span, milliseconds per_request)
    {
        auto const end = now + span;
        while (now < end) {
            now += milliseconds{10};
            limiter.observe_running(limiter.limit());
            limiter.observe_between_tokens(per_request * limiter.limit(),
                                           milliseconds{63}, now);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(limits_suite)

BOOST_AUTO_TEST_CASE(limit_starts_with_a_part_until_a_report)
{
    concurrency_limiter limiter{{}, 32};
    BOOST_TEST(limiter.limit() == 16);
    limiter.confirm();
    BOOST_TEST(limiter.limit() == 32);
}

BOOST_AUTO_TEST_CASE(limit_keeps_the_target)
{
    loaded_server server;
    server.limiter.confirm();
    server.run(std::chrono::seconds{5}, milliseconds{4});
    // 15 requests give 60 ms; one more than that is tried now and then.
    BOOST_TEST(server.limiter.limit() >= 10);
    BOOST_TEST(server.limiter.limit() <= 16);
}

BOOST_AUTO_TEST_CASE(limit_returns_fast_after_a_slowdown)
{
    loaded_server server;
    server.limiter.confirm();
    server.run(std::chrono::seconds{1}, milliseconds{1});
    BOOST_TEST(server.limiter.limit() == 32);
    server.run(std::chrono::seconds{3}, milliseconds{15});
    BOOST_TEST(server.limiter.limit() <= 5);
    server.run(milliseconds{1500}, milliseconds{1});
    BOOST_TEST(server.limiter.limit() >= 28);
}

BOOST_AUTO_TEST_CASE(limit_does_not_grow_unused)
{
    concurrency_limiter limiter{{}, 32};
    time_point now{std::chrono::hours{1}};
    for (int each = 0; each < 5; ++each) {
        now += milliseconds{300};
        limiter.observe_refusal(now);
    }
    auto const low = limiter.limit();
    for (int each = 0; each < 100; ++each) {
        now += milliseconds{50};
        limiter.observe_running(1);
        limiter.observe_between_tokens(milliseconds{1}, milliseconds{63}, now);
    }
    BOOST_TEST(limiter.limit() == low);
}

BOOST_AUTO_TEST_CASE(gate_leaves_slots_to_usual_requests)
{
    straggler_gate gate{scheduler_settings{}};
    BOOST_TEST(!gate.is_long(511));
    BOOST_TEST(gate.is_long(512));
    for (int each = 0; each < 4; ++each) {
        BOOST_TEST(gate.has_room(32));
        gate.enter();
    }
    BOOST_TEST(!gate.has_room(32));
    // Stragglers do not make themselves usual: 2 in 100 at 20 times 128.
    for (int each = 0; each < 5000; ++each) {
        gate.learn(each % 50 == 0 ? 2560 : 128);
    }
    BOOST_TEST(gate.is_long(2560));
    BOOST_TEST(!gate.is_long(400));
}

RC_BOOST_PROP(bucket_never_gives_more_than_rate_and_burst, ())
{
    auto const rate = *rc::gen::inRange(1, 1000);
    time_point const start{std::chrono::hours{1}};
    auto now = start;
    token_bucket bucket{double(rate), start};
    double taken = 0;
    auto const steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3000));
    for (auto const step : steps) {
        now += milliseconds{step};
        auto const balance = bucket.balance(now);
        if (balance >= 1) {
            bucket.take(1, now);
            taken += 1;
        } else {
            RC_ASSERT(bucket.time_of(1, now) > now);
            now = bucket.time_of(1, now);
            RC_ASSERT(bucket.balance(now) >= 1);
        }
    }
    std::chrono::duration<double> const span = now - start;
    RC_ASSERT(taken <= rate * (span.count() + 1) + 1e-6);
}

BOOST_AUTO_TEST_SUITE_END()
