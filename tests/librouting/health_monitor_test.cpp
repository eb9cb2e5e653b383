#include "fleet.hpp"

#include <medlarstall/routing/health_monitor.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace medlarstall;
using namespace medlarstall::routing;

namespace {

using namespace std::chrono_literals;

/// Ten backend servers of a group whose token gaps are recorded every 50 ms.
struct sibling_group
{
    static constexpr int size = 10;

    health_monitor monitor;
    std::array<int, size> slowdown;
    std::int64_t now_ms = 0;
    std::vector<health_change> changes;

    sibling_group()
    {
        slowdown.fill(1);
        for (int i = 0; i < size; ++i) {
            monitor.add(id(i), "g");
        }
    }

    static std::string id(int i) { return "s" + std::to_string(i); }

    void run(std::int64_t ms)
    {
        for (auto const end = now_ms + ms; now_ms < end; now_ms += 50) {
            for (int i = 0; i < size; ++i) {
                monitor.record_token_gap(id(i), 30ms * slowdown[i],
                                         at_ms(now_ms));
            }
            for (auto const& change : monitor.evaluate(at_ms(now_ms))) {
                changes.push_back(change);
            }
        }
    }

    int unhealthy_count() const
    {
        int count = 0;
        for (int i = 0; i < size; ++i) {
            count += monitor.state_of(id(i)) != health_state::healthy ? 1 : 0;
        }
        return count;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(health_monitor_suite)

BOOST_AUTO_TEST_CASE(demotes_and_recovers_within_a_second)
{
    sibling_group group;
    group.run(1000);
    BOOST_TEST(group.changes.empty());
    group.slowdown[3] = 5;
    group.run(500);
    BOOST_TEST(bool(group.monitor.state_of("s3") == health_state::demoted));
    BOOST_TEST(group.unhealthy_count() == 1);
    BOOST_TEST(group.changes.back().slowdown > 2.0);
    group.slowdown[3] = 1;
    group.run(750);
    BOOST_TEST(group.unhealthy_count() == 0);
}

BOOST_AUTO_TEST_CASE(keeps_most_of_a_group_healthy)
{
    sibling_group group;
    for (int i = 0; i < 5; ++i) {
        group.slowdown[i] = 3 + i;
    }
    group.run(2000);
    BOOST_TEST(group.unhealthy_count() <= 4);
    for (int i = 0; i < sibling_group::size; ++i) {
        group.monitor.record_failure(sibling_group::id(i),
                                     failure_kind::unreachable);
    }
    group.run(500);
    BOOST_TEST(group.unhealthy_count() == 4);
}

BOOST_AUTO_TEST_CASE(ejects_a_crashed_server_and_probes_it)
{
    sibling_group group;
    group.run(500);
    group.monitor.record_failure("s1", failure_kind::unreachable);
    group.run(50);
    BOOST_TEST(bool(group.monitor.state_of("s1") == health_state::ejected));
    group.run(1000);
    BOOST_TEST(bool(group.monitor.state_of("s1") == health_state::probing));
    group.monitor.record_failure("s1", failure_kind::unreachable);
    group.run(1500); // The second ejection takes twice as long.
    BOOST_TEST(bool(group.monitor.state_of("s1") == health_state::ejected));
    group.run(600);
    BOOST_TEST(bool(group.monitor.state_of("s1") == health_state::probing));
    group.monitor.record_success("s1");
    group.run(50);
    BOOST_TEST(bool(group.monitor.state_of("s1") == health_state::healthy));
}

BOOST_AUTO_TEST_CASE(does_not_demote_for_long_prompts)
{
    health_monitor monitor;
    for (auto const* id : {"a", "b", "c", "d"}) {
        monitor.add(id, "g");
    }
    for (int i = 0; i < 8; ++i) {
        auto const now = at_ms(20 * std::int64_t{i});
        for (auto const* id : {"a", "b", "c"}) {
            monitor.record_first_token(id, 140ms, 400, now);
        }
        monitor.record_first_token("d", 2040ms, 8000, now);
    }
    BOOST_TEST(monitor.evaluate(at_ms(160)).empty());
    for (int i = 0; i < 8; ++i) {
        monitor.record_first_token("d", 900ms, 400, at_ms(170));
    }
    BOOST_TEST(monitor.evaluate(at_ms(180)).size() == 1U);
}

RC_BOOST_PROP(limits_unhealthy_servers_and_always_recovers, ())
{
    sibling_group group;
    auto const steps = *rc::gen::inRange(1, 12);
    for (int step = 0; step < steps; ++step) {
        auto const server = *rc::gen::inRange(0, sibling_group::size);
        auto const factor = *rc::gen::element(1, 1, 2, 5, 20);
        group.slowdown[server] = factor;
        if (*rc::gen::inRange(0, 4) == 0) {
            group.monitor.record_failure(
                sibling_group::id(server),
                *rc::gen::element(failure_kind::server_error,
                                  failure_kind::timeout,
                                  failure_kind::unreachable));
        }
        group.run(*rc::gen::inRange<std::int64_t>(1, 40) * 50);
        RC_ASSERT(group.unhealthy_count() <= 4);
    }
    group.slowdown.fill(1);
    for (int i = 0; i < 70; ++i) {
        for (int s = 0; s < sibling_group::size; ++s) {
            group.monitor.record_success(sibling_group::id(s));
        }
        group.run(1000);
    }
    RC_ASSERT(group.unhealthy_count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
