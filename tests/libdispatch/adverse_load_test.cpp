// Tests placement under the kinds of load at which it performed worst.

#include <medlarstall/dispatch/dispatcher.hpp>
#include <medlarstall/dispatch/waiting_policy.hpp>

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace medlarstall;
using namespace medlarstall::dispatch;

namespace {

using namespace std::chrono_literals;

constexpr time_point start{std::chrono::hours{1}};
/// Tokens of the shared and of the individual part of a long prompt.
constexpr std::uint32_t shared_part_tokens = 13300;
constexpr std::uint32_t own_part_tokens = 3700;

std::shared_ptr<routes::route_table const> make_table()
{
    routes::configuration configuration;
    configuration.version = 1;
    routes::service service;
    service.name = "writers";
    routes::engine model;
    model.slots = 64;
    model.memory_tokens = 490000;
    model.tokens_per_event = 3;
    service.model = model;
    configuration.services = {service};
    return std::make_shared<routes::route_table>(configuration);
}

dispatcher make_dispatcher(int servers)
{
    dispatcher result{{"dc", {}}};
    result.set_routes(make_table());
    for (int index = 0; index < servers; ++index) {
        backend_server_entry entry;
        entry.id = "server-" + std::to_string(index);
        entry.service = "writers";
        entry.address = "10.0.0.1:" + std::to_string(1000 + index);
        entry.data_centre = "dc";
        entry.slots = 64;
        result.apply(entry, start);
    }
    return result;
}

placement_request long_prompt_request(std::uint64_t shared, std::uint64_t own)
{
    placement_request request;
    request.service = "writers";
    request.tie_break_hash = own;
    request.model_prompt =
        prompt{"m",
               shared_part_tokens + own_part_tokens,
               120,
               {{shared, shared_part_tokens}, {own, own_part_tokens}}};
    return request;
}

placement_request short_stream_request(std::uint64_t own)
{
    placement_request request;
    request.service = "writers";
    request.tie_break_hash = own;
    request.pause_sensitivity = pause_sensitivity(250ms, 3);
    request.model_prompt = prompt{"m", 1400, 170, {{7, 300}, {own, 1100}}};
    return request;
}

load_reservation send(dispatcher& target, placement_request const& request,
                      time_point now)
{
    auto const chosen = target.choose(request, now);
    BOOST_REQUIRE(chosen.has_value());
    return target.on_sent(request, *chosen, now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(adverse_load_suite)

BOOST_AUTO_TEST_CASE(burst_of_long_prompts_with_new_parts_is_spread)
{
    // A burst of 18 new parts within a second, while nothing is cached, as at
    // the beginning of a day. When only the hash of the part decided, one of
    // nine backend servers got a third of them.
    auto target = make_dispatcher(9);
    std::map<std::string, int> sent;
    for (std::uint64_t index = 0; index < 18; ++index) {
        auto const now = start + index * 50ms;
        ++sent[send(target, long_prompt_request(100 + index, 500 + index), now)
                   .backend_server];
    }
    BOOST_TEST(sent.size() == 9U);
    for (auto const& [server, count] : sent) {
        BOOST_TEST(count <= 3);
    }
}

BOOST_AUTO_TEST_CASE(requests_with_a_cached_part_go_to_the_same_server)
{
    auto target = make_dispatcher(9);
    std::set<std::string> servers;
    for (std::uint64_t index = 0; index < 20; ++index) {
        auto const now = start + index * 400ms;
        auto reservation =
            send(target, long_prompt_request(100, 500 + index), now);
        servers.insert(reservation.backend_server);
        target.on_answer_started(reservation, now + 200ms);
        target.on_send_ended(reservation, send_outcome::succeeded, now + 390ms);
    }
    BOOST_TEST(servers.size() == 1U);
}

BOOST_AUTO_TEST_CASE(part_in_high_demand_is_spread_over_several_servers)
{
    // More requests share the part than one backend server can prefill in time.
    auto target = make_dispatcher(9);
    std::set<std::string> servers;
    for (std::uint64_t index = 0; index < 60; ++index) {
        auto const reservation =
            send(target, long_prompt_request(100, 500 + index),
                 start + index * 10ms);
        servers.insert(reservation.backend_server);
    }
    BOOST_TEST(servers.size() >= 2U);
}

BOOST_AUTO_TEST_CASE(pause_sensitive_streams_are_separated_from_long_prompts)
{
    // A burst of long prompts at the same time as short streams whose callers
    // accept only short pauses.
    auto target = make_dispatcher(9);
    std::set<std::string> stream_servers;
    std::set<std::string> prompt_servers;
    for (std::uint64_t index = 0; index < 30; ++index) {
        auto const now = start + index * 40ms;
        stream_servers.insert(
            send(target, short_stream_request(900 + index), now)
                .backend_server);
        prompt_servers.insert(
            send(target, long_prompt_request(100 + index % 10, 500 + index),
                 now)
                .backend_server);
    }
    std::size_t shared = 0;
    for (auto const& server : stream_servers) {
        shared += prompt_servers.contains(server) ? 1 : 0;
    }
    BOOST_TEST(shared <= 1U);
}

BOOST_AUTO_TEST_CASE(
    request_waits_for_an_eighth_of_its_objective_without_servers)
{
    routes::route route;
    route.objective = 800ms;
    BOOST_TEST((wait_before_next_placement(route, 0ms) > 0ms));
    BOOST_TEST((wait_before_next_placement(route, 99ms) > 0ms));
    BOOST_TEST((wait_before_next_placement(route, 100ms) == 0ms));
}

BOOST_AUTO_TEST_CASE(servers_that_are_down_are_not_used_while_others_are_up)
{
    auto target = make_dispatcher(9);
    target.health_tracker_of("server-3")->on_unreachable(start);
    for (std::uint64_t index = 0; index < 40; ++index) {
        auto const reservation =
            send(target, short_stream_request(index), start + index * 10ms);
        BOOST_TEST(reservation.backend_server != "server-3");
    }
}

BOOST_AUTO_TEST_CASE(servers_that_are_down_are_used_if_no_other_is_left)
{
    auto target = make_dispatcher(2);
    target.health_tracker_of("server-0")->on_unreachable(start);
    target.health_tracker_of("server-1")->on_unreachable(start);
    BOOST_TEST(target.choose(short_stream_request(1), start).has_value());
}

BOOST_AUTO_TEST_CASE(draining_server_is_not_used_even_if_no_other_is_left)
{
    auto target = make_dispatcher(1);
    auto entry = *target.find_entry("server-0");
    entry.draining = true;
    entry.sequence = 1;
    target.apply(entry, start);
    BOOST_TEST(!target.choose(short_stream_request(1), start).has_value());
}

BOOST_AUTO_TEST_CASE(load_of_other_daemons_is_considered_until_it_expires)
{
    auto target = make_dispatcher(2);
    auto const first =
        target.choose(short_stream_request(1), start)->backend_server;
    target.merge_loads("peer", {{first, {30, 20000, 50000, 0, 0}}}, start);
    BOOST_TEST(target.choose(short_stream_request(1), start)->backend_server !=
               first);
    // The reported load has expired.
    target.expire(start + 5s, [](std::string const&) {});
    BOOST_TEST(
        target.choose(short_stream_request(1), start + 5s)->backend_server ==
        first);
}

BOOST_AUTO_TEST_CASE(
    restarted_daemon_sends_prompts_to_servers_that_have_them_cached)
{
    // A restarted daemon has to learn from the others which parts are cached on
    // which backend server. Without this, restarting all 118 daemons in turn
    // caused prefill of three times as many shared prompt tokens as normal
    // operation.
    constexpr int servers = 40;
    constexpr std::uint64_t prompts = 30;
    auto old_daemon = make_dispatcher(servers);
    std::map<std::uint64_t, std::string> cached_at;
    for (std::uint64_t shared = 1; shared <= prompts; ++shared) {
        cached_at[shared] =
            send(old_daemon, long_prompt_request(shared, 1000 + shared), start)
                .backend_server;
    }
    auto new_daemon = make_dispatcher(servers);
    for (auto const& cached : old_daemon.parts_used_since(start - 30s)) {
        new_daemon.merge_parts(cached, start + 1s);
    }
    for (auto const& [shared, server] : cached_at) {
        auto const chosen = new_daemon.choose(
            long_prompt_request(shared, 2000 + shared), start + 2s);
        BOOST_REQUIRE(chosen.has_value());
        BOOST_TEST(chosen->backend_server == server);
        BOOST_TEST(chosen->cached_tokens == shared_part_tokens);
    }
    BOOST_TEST(old_daemon.parts_used_since(start).empty());
}

// A daemon that has not read the entry of the next run tells of the parts that
// the run before has kept.
BOOST_AUTO_TEST_CASE(parts_of_an_earlier_run_are_taken_for_cached)
{
    auto peer = make_dispatcher(1);
    auto target = make_dispatcher(1);
    auto entry = *peer.find_entry("server-0");
    entry.started_unix_ms = 1;
    peer.apply(entry, start);
    send(peer, long_prompt_request(1, 1001), start);
    entry.started_unix_ms = 2;
    target.apply(entry, start);
    auto const told = peer.parts_used_since(start - 30s);
    BOOST_REQUIRE(told.size() == 1U);
    target.merge_parts(told[0], start + 1s);
    auto const wanted = long_prompt_request(1, 2001);
    BOOST_TEST(target.choose(wanted, start + 2s)->cached_tokens == 0U);
    auto without_start = told[0]; // As an older version sends it.
    without_start.started_unix_ms.reset();
    target.merge_parts(without_start, start + 2s);
    BOOST_TEST(target.choose(wanted, start + 3s)->cached_tokens ==
               shared_part_tokens);
}

BOOST_AUTO_TEST_SUITE_END()
