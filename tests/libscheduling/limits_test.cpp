#include <medlarstall/scheduling/concurrency_limiter.hpp>
#include <medlarstall/scheduling/long_request_limiter.hpp>
#include <medlarstall/scheduling/token_bucket.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace medlarstall;
using namespace medlarstall::scheduling;
using std::chrono::milliseconds;

namespace {

/// Simulates a backend server whose time between tokens is proportional to the
/// number of running requests, and on which the limit is always fully used.
struct simulated_server
{
    concurrency_limiter limiter{{}, 32};
    time_point now{std::chrono::hours{1}};

    void run(milliseconds span, milliseconds latency_per_request)
    {
        auto const end = now + span;
        while (now < end) {
            now += milliseconds{10};
            limiter.observe_running(limiter.limit());
            limiter.observe_between_tokens(
                latency_per_request * limiter.limit(), milliseconds{63}, now);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(limits_suite)

BOOST_AUTO_TEST_CASE(limit_starts_at_a_fraction_until_a_load_report)
{
    concurrency_limiter limiter{{}, 32};
    BOOST_TEST(limiter.limit() == 16);
    limiter.confirm_load();
    BOOST_TEST(limiter.limit() == 32);
}

BOOST_AUTO_TEST_CASE(limit_converges_to_the_latency_target)
{
    simulated_server server;
    server.limiter.confirm_load();
    server.run(std::chrono::seconds{5}, milliseconds{4});
    // 15 requests take 60 ms per token. The limiter probes one request more
    // from time to time.
    BOOST_TEST(server.limiter.limit() >= 10);
    BOOST_TEST(server.limiter.limit() <= 16);
}

BOOST_AUTO_TEST_CASE(limit_recovers_fast_after_a_slowdown)
{
    simulated_server server;
    server.limiter.confirm_load();
    server.run(std::chrono::seconds{1}, milliseconds{1});
    BOOST_TEST(server.limiter.limit() == 32);
    server.run(std::chrono::seconds{3}, milliseconds{15});
    BOOST_TEST(server.limiter.limit() <= 5);
    server.run(milliseconds{1500}, milliseconds{1});
    BOOST_TEST(server.limiter.limit() >= 28);
}

BOOST_AUTO_TEST_CASE(limit_does_not_grow_while_unused)
{
    concurrency_limiter limiter{{}, 32};
    time_point now{std::chrono::hours{1}};
    for (int each = 0; each < 5; ++each) {
        now += milliseconds{300};
        limiter.observe_rejection(now);
    }
    auto const lowest = limiter.limit();
    for (int each = 0; each < 100; ++each) {
        now += milliseconds{50};
        limiter.observe_running(1);
        limiter.observe_between_tokens(milliseconds{1}, milliseconds{63}, now);
    }
    BOOST_TEST(limiter.limit() == lowest);
}

BOOST_AUTO_TEST_CASE(long_requests_leave_slots_to_typical_ones)
{
    long_request_limiter long_requests{scheduler_settings{}};
    BOOST_TEST(!long_requests.is_long(511));
    BOOST_TEST(long_requests.is_long(512));
    for (int each = 0; each < 4; ++each) {
        BOOST_TEST(long_requests.has_capacity(32));
        long_requests.count_start();
    }
    BOOST_TEST(!long_requests.has_capacity(32));
    // 2 in 100 requests with 20 times the typical 128 tokens must not raise the
    // typical output until they no longer count as long.
    for (int each = 0; each < 5000; ++each) {
        long_requests.observe_output(each % 50 == 0 ? 2560 : 128);
    }
    BOOST_TEST(long_requests.is_long(2560));
    BOOST_TEST(!long_requests.is_long(400));
}

RC_BOOST_PROP(token_bucket_never_exceeds_rate_plus_burst, ())
{
    auto const rate = *rc::gen::inRange(1, 1000);
    time_point const start{std::chrono::hours{1}};
    auto now = start;
    token_bucket bucket{double(rate), start};
    double consumed = 0;
    auto const steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3000));
    for (auto const step : steps) {
        now += milliseconds{step};
        auto const balance = bucket.balance(now);
        if (balance >= 1) {
            bucket.consume(1, now);
            consumed += 1;
        } else {
            RC_ASSERT(bucket.time_when_available(1, now) > now);
            now = bucket.time_when_available(1, now);
            RC_ASSERT(bucket.balance(now) >= 1);
        }
    }
    std::chrono::duration<double> const span = now - start;
    RC_ASSERT(consumed <= rate * (span.count() + 1) + 1e-6);
}

BOOST_AUTO_TEST_SUITE_END()
