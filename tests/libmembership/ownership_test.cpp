#include "fleet_lists.hpp"

#include <medlarstall/membership/aggregation_tree.hpp>
#include <medlarstall/membership/ownership.hpp>
#include <medlarstall/membership/subset.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <set>

using namespace medlarstall::membership;

namespace {

/// Counts the backend servers of each owner.
std::map<std::string, std::size_t> servers_per_owner(owner_map const& owners)
{
    std::map<std::string, std::size_t> counts;
    for (auto const& [server, owner] : owners) {
        ++counts[owner];
    }
    return counts;
}

/// Counts the backend servers whose owner changed.
std::size_t count_moved(owner_map const& before, owner_map const& after)
{
    std::size_t count = 0;
    for (auto const& [server, owner] : before) {
        auto const found = after.find(server);
        count += found != after.end() && found->second != owner ? 1 : 0;
    }
    return count;
}

template<class T>
std::vector<T> shuffled(std::vector<T> items, unsigned seed)
{
    std::shuffle(items.begin(), items.end(), std::mt19937{seed});
    return items;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ownership_suite)

RC_BOOST_PROP(assigns_each_server_within_owner_limit, (unsigned seed))
{
    auto const daemons = make_daemons(*rc::gen::inRange<std::size_t>(1, 60),
                                      *rc::gen::inRange<std::size_t>(1, 5));
    auto const servers = make_servers(*rc::gen::inRange<std::size_t>(1, 200), 3,
                                      *rc::gen::inRange<std::size_t>(1, 5));
    auto const owners = assign_owners(daemons, servers);
    RC_ASSERT(owners.size() == servers.size());
    auto const mean = static_cast<double>(servers.size()) /
                      static_cast<double>(daemons.size());
    auto const owner_limit =
        std::max<std::size_t>(1, std::size_t(std::ceil(1.25 * mean)));
    for (auto const& [owner, count] : servers_per_owner(owners)) {
        RC_ASSERT(count <= owner_limit);
    }
    RC_ASSERT(owners ==
              assign_owners(shuffled(daemons, seed), shuffled(servers, seed)));
}

BOOST_AUTO_TEST_CASE(lost_daemon_moves_few_servers)
{
    auto const daemons = make_daemons(350, 8);
    auto const servers = make_servers(930, 29, 8);
    auto const before = assign_owners(daemons, servers);
    std::size_t total = 0;
    std::size_t servers_of_lost = 0;
    for (std::size_t lost = 0; lost < 350; lost += 7) {
        auto remaining = daemons;
        remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(lost));
        total += count_moved(before, assign_owners(remaining, servers));
        servers_of_lost += servers_per_owner(before)[daemons[lost].id];
    }
    // All backend servers of the lost daemons must move. The owner limit may
    // move a few others.
    BOOST_TEST(total >= servers_of_lost);
    BOOST_TEST(total <= servers_of_lost * 2);
}

BOOST_AUTO_TEST_CASE(prefers_the_same_data_centre)
{
    auto const daemons = make_daemons(40, 4);
    auto const servers = make_servers(120, 3, 4);
    std::size_t same_data_centre = 0;
    for (auto const& [server, owner] : assign_owners(daemons, servers)) {
        auto const s = std::stoul(server.substr(6));
        auto const d = std::stoul(owner.substr(6));
        same_data_centre += s % 4 == d % 4 ? 1 : 0;
    }
    BOOST_TEST(same_data_centre >= 80U);
}

BOOST_AUTO_TEST_CASE(leaving_daemons_own_no_servers)
{
    auto daemons = make_daemons(3, 1);
    daemons[1].leaving = true;
    auto const servers = make_servers(10, 1, 1);
    BOOST_TEST(servers_per_owner(assign_owners(daemons, servers)).size() == 2U);
    daemons[0].leaving = daemons[2].leaving = true;
    BOOST_TEST(assign_owners(daemons, servers).size() == 10U);
    BOOST_TEST(assign_owners({}, servers).empty());
}

RC_BOOST_PROP(subsets_cover_all_groups_and_servers, (unsigned seed))
{
    auto const entries = make_daemons(*rc::gen::inRange<std::size_t>(1, 60), 4);
    auto const servers = make_servers(*rc::gen::inRange<std::size_t>(1, 200),
                                      *rc::gen::inRange<std::size_t>(1, 6), 4);
    auto const subsets = choose_subsets(entries, servers);
    std::map<std::string, std::string> groups;
    std::map<std::string, std::size_t> sizes;
    for (auto const& server : servers) {
        groups[server.id] = server.group;
        ++sizes[server.group];
    }
    RC_ASSERT(subsets.size() == entries.size());
    std::map<std::string, std::size_t> known;
    for (auto const& [entry, ids] : subsets) {
        std::map<std::string, std::size_t> reached;
        for (auto const& id : ids) {
            ++reached[groups.at(id)];
            ++known[id];
        }
        for (auto const& [group, size] : sizes) {
            RC_ASSERT(reached[group] >= std::min<std::size_t>(size, 4));
        }
    }
    for (auto const& server : servers) {
        RC_ASSERT(known[server.id] >= std::min<std::size_t>(entries.size(), 3));
    }
    RC_ASSERT(subsets ==
              choose_subsets(shuffled(entries, seed), shuffled(servers, seed)));
}

BOOST_AUTO_TEST_CASE(summary_interval_keeps_budget)
{
    using namespace std::chrono_literals;
    BOOST_TEST((summary_interval(560) == 500ms));
    BOOST_TEST((summary_interval(12'000) == 10'000ms));
    BOOST_TEST((summary_interval(100'000) == 15'000ms));
}

BOOST_AUTO_TEST_CASE(subset_size_is_limited_in_large_fleet)
{
    auto const subsets =
        choose_subsets(make_daemons(350, 8), make_servers(930, 29, 8));
    std::size_t most = 0;
    for (auto const& [entry, ids] : subsets) {
        most = std::max(most, ids.size());
    }
    BOOST_TEST(most < 29U * 4U + 40U);
}

RC_BOOST_PROP(tree_connects_all_daemons, ())
{
    auto const daemons = make_daemons(*rc::gen::inRange<std::size_t>(1, 120),
                                      *rc::gen::inRange<std::size_t>(1, 8));
    std::map<std::string, tree_position> positions;
    std::size_t links = 0;
    std::set<std::string> data_centres;
    for (auto const& daemon : daemons) {
        positions[daemon.id] = place_in_tree(daemons, daemon.id);
        links += positions[daemon.id].children.size();
        data_centres.insert(daemon.data_centre);
    }
    // Each data centre has as many links as a tree has edges, and both ends of
    // a link know it.
    RC_ASSERT(links == daemons.size() - data_centres.size());
    for (auto const& [id, position] : positions) {
        for (auto const& child : position.children) {
            RC_ASSERT(positions.at(child).parent == id);
        }
        if (position.parent.empty()) {
            RC_ASSERT(position.peer_roots.size() == data_centres.size() - 1);
        }
        auto depth = 0;
        for (auto current = id; !positions.at(current).parent.empty();
             ++depth) {
            current = positions.at(current).parent;
        }
        RC_ASSERT(depth <= 2);
    }
}

BOOST_AUTO_TEST_SUITE_END()
