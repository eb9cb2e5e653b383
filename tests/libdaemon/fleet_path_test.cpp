#include <medlarstall/standins/text_model.hpp>
#include <medlarstall/tests/test_cluster.hpp>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace medlarstall;
using namespace medlarstall::tests;

namespace {

struct cluster_fixture
{
    cluster_fixture() { BOOST_REQUIRE(cluster.start()); }

    void wait_until_ended(answer_pointer const& response)
    {
        BOOST_REQUIRE(cluster.run_until([&] { return response->ended(); }));
    }

    test_cluster cluster;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(fleet_path_suite, cluster_fixture)

BOOST_AUTO_TEST_CASE(every_daemon_and_every_backend_server_serves_requests)
{
    std::set<std::string> daemons;
    std::set<std::string> servers;
    std::vector<std::pair<std::string, answer_pointer>> sent;
    for (int i = 0; i < 60; ++i) {
        auto const prompt = "estimate " + std::to_string(i) + " #tokens=20";
        sent.emplace_back(prompt, cluster.from().chat(cluster.port(i % 3),
                                                      "coteau-key", prompt));
    }
    for (auto const& [prompt, response] : sent) {
        wait_until_ended(response);
        BOOST_TEST(response->whole());
        BOOST_TEST(response->text() == standins::expected_answer(prompt));
        daemons.insert(response->field("Medlarstall-Daemon"));
        servers.insert(response->field("Medlarstall-Backend-Server"));
    }
    BOOST_TEST(daemons.size() == 3U);
    BOOST_TEST(servers.size() == 4U);
}

// Concurrent calls with the same idempotency key at different daemons execute
// once and get the same response. A call with the same key and a different body
// is refused with status 422, a call without a key with status 400.
BOOST_AUTO_TEST_CASE(concurrent_calls_with_one_idempotency_key_execute_once)
{
    auto const key = test_cluster::new_key();
    auto const first = cluster.from().call(cluster.port(0), "coteau-key",
                                           "shop-desk/book", "fair 7", key);
    auto const second = cluster.from().call(cluster.port(1), "coteau-key",
                                            "shop-desk/book", "fair 7", key);
    wait_until_ended(first);
    wait_until_ended(second);
    auto const third = cluster.from().call(cluster.port(2), "coteau-key",
                                           "shop-desk/book", "fair 7", key);
    wait_until_ended(third);
    BOOST_TEST(first->status == 200);
    BOOST_TEST(second->status == 200);
    BOOST_TEST(third->body == first->body);
    BOOST_TEST(second->body == first->body);
    unsigned executions = 0;
    for (std::size_t i = 0; i < cluster.services(); ++i) {
        auto const executions_by_key = cluster.service(i).executions();
        auto const found = executions_by_key.find(key);
        executions += found == executions_by_key.end() ? 0 : found->second;
    }
    BOOST_TEST(executions == 1U);
    auto const different_body = cluster.from().call(
        cluster.port(0), "coteau-key", "shop-desk/book", "fair 8", key);
    wait_until_ended(different_body);
    BOOST_TEST(different_body->status == 422);
    auto const without_key = cluster.from().call(cluster.port(0), "coteau-key",
                                                 "shop-desk/book", "fair 8");
    wait_until_ended(without_key);
    BOOST_TEST(without_key->status == 400);
    BOOST_TEST(without_key->field("Medlarstall-Run") == "not-run");
}

// A daemon crashes while it owns backend servers that are streaming responses;
// the daemon that received the requests must still complete each response.
BOOST_AUTO_TEST_CASE(responses_are_complete_after_a_daemon_crash)
{
    std::vector<std::pair<std::string, answer_pointer>> sent;
    for (int i = 0; i < 12; ++i) {
        auto const prompt = "long " + std::to_string(i) + " #tokens=400";
        sent.emplace_back(
            prompt, cluster.from().chat(cluster.port(0), "coteau-key", prompt));
    }
    BOOST_REQUIRE(cluster.run_until([&] {
        return std::ranges::all_of(sent, [](auto const& entry) {
            return entry.second->body.size() > 3'000;
        });
    }));
    cluster.crash_daemon(1);
    for (auto const& [prompt, response] : sent) {
        wait_until_ended(response);
        BOOST_TEST(response->whole());
        BOOST_TEST(response->text() == standins::expected_answer(prompt));
    }
}

// A change is accepted once, also if it is published again with the same id at
// another daemon. A second change to the same revision of an entry is rejected,
// and the response names the change that was accepted.
BOOST_AUTO_TEST_CASE(
    a_catalogue_change_reaches_all_daemons_and_a_conflict_is_reported)
{
    auto const change = [](std::string const& id, unsigned expected) {
        return nlohmann::json{
            {"id", id},
            {"edits",
             {{{"table", "classes"},
               {"name", "notes"},
               {"expected", expected},
               {"put",
                {{"owner", "consortium"}, {"tier", 3}, {"floor", 0.1}}}}}}};
    };
    auto const id = test_cluster::new_key();
    auto const accepted = cluster.publish(cluster.port(0), change(id, 1));
    wait_until_ended(accepted);
    BOOST_TEST(accepted->status == 200);
    auto const repeated = cluster.publish(cluster.port(1), change(id, 1));
    wait_until_ended(repeated);
    BOOST_TEST(repeated->status == 200);
    auto const conflicting =
        cluster.publish(cluster.port(2), change(test_cluster::new_key(), 1));
    wait_until_ended(conflicting);
    BOOST_TEST(conflicting->status == 409);
    BOOST_TEST(conflicting->json()["error"]["entry"] == "classes/notes");
    BOOST_TEST(conflicting->json()["error"]["winner"] == id);
    BOOST_REQUIRE(cluster.run_until([&] {
        auto const response =
            cluster.from().get(cluster.port(1), "moruga-key", "/v1/in-force");
        wait_until_ended(response);
        return response->json()["agree"] == true &&
               response->json()["daemons"].size() == 3;
    }));
}

BOOST_AUTO_TEST_CASE(every_daemon_reports_the_same_shares)
{
    for (int i = 0; i < 6; ++i) {
        wait_until_ended(cluster.from().chat(
            cluster.port(i % 3), i % 2 == 0 ? "coteau-key" : "moruga-key",
            "share #tokens=30"));
    }
    std::set<std::string> distinct_shares;
    for (std::size_t i = 0; i < 3; ++i) {
        auto const response =
            cluster.from().get(cluster.port(i), "moruga-key", "/v1/shares");
        wait_until_ended(response);
        BOOST_TEST(response->json()["daemons_answered"] == 3);
        distinct_shares.insert(response->json()["organisations"].dump());
        for (auto const& entry : response->json()["organisations"]) {
            BOOST_TEST(entry["served_tokens"] == 90);
        }
    }
    BOOST_TEST(distinct_shares.size() == 1U);
}

// Requests keep arriving at a daemon while it drains. It must leave the list
// of daemons, and every response must be complete.
BOOST_AUTO_TEST_CASE(draining_under_load_cuts_off_no_response)
{
    std::vector<std::pair<std::string, answer_pointer>> sent;
    auto const send = [&](std::size_t daemon, int number) {
        auto const prompt = "drain " + std::to_string(number) + " #tokens=150";
        sent.emplace_back(prompt, cluster.from().chat(cluster.port(daemon),
                                                      "coteau-key", prompt));
    };
    for (int i = 0; i < 18; ++i) {
        send(i % 3, i);
    }
    cluster.run_for(std::chrono::milliseconds{100});
    std::optional<bool> clean;
    cluster.daemon_at(1).drain(
        [&](bool drained_cleanly) { clean = drained_cleanly; });
    for (int i = 18; i < 30; ++i) {
        send(i % 3, i);
        cluster.run_for(std::chrono::milliseconds{10});
    }
    BOOST_REQUIRE(cluster.run_until([&] { return clean.has_value(); }));
    BOOST_TEST(*clean);
    auto const daemon_list =
        cluster.from().get(cluster.port(0), "coteau-key", "/v1/entries");
    wait_until_ended(daemon_list);
    for (auto const& entry : daemon_list->json()["entries"]) {
        BOOST_TEST(entry["id"] != "daemon-1");
    }
    for (auto const& [prompt, response] : sent) {
        wait_until_ended(response);
        BOOST_TEST(response->whole());
        BOOST_TEST(response->text() == standins::expected_answer(prompt));
    }
}

// A request whose prompt crashes engines is sent repeatedly. At most 3 engines
// may crash before it is refused with status 422, and other requests must
// succeed meanwhile.
BOOST_AUTO_TEST_CASE(
    a_request_that_crashes_engines_is_refused_after_three_crashes)
{
    for (std::size_t i = 0; i < cluster.engines(); ++i) {
        cluster.engine(i).set(
            {.crash_marker = "poison",
             .restart_after = std::chrono::milliseconds{300}});
    }
    auto const crashes = [&] {
        std::uint64_t total_crashes = 0;
        for (std::size_t i = 0; i < cluster.engines(); ++i) {
            total_crashes += cluster.engine(i).crashes();
        }
        return total_crashes;
    };
    std::vector<std::pair<std::string, answer_pointer>> harmless;
    int refused = 0;
    for (int round = 0; round < 10; ++round) {
        auto const prompt = "fine " + std::to_string(round) + " #tokens=60";
        harmless.emplace_back(
            prompt, cluster.from().chat(cluster.port(round % 3), "moruga-key",
                                        prompt, {}, false));
        auto const crashing = cluster.from().chat(
            cluster.port(round % 3), "coteau-key", "poison #tokens=60");
        wait_until_ended(crashing);
        BOOST_TEST(!crashing->whole());
        refused += crashing->status == 422 ? 1 : 0;
        cluster.run_for(std::chrono::milliseconds{500});
    }
    BOOST_TEST(crashes() <= 3U);
    BOOST_TEST(refused >= 7);
    for (auto const& [prompt, response] : harmless) {
        wait_until_ended(response);
        BOOST_TEST(response->status == 200);
        BOOST_TEST(response->body.find(standins::expected_answer(prompt)) !=
                   std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
