#include "fleet_lists.hpp"
#include "print.hpp"

#include <medlarstall/membership/aggregation_tree.hpp>
#include <medlarstall/membership/ownership.hpp>
#include <medlarstall/membership/subset.hpp>

#include <algorithm>

namespace medlarstall::bench {

namespace {

using namespace membership;

constexpr std::size_t data_centres = 8;
constexpr std::size_t groups = 29;

template<class Action>
double milliseconds_of(Action action)
{
    auto const start = processor_seconds();
    action();
    return (processor_seconds() - start) * 1e3;
}

void measure_moves(std::string const& where,
                   std::vector<daemon_info> const& daemons,
                   std::vector<backend_server_info> const& servers,
                   owner_map const& owners)
{
    double moved = 0;
    double orphans = 0;
    double rounds = 0;
    auto const step = std::max<std::size_t>(1, daemons.size() / 20);
    for (std::size_t lost = 0; lost < daemons.size(); lost += step) {
        auto left = daemons;
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(lost));
        auto const after = assign_owners(left, servers);
        for (auto const& [server, owner] : owners) {
            moved += after.at(server) != owner ? 1 : 0;
            orphans += owner == daemons[lost].id ? 1 : 0;
        }
        rounds += 1;
    }
    print(where, "servers_moved_by_a_lost_daemon", moved / rounds, "servers");
    print(where, "servers_of_a_lost_daemon", orphans / rounds, "servers");
}

void measure_size(std::size_t count, std::size_t server_count)
{
    auto const where = "daemons=" + std::to_string(count) +
                       " backend_servers=" + std::to_string(server_count);
    auto const daemons = make_daemons(count, data_centres);
    auto const servers = make_servers(server_count, groups, data_centres);
    owner_map owners;
    print(where, "assign_owners",
          milliseconds_of([&] { owners = assign_owners(daemons, servers); }),
          "ms");
    std::map<std::string, std::size_t> loads;
    double near = 0;
    for (auto const& server : servers) {
        auto const& owner = owners.at(server.id);
        ++loads[owner];
        near += std::ranges::any_of(daemons, [&](daemon_info const& daemon) {
            return daemon.id == owner &&
                   daemon.data_centre == server.data_centre;
        });
    }
    std::size_t most = 0;
    for (auto const& [owner, load] : loads) {
        most = std::max(most, load);
    }
    print(where, "most_servers_of_a_daemon", static_cast<double>(most),
          "servers");
    print(where, "owned_in_the_same_data_centre",
          near / static_cast<double>(server_count), "part");
    measure_moves(where, daemons, servers, owners);

    subset_map subsets;
    print(where, "choose_subsets",
          milliseconds_of([&] { subsets = choose_subsets(daemons, servers); }),
          "ms");
    std::size_t received = 0;
    std::size_t total = 0;
    for (auto const& [entry, ids] : subsets) {
        received = std::max(received, ids.size());
        total += ids.size();
    }
    print(where, "most_summaries_received", static_cast<double>(received),
          "servers");
    print(where, "mean_summaries_received",
          static_cast<double>(total) / static_cast<double>(count), "servers");
    std::size_t links = 0;
    for (auto const& daemon : daemons) {
        links =
            std::max(links, place_in_tree(daemons, daemon.id).links().size());
    }
    print(where, "most_links_in_the_tree", static_cast<double>(links), "links");
}

} // namespace

void measure_assignments()
{
    for (std::size_t const count : {5U, 20U, 50U, 100U, 350U}) {
        measure_size(count, std::max<std::size_t>(14, count * 930 / 350));
    }
}

} // namespace medlarstall::bench
