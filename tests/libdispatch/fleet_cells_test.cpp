// Tests the division of a large fleet into cells, and that placement uses the
// backend servers of its own cell first.

#include <medlarstall/dispatch/dispatcher.hpp>
#include <medlarstall/dispatch/fleet_cells.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <set>

using namespace medlarstall;
using namespace medlarstall::dispatch;

namespace {

constexpr time_point start{std::chrono::hours{1}};

std::vector<std::string> make_names(std::size_t count)
{
    std::vector<std::string> names;
    names.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        names.push_back("10.0.0." + std::to_string(index) + ":7340");
    }
    return names;
}

dispatcher make_dispatcher(std::size_t servers)
{
    dispatcher result{{"dc", {}}};
    for (std::size_t index = 0; index < servers; ++index) {
        backend_server_entry entry;
        entry.id = "server-" + std::to_string(index);
        entry.service = "s";
        entry.address = "10.0.1.1:80";
        entry.data_centre = "dc";
        result.apply(entry, start);
    }
    return result;
}

std::set<std::string> servers_used(dispatcher& target, std::size_t requests)
{
    std::set<std::string> used;
    for (std::size_t index = 0; index < requests; ++index) {
        placement_request request;
        request.service = "s";
        request.tie_break_hash = index;
        auto const chosen = target.choose(request, start);
        BOOST_REQUIRE(chosen.has_value());
        used.insert(chosen->backend_server);
        target.on_sent(request, *chosen, start);
    }
    return used;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_cells_suite)

BOOST_AUTO_TEST_CASE(fleets_are_divided_only_above_the_size_of_a_cell)
{
    BOOST_TEST(cell_count_for(1) == 1U);
    BOOST_TEST(cell_count_for(64) == 1U);
    BOOST_TEST(cell_count_for(100) == 2U);
    BOOST_TEST(cell_count_for(350) == 8U);
}

RC_BOOST_PROP(cell_of_a_daemon_contains_the_daemon, ())
{
    auto const names = make_names(*rc::gen::inRange<std::size_t>(1, 400));
    auto const own = *rc::gen::elementOf(names);
    auto const cell = cell_containing(names, own);
    RC_ASSERT(cell.index < cell.cell_count);
    auto const cell_names = names_in_cell(names, cell);
    RC_ASSERT(std::ranges::find(cell_names, own) != cell_names.end());
    RC_ASSERT(cell_names.size() <= 64U);
}

RC_BOOST_PROP(cells_contain_each_name_once_and_have_equal_sizes, ())
{
    auto const names = make_names(*rc::gen::inRange<std::size_t>(1, 400));
    auto const cells = cell_count_for(names.size());
    std::set<std::string> seen;
    for (std::size_t own = 0; own < cells; ++own) {
        auto const cell_names = names_in_cell(names, {cells, own});
        RC_ASSERT(cell_names.size() >= names.size() / cells);
        RC_ASSERT(cell_names.size() <= names.size() / cells + 1);
        seen.insert(cell_names.begin(), cell_names.end());
    }
    RC_ASSERT(seen.size() == names.size());
}

BOOST_AUTO_TEST_CASE(few_names_change_their_cell_when_one_is_removed)
{
    auto const before = make_names(300);
    auto after = before;
    after.erase(after.begin() + 17);
    std::size_t moved = 0;
    for (auto const& name : after) {
        moved += cell_containing(before, name) == cell_containing(after, name)
                     ? 0
                     : 1;
    }
    BOOST_TEST(moved <= 8U);
}

BOOST_AUTO_TEST_CASE(small_services_are_divided_into_fewer_parts)
{
    BOOST_TEST((service_cell({8, 5}, 1000) == fleet_cell{8, 5}));
    BOOST_TEST((service_cell({8, 5}, 80) == fleet_cell{2, 1}));
    BOOST_TEST((service_cell({8, 5}, 4) == fleet_cell{1, 0}));
}

BOOST_AUTO_TEST_CASE(daemon_uses_the_backend_servers_of_its_cell)
{
    std::set<std::string> all;
    for (std::size_t own = 0; own < 4; ++own) {
        auto target = make_dispatcher(400);
        target.set_cell({4, own});
        auto const used = servers_used(target, 300);
        BOOST_TEST(used.size() == 100U);
        all.insert(used.begin(), used.end());
    }
    BOOST_TEST(all.size() == 400U);
}

BOOST_AUTO_TEST_CASE(
    servers_of_other_cells_are_used_if_all_of_the_own_cell_are_down)
{
    auto target = make_dispatcher(400);
    target.set_cell({4, 2});
    for (auto const& id : servers_used(target, 300)) {
        target.health_tracker_of(id)->on_unreachable(start);
    }
    auto const used = servers_used(target, 50);
    for (auto const& id : used) {
        BOOST_TEST((target.health_of(id) == health::up));
    }
}

BOOST_AUTO_TEST_SUITE_END()
