// Replays the loads at which placement lost most, against the real decisions.

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
constexpr std::uint32_t long_part = 13300;
constexpr std::uint32_t own_part = 3700;

std::shared_ptr<routes::route_table const> make_table()
{
    routes::configuration content;
    content.version = 1;
    routes::service writers;
    writers.name = "writers";
    routes::engine model;
    model.slots = 64;
    model.memory_tokens = 490000;
    model.tokens_per_event = 3;
    writers.model = model;
    content.services = {writers};
    return std::make_shared<routes::route_table>(content);
}

dispatcher make_dispatcher(int servers)
{
    dispatcher made{{"dc", {}}};
    made.set_routes(make_table());
    for (int at = 0; at < servers; ++at) {
        backend_server_entry entry;
        entry.id = "server-" + std::to_string(at);
        entry.service = "writers";
        entry.address = "10.0.0.1:" + std::to_string(1000 + at);
        entry.data_centre = "dc";
        entry.slots = 64;
        made.apply(entry, start);
    }
    return made;
}

work long_work(std::uint64_t shared, std::uint64_t own)
{
    work made;
    made.service = "writers";
    made.hash = own;
    made.asked = prompt{
        "m", long_part + own_part, 120, {{shared, long_part}, {own, own_part}}};
    return made;
}

work note_work(std::uint64_t own)
{
    work made;
    made.service = "writers";
    made.hash = own;
    made.sensitivity = pause_sensitivity(250ms, 3);
    made.asked = prompt{"m", 1400, 170, {{7, 300}, {own, 1100}}};
    return made;
}

ticket send(dispatcher& to, work const& what, time_point now)
{
    auto const where = to.choose(what, now);
    BOOST_REQUIRE(where.has_value());
    return to.note_sent(what, *where, now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(worst_load_suite)

BOOST_AUTO_TEST_CASE(a_burst_of_long_prompts_spreads_while_parts_are_new)
{
    // The first burst of a day: 18 new parts within a second, nothing cached.
    // One server in nine got a third of them when homes went by hash alone.
    auto fleet = make_dispatcher(9);
    std::map<std::string, int> sent;
    for (std::uint64_t at = 0; at < 18; ++at) {
        auto const now = start + at * 50ms;
        ++sent[send(fleet, long_work(100 + at, 500 + at), now).backend_server];
    }
    BOOST_TEST(sent.size() == 9U);
    for (auto const& [server, count] : sent) {
        BOOST_TEST(count <= 3);
    }
}

BOOST_AUTO_TEST_CASE(a_shared_part_stays_where_it_is_kept)
{
    auto fleet = make_dispatcher(9);
    std::set<std::string> servers;
    for (std::uint64_t at = 0; at < 20; ++at) {
        auto const now = start + at * 400ms;
        auto held = send(fleet, long_work(100, 500 + at), now);
        servers.insert(held.backend_server);
        fleet.note_answer(held, now + 200ms);
        fleet.note_end(held, send_outcome::good, now + 390ms);
    }
    BOOST_TEST(servers.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_part_in_great_demand_gets_more_servers)
{
    // A hot part: more requests at once than one server reads in time.
    auto fleet = make_dispatcher(9);
    std::set<std::string> servers;
    for (std::uint64_t at = 0; at < 60; ++at) {
        auto const held =
            send(fleet, long_work(100, 500 + at), start + at * 10ms);
        servers.insert(held.backend_server);
    }
    BOOST_TEST(servers.size() >= 2U);
}

BOOST_AUTO_TEST_CASE(sensitive_streams_and_long_prompts_use_other_servers)
{
    // A burst of long prompts beside short streams with tight pauses.
    auto fleet = make_dispatcher(9);
    std::set<std::string> notes;
    std::set<std::string> readers;
    for (std::uint64_t at = 0; at < 30; ++at) {
        auto const now = start + at * 40ms;
        notes.insert(send(fleet, note_work(900 + at), now).backend_server);
        readers.insert(send(fleet, long_work(100 + at % 10, 500 + at), now)
                           .backend_server);
    }
    std::size_t shared = 0;
    for (auto const& server : notes) {
        shared += readers.contains(server) ? 1 : 0;
    }
    BOOST_TEST(shared <= 1U);
}

BOOST_AUTO_TEST_CASE(a_request_waits_a_while_for_a_first_backend_server)
{
    routes::route route;
    route.objective = 800ms;
    BOOST_TEST((pause_before_next_look(route, 0ms) > 0ms));
    BOOST_TEST((pause_before_next_look(route, 99ms) > 0ms));
    BOOST_TEST((pause_before_next_look(route, 100ms) == 0ms));
}

BOOST_AUTO_TEST_CASE(no_server_is_used_that_is_down_while_others_are_up)
{
    auto fleet = make_dispatcher(9);
    fleet.health_of("server-3")->on_unreachable(start);
    for (std::uint64_t at = 0; at < 40; ++at) {
        auto const held = send(fleet, note_work(at), start + at * 10ms);
        BOOST_TEST(held.backend_server != "server-3");
    }
}

BOOST_AUTO_TEST_CASE(the_last_servers_are_used_even_if_they_seem_down)
{
    auto fleet = make_dispatcher(2);
    fleet.health_of("server-0")->on_unreachable(start);
    fleet.health_of("server-1")->on_unreachable(start);
    BOOST_TEST(fleet.choose(note_work(1), start).has_value());
}

BOOST_AUTO_TEST_CASE(a_draining_server_gets_nothing_even_if_it_is_the_last)
{
    auto fleet = make_dispatcher(1);
    auto entry = *fleet.find("server-0");
    entry.draining = true;
    entry.sequence = 1;
    fleet.apply(entry, start);
    BOOST_TEST(!fleet.choose(note_work(1), start).has_value());
}

BOOST_AUTO_TEST_CASE(load_of_other_daemons_counts)
{
    auto fleet = make_dispatcher(2);
    auto const first = fleet.choose(note_work(1), start)->backend_server;
    fleet.merge_loads("peer", {{first, {30, 20000, 50000, 0, 0}}}, start);
    BOOST_TEST(fleet.choose(note_work(1), start)->backend_server != first);
    // News that is old counts no more.
    fleet.expire(start + 5s, [](std::string const&) {});
    BOOST_TEST(fleet.choose(note_work(1), start + 5s)->backend_server == first);
}

BOOST_AUTO_TEST_CASE(a_daemon_that_restarts_sends_prompts_where_they_are_kept)
{
    // With all 118 daemons restarted in turn, three times as many shared
    // prompt tokens were read again as on a quiet day.
    constexpr int servers = 40;
    constexpr std::uint64_t prompts = 30;
    auto old_one = make_dispatcher(servers);
    std::map<std::uint64_t, std::string> kept_at;
    for (std::uint64_t shared = 1; shared <= prompts; ++shared) {
        kept_at[shared] = send(old_one, long_work(shared, 1000 + shared), start)
                              .backend_server;
    }
    auto new_one = make_dispatcher(servers);
    for (auto const& kept : old_one.parts_used_since(start - 30s)) {
        new_one.merge_parts(kept, start + 1s);
    }
    for (auto const& [shared, server] : kept_at) {
        auto const where =
            new_one.choose(long_work(shared, 2000 + shared), start + 2s);
        BOOST_REQUIRE(where.has_value());
        BOOST_TEST(where->backend_server == server);
        BOOST_TEST(where->cached_tokens == long_part);
    }
    BOOST_TEST(old_one.parts_used_since(start).empty());
}

BOOST_AUTO_TEST_SUITE_END()
