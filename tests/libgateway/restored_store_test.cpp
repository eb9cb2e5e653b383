// Complete gateways with a store that is restored from a copy several seconds
// old.

#include "gateway_fixture.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <asio/post.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>

using namespace medlarstall;
using namespace std::chrono_literals;

namespace {

char const* const members_topic = "keyed.medlarstall-members";

/// Number of writes after the copy was taken. The gateways learn their offsets,
/// and the restored store assigns the same offsets a second time.
constexpr std::uint64_t many_writes = 12;

nlohmann::json status_of(gateway_fixture& world, std::size_t gateway)
{
    return nlohmann::json::parse(
        world
            .get(world.gateways.at(gateway)->settings().peer_address,
                 "/v1/status")
            .body);
}

bool reaches_version(gateway_fixture& world, std::size_t gateway,
                     std::uint64_t version)
{
    return world.run_until([&] {
        return status_of(world, gateway).at("configuration") == version;
    });
}

std::string member_key(gateway_fixture const& world, std::size_t gateway)
{
    auto const& address = world.gateways.at(gateway)->settings().peer_address;
    return "127.0.0.1:" + std::to_string(address.port());
}

bool lists_server(gateway_fixture& world, std::size_t gateway,
                  std::string const& id)
{
    auto const all = status_of(world, gateway).at("backend_servers");
    return std::ranges::any_of(
        all, [&id](auto const& item) { return item.at("id") == id; });
}

/// Five gateways that are ready, and a copy of the store that was taken before
/// they started.
struct fleet_world : gateway_fixture
{
    fleet_world() : gateway_fixture{1}
    {
        write_configuration(1);
        store.take_copy();
        add_gateways(5);
        for (std::size_t at = 0; at < 5; ++at) {
            BOOST_REQUIRE(wait_until_ready(at));
        }
    }
};

/// Gateways that report windows of 1 s to a platform that accepts all reports.
struct reporting_fleet : gateway_fixture
{
    using window_reports =
        std::map<std::uint64_t, std::set<duty::organisation_counts>>;

    window_reports accepted; ///< Different contents of each window.
    int sent = 0;

    reporting_fleet() : gateway_fixture{1}
    {
        has_own_contexts = true;
        duties = gateway::duty_settings{};
        duties->reports_usage = true;
        duties->lease = 1500ms;
        duties->report_window = 1s;
        call_duty = [this](duty::duty_call const& call, auto const&, auto,
                           auto const& done) {
            auto const& report = std::get<duty::usage_report>(call);
            accepted[report.window].insert(report.counts);
            asio::post(context,
                       [done] { done(gateway::duty_response::accepted); });
        };
        write_configuration(1);
        start_gateways();
    }

    void start_gateways()
    {
        add_gateways(3);
        for (std::size_t at = 0; at < 3; ++at) {
            BOOST_REQUIRE(wait_until_ready(at));
        }
    }

    /// \return last window that was reported
    std::uint64_t last_reported() const
    {
        return accepted.empty() ? 0 : accepted.rbegin()->first;
    }

    /// Sends requests until a condition holds, or for 20 s.
    bool send_until(std::function<bool()> const& holds)
    {
        auto const end = std::chrono::steady_clock::now() + 20s;
        while (!holds() && std::chrono::steady_clock::now() < end) {
            auto const id = "n" + std::to_string(++sent);
            send_and_wait(0, "POST", "/once/a", id);
            run_for(20ms);
        }
        return holds();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(restored_store_suite)

// A copy of the lease holds a window as open that was fixed and reported after
// the copy was made. The next holder fixed it again, from other counts.
BOOST_AUTO_TEST_CASE(a_window_is_reported_again_after_a_restore)
{
    reporting_fleet world;
    BOOST_REQUIRE(world.send_until([&] { return world.accepted.size() >= 2; }));
    world.store.take_copy();
    auto const before = world.last_reported();
    BOOST_REQUIRE(
        world.send_until([&] { return world.last_reported() >= before + 4; }));
    world.kill_gateways();
    world.store.return_from_copy();
    world.first_start = false;
    auto const reported = world.last_reported();
    world.start_gateways();
    BOOST_TEST(
        world.send_until([&] { return world.last_reported() > reported + 2; }));
    for (auto const& [window, contents] : world.accepted) {
        BOOST_TEST_CONTEXT("window " << window)
        BOOST_TEST(contents.size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(changes_after_a_restore_apply_at_once)
{
    ready_gateway_fixture world{1};
    world.store.take_copy();
    for (std::uint64_t at = 0; at < many_writes; ++at) {
        world.write_configuration(2 + at);
        world.list_server(0, "ready", 2 + at);
    }
    BOOST_REQUIRE(reaches_version(world, 0, 1 + many_writes));
    world.store.return_from_copy();
    world.write_configuration(2 + many_writes);
    world.list_server(0, "draining", 2 + many_writes);
    auto const restored_at = std::chrono::steady_clock::now();
    BOOST_TEST(reaches_version(world, 0, 2 + many_writes));
    BOOST_TEST((std::chrono::steady_clock::now() - restored_at < 1s));
    BOOST_TEST(world.run_until([&world] {
        return world.send_and_wait(0, "GET", "/open/x", "late", "").status ==
               503;
    }));
}

BOOST_AUTO_TEST_CASE(a_configuration_that_the_copy_lacks_stays_in_force)
{
    ready_gateway_fixture world{1};
    world.store.take_copy();
    world.write_configuration(2, "other");
    BOOST_REQUIRE(reaches_version(world, 0, 2));
    world.store.return_from_copy(); // The copy holds version 1 only.
    world.run_for(500ms);
    BOOST_TEST(status_of(world, 0).at("configuration") == 2U);
    world.write_configuration(2, "other");
    world.write_configuration(3);
    BOOST_TEST(reaches_version(world, 0, 3));
}

BOOST_AUTO_TEST_CASE(servers_that_the_copy_lacks_are_kept_for_a_while)
{
    gateway_fixture world{1};
    world.write_configuration(1);
    world.store.take_copy();
    world.list_server(0, "ready", 2);
    world.servers.push_back(std::make_unique<platform_standins::server_standin>(
        world.context, "i-new"));
    world.servers.push_back(std::make_unique<platform_standins::server_standin>(
        world.context, "i-gone"));
    world.list_server(1, "ready", 1);
    world.list_server(2, "ready", 1);
    world.add_gateway();
    BOOST_REQUIRE(world.wait_until_ready(0));
    world.store.return_from_copy();
    world.run_for(800ms);
    BOOST_TEST(lists_server(world, 0, "i-new"));
    BOOST_TEST(lists_server(world, 0, "i-gone"));
    world.list_server(1, "ready", 3);
    BOOST_TEST(world.run_until(
        [&world] { return !lists_server(world, 0, "i-gone"); }));
    BOOST_TEST(lists_server(world, 0, "i-new"));
}

BOOST_AUTO_TEST_CASE(a_draining_server_stays_draining)
{
    ready_gateway_fixture world{2};
    world.store.take_copy();
    world.list_server(0, "draining", 5);
    auto const is_draining = [&world] {
        auto const all = status_of(world, 0).at("backend_servers");
        return all.at(0).at("draining") == true;
    };
    BOOST_REQUIRE(world.run_until(is_draining));
    auto const before = world.servers[0]->runs().size();
    world.store.return_from_copy(); // The copy says "ready".
    for (int at = 0; at < 10; ++at) {
        world.run_for(50ms);
        auto const id = "id-" + std::to_string(at);
        BOOST_TEST(world.send_and_wait(0, "POST", "/once/a", id).status == 200);
    }
    BOOST_TEST(world.servers[0]->runs().size() == before);
}

BOOST_AUTO_TEST_CASE(members_that_the_copy_lacks_register_again)
{
    fleet_world world;
    for (std::size_t at = 0; at < 5; ++at) {
        BOOST_REQUIRE(world.run_until([&] {
            return world.store.newest(members_topic, member_key(world, at))
                .has_value();
        }));
    }
    world.run_for(1500ms); // Until all receive updates of each other.
    world.store.return_from_copy();
    for (std::size_t at = 0; at < 5; ++at) {
        BOOST_TEST(world.run_until([&] {
            return world.store.newest(members_topic, member_key(world, at))
                .has_value();
        }));
        BOOST_TEST(status_of(world, at).at("peers").size() == 4U);
    }
}

BOOST_AUTO_TEST_CASE(a_fleet_survives_two_restores_in_a_row)
{
    fleet_world world;
    for (std::uint64_t at = 0; at < many_writes; ++at) {
        world.write_configuration(2 + at);
    }
    BOOST_REQUIRE(reaches_version(world, 4, 1 + many_writes));
    world.store.return_from_copy();
    world.write_configuration(1 + many_writes);
    world.run_for(30ms);
    world.store.return_from_copy();
    world.write_configuration(2 + many_writes);
    for (std::size_t at = 0; at < 5; ++at) {
        BOOST_TEST(reaches_version(world, at, 2 + many_writes));
    }
}

BOOST_AUTO_TEST_CASE(
    a_daemon_that_starts_after_a_restore_takes_no_older_version)
{
    // The copy holds a configuration that was replaced since. It may contain an
    // API key that was revoked.
    gateway_fixture world{1};
    world.write_configuration(1);
    world.store.take_copy();
    world.write_configuration(2);
    world.add_gateways(1);
    BOOST_REQUIRE(reaches_version(world, 0, 2));
    world.store.return_from_copy();
    world.add_gateway(8s, {member_key(world, 0)});
    BOOST_TEST(reaches_version(world, 1, 2));
}

BOOST_AUTO_TEST_SUITE_END()
