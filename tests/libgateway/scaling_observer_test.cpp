// What the holder of the duties knows of the services that it orders servers
// for.

#include <medlarstall/gateway/scaling_observer.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarstall;
using namespace medlarstall::gateway;
using namespace std::chrono_literals;

namespace {

struct observed_service
{
    observed_service()
    {
        routes::configuration configuration;
        routes::route route;
        route.objective = 1000ms;
        route.services = {{"model", 1}};
        configuration.routes.push_back(route);
        route.objective = 500ms;
        configuration.routes.push_back(route);
        routes::service service{"model", "/", routes::engine{64, 0, 1, 0, 0},
                                routes::autoscaling{}};
        service.scaling->prices = {{"a", 1.0}, {"b", 1.0}};
        configuration.services.push_back(service);
        configuration.services.push_back({"other", "/", {}, {}});
        table = std::make_shared<routes::route_table const>(configuration);
        servers.set_routes(table);
    }

    void list(std::string const& id, std::string const& data_centre,
              bool reclaimable = false, bool draining = false,
              std::optional<std::chrono::milliseconds> time_left = {})
    {
        dispatch::backend_server_entry entry;
        entry.id = id;
        entry.service = "model";
        entry.address = "10.0.0.1:80";
        entry.data_centre = data_centre;
        entry.slots = 64;
        entry.reclaimable = reclaimable;
        entry.draining = draining;
        entry.time_left = time_left;
        entry.sequence = ++sequence;
        servers.apply(entry, now);
    }

    duty::service_sample sample(dispatch::fleet_cell cell = {}) const
    {
        auto const all = scaling_observer{servers}.sample(*table, cell, now);
        BOOST_REQUIRE(all.size() == 1U);
        return all.front();
    }

    time_point now = time_point{} + 1h;
    std::uint64_t sequence = 0;
    std::shared_ptr<routes::route_table const> table;
    dispatch::dispatcher servers{{}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(scaling_observer_suite)

// Guards against counting servers that leave or fail as servers that serve, and
// against new streams on servers that are reclaimed.
BOOST_FIXTURE_TEST_CASE(servers_are_counted_by_kind_and_state, observed_service)
{
    list("1", "a");
    list("2", "a", true);
    list("3", "a", true, true, 1500ms);
    list("4", "b", true, true); // Drains by an order.
    list("5", "b", false, true, 1500ms);
    list("6", "b");
    servers.health_tracker_of("6")->on_unreachable(now);
    list("7", "b");
    servers.on_leaving("7", now);
    auto const counts = sample().data_centres;
    BOOST_TEST(counts.at("a").regular.up == 1U);
    BOOST_TEST(counts.at("a").reclaimable.up == 1U);
    BOOST_TEST(counts.at("a").reclaimable.reclaimed == 1U);
    BOOST_TEST(counts.at("b").reclaimable.draining == 1U);
    BOOST_TEST(counts.at("b").regular.draining == 2U);
    BOOST_TEST(counts.at("b").regular.failing == 1U);
    for (std::uint64_t hash = 0; hash < 20; ++hash) {
        dispatch::placement_request request;
        request.service = "model";
        request.tie_break_hash = hash;
        auto const chosen = servers.choose(request, now);
        BOOST_REQUIRE(chosen.has_value());
        BOOST_TEST(chosen->backend_server != "3");
    }
}

// Guards against a demand that leaves out the load of other daemons, or which
// of slots and prefill is scarcer.
BOOST_FIXTURE_TEST_CASE(demand_is_that_of_the_whole_fleet, observed_service)
{
    list("1", "a");
    list("2", "b");
    servers.merge_loads("10.0.0.2:1", {{"1", {32, 0, 0, 0, 0}}}, now);
    servers.merge_loads("10.0.0.3:1", {{"2", {64, 0, 0, 0, 0}}}, now);
    BOOST_TEST(sample().demand == 1.5);
    servers.merge_loads("10.0.0.3:1", {{"2", {64, 80000, 0, 0, 0}}}, now);
    BOOST_TEST(sample().demand == 2.0); // 40 tokens/ms within 1,000 ms.
}

// Guards against a demand of one cell that is taken for that of all.
BOOST_FIXTURE_TEST_CASE(load_of_other_cells_is_assumed, observed_service)
{
    for (int index = 0; index < 64; ++index) {
        auto const id = "s" + std::to_string(index);
        list(id, "a");
        servers.merge_loads("10.0.0.2:1" + id, {{id, {16, 0, 0, 0, 0}}}, now);
    }
    BOOST_TEST(sample().demand == 16.0);
    BOOST_TEST(sample({2, 0}).demand == 16.0);
    BOOST_TEST(sample({2, 1}).demand == 16.0);
}

BOOST_AUTO_TEST_SUITE_END()
