// Tests the parts that keep to the rate limits of backend servers.

#include <medlarstall/dispatch/dispatcher.hpp>
#include <medlarstall/dispatch/fleet_cells.hpp>
#include <medlarstall/dispatch/rate_permits.hpp>
#include <medlarstall/dispatch/return_schedule.hpp>
#include <medlarstall/dispatch/server_rate_limit.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

using namespace medlarstall;
using namespace medlarstall::dispatch;

namespace {

using namespace std::chrono_literals;

constexpr time_point start{std::chrono::hours{1}};
constexpr shared_time start_of_day{std::chrono::hours{500000}};

limit_sharers sharers_of(std::uint64_t own, std::size_t daemons)
{
    std::vector<std::uint64_t> all(daemons);
    std::iota(all.begin(), all.end(), std::uint64_t{1});
    return {77, own,
            std::make_shared<std::vector<std::uint64_t> const>(std::move(all))};
}

/// Takes all permits that are available.
int take_all(rate_permits& permits, time_point now)
{
    auto taken = 0;
    for (; permits.available(0, now); ++taken) {
        permits.take(now);
    }
    return taken;
}

} // namespace

BOOST_AUTO_TEST_SUITE(server_rate_limit_suite)

BOOST_AUTO_TEST_CASE(an_answer_from_before_the_limit_ends_it)
{
    server_rate_limit limit;
    BOOST_TEST(bool(limit.on_stated(5, start) == rate_limit_change::started));
    BOOST_TEST(bool(limit.on_not_stated(start - 1ms, start + 1s) ==
                    rate_limit_change::none));
    BOOST_TEST(limit.requests_per_second().value_or(0) == 5);
    BOOST_TEST(bool(limit.on_not_stated(start + 1ms, start + 1s) ==
                    rate_limit_change::ended));
    BOOST_TEST(!limit.requests_per_second());
}

BOOST_AUTO_TEST_CASE(an_older_notice_replaces_a_newer_observation)
{
    server_rate_limit limit;
    limit.on_stated(5, start);
    BOOST_TEST(bool(limit.merge({"s", 0, std::nullopt, 300ms}, start + 200ms) ==
                    rate_limit_change::none));
    BOOST_TEST(limit.requests_per_second().has_value());
    BOOST_TEST(bool(limit.merge({"s", 0, 2, 100ms}, start + 200ms) ==
                    rate_limit_change::changed));
    BOOST_TEST(limit.requests_per_second().value_or(0) == 2);
    // What another daemon has observed is not announced once more.
    BOOST_TEST(!limit.age_if_changed(start, start + 1s));
    BOOST_TEST(limit.age_if_changed(start - 1ms, start + 1s).has_value());
}

BOOST_AUTO_TEST_CASE(impossible_notices_are_believed)
{
    constexpr auto infinity = std::numeric_limits<double>::infinity();
    for (auto const& notice : std::vector<rate_limit_notice>{
             {"s", 0, -1.0, 0ms},
             {"s", 0, infinity, 0ms},
             {"s", 0, std::nan(""), 0ms},
             {"s", 0, 1.0, -1ms},
             {"s", 0, 1.0, std::chrono::hours{1}},
             {"s", 0, std::nullopt, std::chrono::milliseconds::min()},
             {"s", 0, std::nullopt, std::chrono::milliseconds::max()}}) {
        server_rate_limit limit;
        limit.on_stated(5, start);
        BOOST_TEST(bool(limit.merge(notice, start + 1s) ==
                        rate_limit_change::invalid));
        BOOST_TEST(limit.requests_per_second().value_or(0) == 5);
    }
}

BOOST_AUTO_TEST_CASE(a_limit_of_zero_is_never_noticed_to_end)
{
    server_rate_limit limit;
    limit.on_stated(0, start);
    BOOST_TEST(limit.requests_per_second().value_or(0) > 0);
}

BOOST_AUTO_TEST_CASE(a_limit_that_varies_a_little_is_announced_each_time)
{
    server_rate_limit limit;
    limit.on_stated(100, start);
    BOOST_TEST(bool(limit.on_stated(95, start) == rate_limit_change::none));
    BOOST_TEST(bool(limit.on_stated(105, start) == rate_limit_change::none));
    BOOST_TEST(bool(limit.on_stated(50, start) == rate_limit_change::changed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(rate_permits_suite)

BOOST_AUTO_TEST_CASE(permits_accumulate_while_a_daemon_is_idle)
{
    auto const sharers = sharers_of(1, 1);
    rate_permits permits;
    permits.advance(10, sharers, start_of_day, start);
    permits.advance(10, sharers, start_of_day + 60s, start + 60s);
    BOOST_TEST(take_all(permits, start + 60s) <= 13); // 10 a second, 1.2 s.
}

BOOST_AUTO_TEST_CASE(a_clock_set_forward_or_back_yields_a_burst)
{
    auto const sharers = sharers_of(1, 1);
    rate_permits permits;
    auto now = start;
    auto at = start_of_day;
    permits.advance(10, sharers, at, now);
    auto taken = 0;
    for (auto const jump : {3600s, -3600s, 2s, -2s, 2s, -2s}) {
        now += 100ms;
        at += jump + 100ms;
        permits.advance(10, sharers, at, now);
        taken += take_all(permits, now);
    }
    BOOST_TEST(taken <= 3 * 13); // Each jump forward yields one lifetime.
}

BOOST_AUTO_TEST_CASE(permits_of_a_higher_limit_are_kept_when_it_falls)
{
    auto const sharers = sharers_of(1, 1);
    rate_permits permits;
    permits.advance(1000, sharers, start_of_day, start);
    permits.advance(1000, sharers, start_of_day + 1s, start + 1s);
    permits.advance(1, sharers, start_of_day + 1s, start + 1s);
    BOOST_TEST(take_all(permits, start + 1s) <= 3);
}

BOOST_AUTO_TEST_CASE(a_daemon_that_does_not_share_a_limit_has_permits)
{
    rate_permits permits;
    for (auto const& sharers : {sharers_of(9, 3), limit_sharers{77, 9, {}}}) {
        permits.advance(10, sharers, start_of_day, start);
        permits.advance(10, sharers, start_of_day + 1s, start + 1s);
        BOOST_TEST(take_all(permits, start + 1s) == 0);
    }
}

BOOST_AUTO_TEST_CASE(less_urgent_requests_take_permits_first)
{
    auto const sharers = sharers_of(1, 1);
    rate_permits permits;
    permits.advance(1, sharers, start_of_day, start);
    permits.advance(1, sharers, start_of_day + 1s, start + 1s);
    BOOST_TEST(permits.available(0, start + 1s));
    BOOST_TEST(!permits.available(0.8, start + 1s));
    BOOST_TEST(permits.available(0.8, start + 2500ms));
}

// Each permit belongs to one daemon, whatever the limit.
RC_BOOST_PROP(daemons_that_agree_have_more_permits_than_the_limit_allows, ())
{
    auto const daemons = *rc::gen::inRange<std::size_t>(1, 40);
    auto const rate = *rc::gen::inRange(1, 400) / 10.0;
    std::vector<rate_permits> permits(daemons);
    auto taken = 0;
    constexpr auto steps = 400;
    for (auto step = 0; step <= steps; ++step) {
        for (std::size_t index = 0; index < daemons; ++index) {
            permits[index].advance(rate, sharers_of(index + 1, daemons),
                                   start_of_day + step * 50ms,
                                   start + step * 50ms);
            taken += take_all(permits[index], start + step * 50ms);
        }
    }
    auto const issued = rate * steps * 0.05;
    auto const rounding = rate < static_cast<double>(daemons)
                              ? 1.0
                              : static_cast<double>(daemons);
    RC_ASSERT(taken <= issued + rounding);
    RC_ASSERT(taken >= issued - rounding);
}

RC_BOOST_PROP(a_server_is_shared_by_daemons_whose_cells_do_not_use_it, ())
{
    auto const make_names = [](std::size_t count, std::string const& prefix) {
        std::vector<std::string> names;
        names.reserve(count);
        for (std::size_t index = 0; index < count; ++index) {
            names.push_back(prefix + std::to_string(index));
        }
        return names;
    };
    auto const daemons =
        make_names(*rc::gen::inRange<std::size_t>(1, 360), "d");
    auto const servers =
        make_names(*rc::gen::inRange<std::size_t>(1, 300), "s");
    auto const parts = divide_service(daemons, servers);
    for (auto const& daemon : daemons) {
        auto used = names_in_cell(
            servers,
            service_cell(cell_containing(daemons, daemon), servers.size()));
        auto const part = std::ranges::find_if(parts, [&](auto const& item) {
            return std::ranges::find(item.daemons, daemon) !=
                   item.daemons.end();
        });
        RC_ASSERT(part != parts.end());
        auto shared = part->servers;
        std::ranges::sort(used);
        std::ranges::sort(shared);
        RC_ASSERT(used == shared);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(limited_placement_suite)

BOOST_AUTO_TEST_CASE(a_server_that_is_down_is_used_in_place_of_a_limited_one)
{
    dispatcher decisions{{"dc", {}, {}}};
    for (auto const* const id : {"limited", "down"}) {
        backend_server_entry entry;
        entry.id = id;
        entry.service = "s";
        entry.address = "10.0.0.1:80";
        decisions.apply(entry, start);
    }
    decisions.set_time_of_day(start_of_day, start);
    decisions.health_tracker_of("down")->on_unreachable(start);
    decisions.on_rate_limit("limited", 1, start);
    placement_request request;
    request.service = "s";
    BOOST_TEST(!decisions.choose(request, start).has_value());
    auto const booked = decisions.book_return(request, start);
    BOOST_REQUIRE(booked.has_value());
    BOOST_TEST(bool(booked->delay > 0ms));
    BOOST_TEST(bool(booked->delay <= 1s));
    auto const later = start + 1001ms;
    BOOST_REQUIRE(decisions.choose(request, later).has_value());
    BOOST_TEST(decisions.choose(request, later)->backend_server == "limited");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(return_schedule_suite)

BOOST_AUTO_TEST_CASE(refused_callers_return_together)
{
    return_schedule schedule;
    BOOST_TEST(bool(schedule.book(1, 100ms, 2, start) == 100ms));
    BOOST_TEST(bool(schedule.book(1, 100ms, 2, start) == 600ms));
    BOOST_TEST(bool(schedule.book(1, 100ms, 2, start + 1s) == 100ms));
}

BOOST_AUTO_TEST_CASE(urgent_callers_return_after_less_urgent_ones)
{
    return_schedule schedule;
    for (int at = 0; at < 4; ++at) {
        schedule.book(5, 100ms, 1, start);
    }
    BOOST_TEST(bool(schedule.book(0, 100ms, 1, start) == 100ms));
    BOOST_TEST(bool(schedule.book(5, 100ms, 1, start) == 4100ms));
}

BOOST_AUTO_TEST_CASE(a_caller_is_told_to_return_after_hours)
{
    return_schedule schedule;
    for (int at = 0; at < 100; ++at) {
        BOOST_TEST(bool(schedule.book(0, 1h, 0.001, start) <= 10s));
    }
}

BOOST_AUTO_TEST_SUITE_END()
