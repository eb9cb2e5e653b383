#include <medlarstall/placement/placement_planner.hpp>
#include <medlarstall/placement/replica_target.hpp>
#include <medlarstall/placement/wanted_placement.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <deque>
#include <memory>

using namespace medlarstall;
using namespace medlarstall::placement;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1h};
placement_item const model_item{order_kind::load_model, "loom", {}};

/// The placement log, engines that ignore or check fencing numbers, and the
/// planners of daemons that may all believe to be the owner.
struct placement_world
{
    struct engine
    {
        bool checks_fencing = true;
        std::uint64_t highest = 0;
        std::deque<engine_order> taken;
        engine_report report;
    };

    explicit placement_world(std::size_t daemons,
                             std::chrono::milliseconds order_retry = 120s)
    {
        read.resize(daemons);
        for (std::size_t i = 0; i < daemons; ++i) {
            planners.emplace_back(
                planner_settings{.daemon = "daemon" + std::to_string(i),
                                 .instance = "1",
                                 .order_retry = order_retry});
        }
    }

    void own(std::size_t daemon, std::vector<std::string> const& ids)
    {
        std::vector<owned_engine> owned;
        owned.reserve(ids.size());
        for (auto const& id : ids) {
            owned.push_back({id, engines.at(id).checks_fencing, {item}});
        }
        planners[daemon].set_engines(std::move(owned), now);
    }

    void step(std::size_t daemon)
    {
        auto& planner = planners[daemon];
        for (; !log_down && read[daemon] < log.size(); ++read[daemon]) {
            auto const& [written, value] = log[read[daemon]];
            auto const record = parse_placement_record(value);
            BOOST_REQUIRE(!failed(record));
            planner.on_record(read[daemon], value_of(record), written, now);
        }
        auto const actions = planner.tick(now);
        for (auto const& record : actions.appends) {
            log.emplace_back(wall_time{1h} +
                                 std::chrono::milliseconds{(now - start) / 1ms},
                             to_json(record));
        }
        for (auto const& order : actions.orders) {
            send(daemon, order);
        }
        decisions += actions.decisions.size();
    }

    void send(std::size_t daemon, engine_order const& order)
    {
        auto& one = engines.at(order.backend_server);
        if (one.checks_fencing && order.fencing < one.highest) {
            planners[daemon].on_refused(order.backend_server);
            return;
        }
        one.highest = std::max(one.highest, order.fencing);
        one.taken.push_back(order);
        order_times.emplace_back(now, daemon);
        if (take_effect) {
            one.report.models.insert(order.item.model);
        }
    }

    void run(std::chrono::milliseconds time,
             std::vector<std::size_t> const& daemons)
    {
        for (auto const end = now + time; now < end; now += 100ms) {
            for (auto const daemon : daemons) {
                step(daemon);
                for (auto const& [id, one] : engines) {
                    planners[daemon].on_report(id, one.report, now);
                }
            }
        }
    }

    [[nodiscard]] std::size_t taken(std::string const& id) const
    {
        return engines.at(id).taken.size();
    }

    std::map<std::string, engine> engines;
    std::vector<placement_planner> planners;
    std::vector<std::size_t> read;
    std::deque<std::pair<wall_time, nlohmann::json>> log;
    std::vector<std::pair<time_point, std::size_t>> order_times;
    std::size_t decisions = 0;
    bool take_effect = true;
    bool log_down = false; ///< For reading.
    placement_item item = model_item;
    time_point now = start;
};

} // namespace

BOOST_AUTO_TEST_SUITE(placement_planner_suite)

BOOST_AUTO_TEST_CASE(orders_once_and_stops_when_the_report_shows_it)
{
    placement_world world{1};
    world.engines["a"];
    world.own(0, {"a"});
    world.run(4s, {0});
    BOOST_TEST(world.log.empty()); // It may still settle by itself.
    world.run(300s, {0});
    BOOST_TEST(world.taken("a") == 1U);
    BOOST_TEST(world.engines["a"].taken[0].fencing == 0U);
    BOOST_TEST(world.decisions >= 1U);
    BOOST_TEST(world.decisions <= 3U);
    world.engines["a"].report.models.clear(); // The engine restarted.
    world.run(30s, {0});
    BOOST_TEST(world.taken("a") == 2U);
}

BOOST_AUTO_TEST_CASE(repeats_an_order_that_has_no_effect)
{
    placement_world world{1};
    world.engines["a"];
    world.take_effect = false;
    world.own(0, {"a"});
    world.run(140s, {0});
    BOOST_TEST(world.taken("a") == 2U);
    BOOST_TEST(world.engines["a"].taken[0].order_id !=
               world.engines["a"].taken[1].order_id);
}

BOOST_AUTO_TEST_CASE(an_old_owner_is_fenced_off)
{
    placement_world world{2};
    world.engines["a"];
    world.take_effect = false;
    world.own(0, {"a"});
    world.run(10s, {0});
    BOOST_TEST(world.taken("a") == 1U);
    world.own(1, {"a"}); // Daemon 0 is paused and still believes to own it.
    world.run(20s, {1});
    BOOST_TEST(world.taken("a") == 2U);
    auto const newest = world.engines["a"].highest;
    world.planners[0].tick(world.now); // Wakes without reading the log.
    auto const late = world.planners[0].tick(world.now + 120s);
    for (auto const& order : late.orders) {
        BOOST_TEST(order.fencing < newest);
    }
}

/// An engine that ignores fencing numbers never gets an order of a daemon
/// while another one's lease may last, whatever pauses there are.
RC_BOOST_PROP(leases_do_not_overlap, ())
{
    placement_world world{3, 5s};
    world.item = {order_kind::set_role, {}, "prefill"}; // Waits for no turn.
    world.engines["a"].checks_fencing = false;
    world.take_effect = false;
    for (std::size_t i = 0; i < 3; ++i) {
        world.own(i, {"a"});
    }
    for (int i = *rc::gen::inRange(1, 12); i > 0; --i) {
        world.log_down =
            *rc::gen::weightedElement<bool>({{2, false}, {1, true}});
        auto const mask = *rc::gen::inRange(0U, 8U);
        std::vector<std::size_t> running;
        for (std::size_t daemon = 0; daemon < 3; ++daemon) {
            if ((mask >> daemon & 1U) != 0) {
                running.push_back(daemon);
            }
        }
        world.run(1s * *rc::gen::inRange(1, 90), running);
    }
    for (std::size_t i = 1; i < world.order_times.size(); ++i) {
        auto const [before, first] = world.order_times[i - 1];
        auto const [after, second] = world.order_times[i];
        RC_ASSERT(first == second || after - before >= 10s);
    }
}

BOOST_AUTO_TEST_CASE(a_new_owner_waits_for_the_former_lease)
{
    placement_world world{2};
    world.engines["a"].checks_fencing = false;
    world.take_effect = false;
    world.own(0, {"a"});
    world.run(10s, {0});
    BOOST_TEST(world.taken("a") == 1U);
    world.own(1, {"a"});
    auto const stopped = world.now;
    world.run(38s, {1});
    BOOST_TEST(world.taken("a") == 1U);
    world.run(20s, {1});
    BOOST_TEST(world.taken("a") == 2U);
    BOOST_TEST((world.order_times[1].first - stopped >= 40s));
}

BOOST_AUTO_TEST_CASE(the_fleet_keeps_the_rate_of_the_weight_store)
{
    placement_world world{4};
    for (std::size_t daemon = 0; daemon < 4; ++daemon) {
        std::vector<std::string> ids;
        for (unsigned i = 0; i < 5; ++i) {
            ids.push_back("e" + std::to_string(daemon) + std::to_string(i));
            world.engines[ids.back()];
        }
        world.own(daemon, ids);
    }
    world.run(200s, {0, 1, 2, 3});
    BOOST_TEST(world.order_times.size() == 20U);
    for (std::size_t i = 1; i < world.order_times.size(); ++i) {
        // Readings of the log differ by one step between daemons.
        BOOST_TEST(
            (world.order_times[i].first - world.order_times[i - 1].first >=
             4900ms));
    }
}

BOOST_AUTO_TEST_CASE(replicas_follow_demand_with_hysteresis)
{
    replica_target target{{}};
    BOOST_TEST(target.update(0.5, 2, 8, start) == 2U);
    BOOST_TEST(target.update(0.9, 2, 8, start + 1s) == 2U);
    BOOST_TEST(target.update(0.7, 2, 8, start + 10s) == 2U);
    BOOST_TEST(target.update(0.9, 2, 8, start + 11s) == 2U);
    BOOST_TEST(target.update(0.9, 2, 8, start + 26s) == 3U);
    BOOST_TEST(target.update(0.9, 2, 8, start + 30s) == 3U);
    BOOST_TEST(target.update(0.3, 2, 8, start + 31s) == 3U);
    BOOST_TEST(target.update(0.3, 2, 8, start + 331s) == 2U);
    BOOST_TEST(target.update(0.3, 2, 8, start + 900s) == 2U);
    BOOST_TEST(target.update(0.9, 2, 1, start + 901s) == 1U);
}

BOOST_AUTO_TEST_CASE(one_more_replica_moves_nothing)
{
    catalogue::catalogue entries;
    entries.groups["g"] = {{.name = "g", .owner = "o"}, 1, {}};
    entries.groups["g"].value.roles = {{"prefill", 3}, {"decode", 2}};
    entries.models["m"] = {{.name = "m",
                            .owner = "o",
                            .version = "2",
                            .adapters = {"x"},
                            .group = "g",
                            .replicas = 3},
                           1,
                           {}};
    std::vector<membership::backend_server_info> servers;
    servers.reserve(10);
    for (unsigned i = 0; i < 10; ++i) {
        servers.push_back({.id = "r" + std::to_string(i), .group = "g"});
    }
    auto const holders = [&](replica_map const& replicas) {
        std::set<std::string> ids;
        for (auto const& [id, items] :
             wanted_placement(entries, servers, replicas)) {
            if (items.contains({order_kind::load_model, "m", {}})) {
                BOOST_TEST(
                    items.contains({order_kind::load_version, "m", "2"}));
                BOOST_TEST(
                    items.contains({order_kind::load_adapter, "m", "x"}));
                ids.insert(id);
            }
        }
        return ids;
    };
    auto const three = holders({});
    auto const four = holders({{"m", 4}});
    BOOST_TEST(three.size() == 3U);
    BOOST_TEST(four.size() == 4U);
    BOOST_TEST(std::ranges::includes(four, three));
    for (auto& server : servers) {
        server.leaving = server.id == *three.begin();
    }
    auto const after = holders({});
    BOOST_TEST(after.size() == 3U);
    BOOST_TEST(!after.contains(*three.begin()));
    std::size_t roles = 0;
    for (auto const& [id, items] : wanted_placement(entries, servers, {})) {
        roles += items.contains({order_kind::set_role, {}, "prefill"}) ? 1 : 0;
        roles += items.contains({order_kind::set_role, {}, "decode"}) ? 1 : 0;
    }
    BOOST_TEST(roles == 5U);
}

BOOST_AUTO_TEST_CASE(refuses_malformed_records)
{
    using nlohmann::json;
    for (auto const& value :
         {json{}, json{{"kind", "fence"}}, json{{"kind", 1}, {"daemon", "d"}},
          json{{"kind", "fence"}, {"daemon", "d"}, {"backend_servers", {1}}},
          json{{"kind", "other"}, {"daemon", "d"}},
          json{{"kind", "ticket"}, {"daemon", "d"}}}) {
        BOOST_TEST(failed(parse_placement_record(value)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
