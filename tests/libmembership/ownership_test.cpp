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

std::map<std::string, std::size_t> loads(owner_map const& owners)
{
    std::map<std::string, std::size_t> counts;
    for (auto const& [server, owner] : owners) {
        ++counts[owner];
    }
    return counts;
}

std::size_t moved(owner_map const& before, owner_map const& after)
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

RC_BOOST_PROP(gives_each_server_one_owner_within_the_bound, (unsigned seed))
{
    auto const daemons = make_daemons(*rc::gen::inRange<std::size_t>(1, 60),
                                      *rc::gen::inRange<std::size_t>(1, 5));
    auto const servers = make_servers(*rc::gen::inRange<std::size_t>(1, 200), 3,
                                      *rc::gen::inRange<std::size_t>(1, 5));
    auto const owners = assign_owners(daemons, servers);
    RC_ASSERT(owners.size() == servers.size());
    auto const mean = static_cast<double>(servers.size()) /
                      static_cast<double>(daemons.size());
    auto const bound =
        std::max<std::size_t>(1, std::size_t(std::ceil(1.25 * mean)));
    for (auto const& [owner, count] : loads(owners)) {
        RC_ASSERT(count <= bound);
    }
    RC_ASSERT(owners ==
              assign_owners(shuffled(daemons, seed), shuffled(servers, seed)));
}

BOOST_AUTO_TEST_CASE(a_lost_daemon_moves_little)
{
    auto const daemons = make_daemons(350, 8);
    auto const servers = make_servers(930, 29, 8);
    auto const before = assign_owners(daemons, servers);
    std::size_t total = 0;
    std::size_t orphans = 0;
    for (std::size_t lost = 0; lost < 350; lost += 7) {
        auto left = daemons;
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(lost));
        total += moved(before, assign_owners(left, servers));
        orphans += loads(before)[daemons[lost].id];
    }
    // The servers of the lost daemons must move; the bound moves few others.
    BOOST_TEST(total >= orphans);
    BOOST_TEST(total <= orphans * 2);
}

BOOST_AUTO_TEST_CASE(prefers_the_same_data_centre)
{
    auto const daemons = make_daemons(40, 4);
    auto const servers = make_servers(120, 3, 4);
    std::size_t near = 0;
    for (auto const& [server, owner] : assign_owners(daemons, servers)) {
        auto const s = std::stoul(server.substr(6));
        auto const d = std::stoul(owner.substr(6));
        near += s % 4 == d % 4 ? 1 : 0;
    }
    BOOST_TEST(near >= 80U);
}

BOOST_AUTO_TEST_CASE(leaving_daemons_own_nothing)
{
    auto daemons = make_daemons(3, 1);
    daemons[1].leaving = true;
    auto const servers = make_servers(10, 1, 1);
    BOOST_TEST(loads(assign_owners(daemons, servers)).size() == 2U);
    daemons[0].leaving = daemons[2].leaving = true;
    BOOST_TEST(assign_owners(daemons, servers).size() == 10U);
    BOOST_TEST(assign_owners({}, servers).empty());
}

RC_BOOST_PROP(subsets_reach_every_group_and_cover_every_server, (unsigned seed))
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

BOOST_AUTO_TEST_CASE(summaries_keep_their_budget)
{
    using namespace std::chrono_literals;
    BOOST_TEST((summary_interval(560) == 500ms));
    BOOST_TEST((summary_interval(12'000) == 10'000ms));
    BOOST_TEST((summary_interval(100'000) == 15'000ms));
}

BOOST_AUTO_TEST_CASE(subsets_do_not_grow_with_the_product)
{
    auto const subsets =
        choose_subsets(make_daemons(350, 8), make_servers(930, 29, 8));
    std::size_t most = 0;
    for (auto const& [entry, ids] : subsets) {
        most = std::max(most, ids.size());
    }
    BOOST_TEST(most < 29U * 4U + 40U);
}

RC_BOOST_PROP(the_tree_joins_all_daemons, ())
{
    auto const daemons = make_daemons(*rc::gen::inRange<std::size_t>(1, 120),
                                      *rc::gen::inRange<std::size_t>(1, 8));
    std::map<std::string, tree_position> positions;
    std::size_t links = 0;
    std::set<std::string> centres;
    for (auto const& daemon : daemons) {
        positions[daemon.id] = place_in_tree(daemons, daemon.id);
        links += positions[daemon.id].children.size();
        centres.insert(daemon.data_centre);
    }
    // As many links as a tree in each data centre has, and each end knows.
    RC_ASSERT(links == daemons.size() - centres.size());
    for (auto const& [id, position] : positions) {
        for (auto const& child : position.children) {
            RC_ASSERT(positions.at(child).parent == id);
        }
        if (position.parent.empty()) {
            RC_ASSERT(position.roots.size() == centres.size() - 1);
        }
        auto depth = 0;
        for (auto at = id; !positions.at(at).parent.empty(); ++depth) {
            at = positions.at(at).parent;
        }
        RC_ASSERT(depth <= 2);
    }
}

BOOST_AUTO_TEST_SUITE_END()
