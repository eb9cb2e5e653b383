#include <medlarstall/standins/text_model.hpp>
#include <medlarstall/tests/test_cluster.hpp>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace medlarstall;
using namespace medlarstall::tests;

namespace {

struct fixture
{
    fixture() { BOOST_REQUIRE(cluster.start()); }

    void wait(answer_pointer const& got)
    {
        BOOST_REQUIRE(cluster.run_until([&] { return got->ended(); }));
    }

    test_cluster cluster;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(fleet_path_suite, fixture)

BOOST_AUTO_TEST_CASE(every_daemon_reaches_every_backend_server)
{
    std::set<std::string> daemons;
    std::set<std::string> servers;
    std::vector<std::pair<std::string, answer_pointer>> sent;
    for (int i = 0; i < 60; ++i) {
        auto const prompt = "estimate " + std::to_string(i) + " #tokens=20";
        sent.emplace_back(prompt, cluster.from().chat(cluster.port(i % 3),
                                                      "coteau-key", prompt));
    }
    for (auto const& [prompt, got] : sent) {
        wait(got);
        BOOST_TEST(got->whole());
        BOOST_TEST(got->text() == standins::expected_answer(prompt));
        daemons.insert(got->field("Medlarstall-Daemon"));
        servers.insert(got->field("Medlarstall-Backend-Server"));
    }
    BOOST_TEST(daemons.size() == 3U);
    BOOST_TEST(servers.size() == 4U);
}

BOOST_AUTO_TEST_CASE(a_claimed_call_runs_once_whichever_daemon_is_asked)
{
    auto const key = test_cluster::new_key();
    auto const first = cluster.from().call(cluster.port(0), "coteau-key",
                                           "shop-desk/book", "fair 7", key);
    auto const second = cluster.from().call(cluster.port(1), "coteau-key",
                                            "shop-desk/book", "fair 7", key);
    wait(first);
    wait(second);
    auto const third = cluster.from().call(cluster.port(2), "coteau-key",
                                           "shop-desk/book", "fair 7", key);
    wait(third);
    BOOST_TEST(first->status == 200);
    BOOST_TEST(second->status == 200);
    BOOST_TEST(third->body == first->body);
    BOOST_TEST(second->body == first->body);
    unsigned executions = 0;
    for (std::size_t i = 0; i < cluster.services(); ++i) {
        auto const counted = cluster.service(i).executions();
        auto const found = counted.find(key);
        executions += found == counted.end() ? 0 : found->second;
    }
    BOOST_TEST(executions == 1U);
    auto const other = cluster.from().call(cluster.port(0), "coteau-key",
                                           "shop-desk/book", "fair 8", key);
    wait(other);
    BOOST_TEST(other->status == 422);
    auto const without = cluster.from().call(cluster.port(0), "coteau-key",
                                             "shop-desk/book", "fair 8");
    wait(without);
    BOOST_TEST(without->status == 400);
    BOOST_TEST(without->field("Medlarstall-Run") == "not-run");
}

BOOST_AUTO_TEST_CASE(an_answer_comes_whole_though_its_owner_crashes)
{
    std::vector<std::pair<std::string, answer_pointer>> sent;
    for (int i = 0; i < 12; ++i) {
        auto const prompt = "long " + std::to_string(i) + " #tokens=400";
        sent.emplace_back(
            prompt, cluster.from().chat(cluster.port(0), "coteau-key", prompt));
    }
    BOOST_REQUIRE(cluster.run_until([&] {
        return std::ranges::all_of(sent, [](auto const& one) {
            return one.second->body.size() > 3'000;
        });
    }));
    cluster.crash_daemon(1);
    for (auto const& [prompt, got] : sent) {
        wait(got);
        BOOST_TEST(got->whole());
        BOOST_TEST(got->text() == standins::expected_answer(prompt));
    }
}

BOOST_AUTO_TEST_CASE(a_change_is_in_force_everywhere_and_a_conflict_is_named)
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
    auto const won = cluster.publish(cluster.port(0), change(id, 1));
    wait(won);
    BOOST_TEST(won->status == 200);
    auto const again = cluster.publish(cluster.port(1), change(id, 1));
    wait(again);
    BOOST_TEST(again->status == 200);
    auto const lost =
        cluster.publish(cluster.port(2), change(test_cluster::new_key(), 1));
    wait(lost);
    BOOST_TEST(lost->status == 409);
    BOOST_TEST(lost->json()["error"]["entry"] == "classes/notes");
    BOOST_TEST(lost->json()["error"]["winner"] == id);
    BOOST_REQUIRE(cluster.run_until([&] {
        auto const got =
            cluster.from().get(cluster.port(1), "moruga-key", "/v1/in-force");
        wait(got);
        return got->json()["agree"] == true &&
               got->json()["daemons"].size() == 3;
    }));
}

BOOST_AUTO_TEST_CASE(shows_the_same_shares_at_every_daemon)
{
    for (int i = 0; i < 6; ++i) {
        wait(cluster.from().chat(cluster.port(i % 3),
                                 i % 2 == 0 ? "coteau-key" : "moruga-key",
                                 "share #tokens=30"));
    }
    std::set<std::string> seen;
    for (std::size_t i = 0; i < 3; ++i) {
        auto const got =
            cluster.from().get(cluster.port(i), "moruga-key", "/v1/shares");
        wait(got);
        BOOST_TEST(got->json()["daemons_answered"] == 3);
        seen.insert(got->json()["organisations"].dump());
        for (auto const& one : got->json()["organisations"]) {
            BOOST_TEST(one["served_tokens"] == 90);
        }
    }
    BOOST_TEST(seen.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_daemon_drains_under_load_without_a_cut)
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
    cluster.daemon_at(1).drain([&](bool nothing_cut) { clean = nothing_cut; });
    for (int i = 18; i < 30; ++i) {
        send(i % 3, i);
        cluster.run_for(std::chrono::milliseconds{10});
    }
    BOOST_REQUIRE(cluster.run_until([&] { return clean.has_value(); }));
    BOOST_TEST(*clean);
    auto const directory =
        cluster.from().get(cluster.port(0), "coteau-key", "/v1/entries");
    wait(directory);
    for (auto const& one : directory->json()["entries"]) {
        BOOST_TEST(one["id"] != "daemon-1");
    }
    for (auto const& [prompt, got] : sent) {
        wait(got);
        BOOST_TEST(got->whole());
        BOOST_TEST(got->text() == standins::expected_answer(prompt));
    }
}

BOOST_AUTO_TEST_CASE(a_request_that_crashes_engines_is_refused_after_three)
{
    for (std::size_t i = 0; i < cluster.engines(); ++i) {
        cluster.engine(i).set(
            {.crash_marker = "poison",
             .restart_after = std::chrono::milliseconds{300}});
    }
    auto const crashes = [&] {
        std::uint64_t sum = 0;
        for (std::size_t i = 0; i < cluster.engines(); ++i) {
            sum += cluster.engine(i).crashes();
        }
        return sum;
    };
    std::vector<std::pair<std::string, answer_pointer>> innocent;
    int refused = 0;
    for (int round = 0; round < 10; ++round) {
        auto const prompt = "fine " + std::to_string(round) + " #tokens=60";
        innocent.emplace_back(
            prompt, cluster.from().chat(cluster.port(round % 3), "moruga-key",
                                        prompt, {}, false));
        auto const culprit = cluster.from().chat(
            cluster.port(round % 3), "coteau-key", "poison #tokens=60");
        wait(culprit);
        BOOST_TEST(!culprit->whole());
        refused += culprit->status == 422 ? 1 : 0;
        cluster.run_for(std::chrono::milliseconds{500});
    }
    BOOST_TEST(crashes() <= 3U);
    BOOST_TEST(refused >= 7);
    for (auto const& [prompt, got] : innocent) {
        wait(got);
        BOOST_TEST(got->status == 200);
        BOOST_TEST(got->body.find(standins::expected_answer(prompt)) !=
                   std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
