// Tests gateways that have lost their paths to the backend servers while other
// gateways, the store and the callers still reach everything.

#include "gateway_fixture.hpp"

#include <medlarstall/platform_standins/path_standin.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

using namespace medlarstall;
using namespace std::chrono_literals;

namespace {

using platform_standins::behaviour;

constexpr std::size_t server_count = 4;
/// A daemon that is cut off must serve again after this time.
constexpr auto noticed_after = 3s;

/// Two daemons with a list of their own each, in which the servers have the
/// addresses of paths that can be cut for that daemon alone.
struct fleet_with_paths : gateway_fixture
{
    std::vector<std::unique_ptr<platform_standins::store_standin>> stores;
    std::vector<std::vector<std::unique_ptr<platform_standins::path_standin>>>
        paths;
    int sent = 0;

    explicit fleet_with_paths(bool with_usage = false)
        : gateway_fixture{server_count}
    {
        counts_usage = with_usage;
        write_configuration(1);
        auto const configuration = store.newest("keyed.op", "config");
        for (std::size_t at = 0; at < 2; ++at) {
            add_store(*configuration);
            own_store = stores.back()->address();
            std::vector<std::string> seeds;
            if (at > 0) {
                seeds.push_back(peer_address(0));
            }
            add_gateway(8s, seeds);
        }
        auto known = gateways[0]->settings();
        known.seeds = {peer_address(1)};
        gateways[0]->reload(known);
        for (std::size_t at = 0; at < 2; ++at) {
            BOOST_REQUIRE(wait_until_ready(at));
        }
        run_for(1500ms); // Until the daemons know each other.
    }

    std::string peer_address(std::size_t at) const
    {
        return "127.0.0.1:" +
               std::to_string(gateways[at]->settings().peer_address.port());
    }

    /// Adds a store that lists the servers behind paths of their own.
    void add_store(std::string const& configuration)
    {
        stores.push_back(
            std::make_unique<platform_standins::store_standin>(context));
        stores.back()->put("keyed.op", "config", configuration);
        paths.emplace_back();
        for (auto const& server : servers) {
            auto const address = server->address();
            auto const port = static_cast<std::uint16_t>(
                std::stoi(address.substr(address.find(':') + 1)));
            paths.back().push_back(
                std::make_unique<platform_standins::path_standin>(
                    context, asio::ip::tcp::endpoint{
                                 asio::ip::make_address("127.0.0.1"), port}));
            auto entry = server->entry("s", "ready", 1);
            entry.replace(entry.find(address), address.size(),
                          paths.back().back()->address());
            stores.back()->put("keyed.servers", server->id(), entry);
        }
    }

    /// Sends a request that may be repeated, one that may not, and a stream.
    /// \return number of them that succeeded
    int succeeded_of_three(std::size_t gateway)
    {
        int good = 0;
        for (auto const* const kind : {"safe", "once", "resume"}) {
            auto const is_stream = std::string_view{kind} == "resume";
            for (auto const& server : servers) {
                if (is_stream) {
                    server->script({behaviour::kind::answer, 3});
                }
            }
            auto const path = std::string{"/"} + kind + "/a";
            auto const answer = send_and_wait(gateway, "POST", path,
                                              kind + std::to_string(++sent));
            good += answer.complete && answer.status == 200 ? 1 : 0;
            for (auto const& server : servers) {
                server->clear_script();
            }
        }
        return good;
    }

    /// \return number of requests that succeeded, of three a round
    int succeeded(std::size_t gateway, int rounds)
    {
        int good = 0;
        for (int round = 0; round < rounds; ++round) {
            good += succeeded_of_three(gateway);
        }
        return good;
    }

    /// \return number of requests that a gateway has counted
    std::uint64_t counted(std::size_t gateway)
    {
        auto const answer =
            get(gateways[gateway]->settings().peer_address, "/v1/status");
        auto const status = nlohmann::json::parse(answer.body);
        return status.at("usage").at("counted").get<std::uint64_t>();
    }

    /// \return number of times that a request has run
    std::size_t runs_of(std::string const& id) const
    {
        std::size_t runs = 0;
        for (auto const& server : servers) {
            for (auto const& run : server->runs()) {
                auto const* const found = run.head.headers.find("X-Attempt-Id");
                runs += found != nullptr && *found == id ? 1 : 0;
            }
        }
        return runs;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(lost_paths_suite)

// It tried four servers, one after the other, and refused.
BOOST_AUTO_TEST_CASE(a_daemon_without_paths_refuses_what_its_peer_could_serve)
{
    constexpr int rounds = 10;
    fleet_with_paths world;
    BOOST_TEST(world.succeeded(0, 3) == 9);
    for (auto const& path : world.paths[0]) {
        path->cut();
    }
    std::ignore = world.succeeded(0, 2); // By which it notices.
    world.run_for(500ms);
    BOOST_TEST(world.succeeded(0, rounds) == 3 * rounds);
    for (int id = 1; id <= world.sent; ++id) {
        BOOST_TEST(world.runs_of("once" + std::to_string(id)) <= 1);
    }
}

// Both daemons counted it, or none.
BOOST_AUTO_TEST_CASE(a_request_that_is_passed_on_is_counted_by_the_peer)
{
    constexpr int rounds = 5;
    constexpr std::uint64_t requests = 15; // Three in each round.
    fleet_with_paths world{true};
    BOOST_TEST(world.succeeded(0, 1) == 3);
    for (auto const& path : world.paths[0]) {
        path->cut();
    }
    std::ignore = world.succeeded(0, 2); // By which it notices.
    world.run_for(500ms);
    auto const own = world.counted(0);
    auto const of_peer = world.counted(1);
    BOOST_TEST(world.succeeded(0, rounds) == 3 * rounds);
    BOOST_TEST(world.counted(0) == own);
    BOOST_TEST(world.counted(1) == of_peer + requests);
}

// Old connections live on, so that the servers did not look lost.
BOOST_AUTO_TEST_CASE(a_daemon_whose_new_connections_are_refused_refuses_callers)
{
    fleet_with_paths world;
    BOOST_TEST(world.succeeded(0, 3) == 9);
    for (auto const& path : world.paths[0]) {
        path->refuse_new();
    }
    constexpr std::size_t requests = 24;
    std::vector<std::shared_ptr<caller_answer>> answers;
    answers.reserve(requests);
    for (std::size_t count = 0; count < requests; ++count) {
        answers.push_back(world.send(0, "POST", "/safe/a",
                                     "beside-" + std::to_string(count)));
    }
    world.run_for(noticed_after);
    for (auto const& answer : answers) {
        BOOST_TEST(answer->complete);
        BOOST_TEST(answer->status == 200);
    }
}

// When the servers are down for all, nobody goes round by peers.
BOOST_AUTO_TEST_CASE(servers_that_are_down_for_all_are_not_asked_through_peers)
{
    fleet_with_paths world;
    for (auto const& daemon : world.paths) {
        for (auto const& path : daemon) {
            path->cut();
        }
    }
    for (int round = 0; round < 6; ++round) {
        auto const id = "nobody-" + std::to_string(round);
        auto const answer = world.send_and_wait(
            static_cast<std::size_t>(round % 2), "POST", "/safe/a", id);
        BOOST_TEST(answer.status == 503);
        BOOST_TEST(world.runs_of(id) == 0);
    }
    for (auto const& daemon : world.paths) {
        for (auto const& path : daemon) {
            path->heal();
        }
    }
    world.run_for(2500ms);
    BOOST_TEST(world.succeeded(0, 2) == 6);
}

// A caller was kept waiting for connections that could not be opened.
BOOST_AUTO_TEST_CASE(a_request_that_the_peer_refuses_is_answered_late)
{
    fleet_with_paths world;
    for (auto const& path : world.paths[0]) {
        path->cut();
    }
    std::ignore = world.succeeded(0, 2);
    for (auto const& server : world.servers) {
        for (int count = 0; count < 4; ++count) {
            server->script({behaviour::kind::turn_away});
        }
    }
    auto const before = std::chrono::steady_clock::now();
    auto const answer = world.send_and_wait(0, "POST", "/once/a", "refused");
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(answer.retry_after_seconds() > 0);
    BOOST_TEST((std::chrono::steady_clock::now() - before < 500ms));
    BOOST_TEST(world.runs_of("refused") == 0);
}

// A daemon that was cut off uses its own paths again once they are back.
BOOST_AUTO_TEST_CASE(healed_paths_are_used_again)
{
    fleet_with_paths world;
    for (auto const& path : world.paths[0]) {
        path->cut();
    }
    std::ignore = world.succeeded(0, 3);
    for (auto const& path : world.paths[0]) {
        path->heal();
    }
    world.run_for(2500ms);
    for (auto const& path : world.paths[1]) {
        path->cut(); // So that the peer cannot help.
    }
    world.run_for(500ms);
    BOOST_TEST(world.succeeded(0, 3) == 9);
}

// Lost paths were reported as crashes, for which sound requests are blamed.
BOOST_AUTO_TEST_CASE(lost_paths_are_reported_as_crashes)
{
    fleet_with_paths world;
    BOOST_TEST(world.succeeded(0, 2) == 6);
    for (auto const& server : world.servers) {
        server->script({behaviour::kind::hold});
    }
    std::vector<std::shared_ptr<caller_answer>> held;
    held.reserve(server_count);
    for (std::size_t count = 0; count < server_count; ++count) {
        held.push_back(world.send(0, "POST", "/once/a",
                                  "held-" + std::to_string(count), "key-small",
                                  "180,20", "a1:100,b1:50"));
    }
    world.run_for(300ms);
    for (auto const& path : world.paths[0]) {
        path->cut();
    }
    world.run_for(noticed_after);
    auto const log = world.log_text();
    BOOST_TEST(log.find("event=crash ") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
