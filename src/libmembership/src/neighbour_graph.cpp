#include <medlarstall/membership/neighbour_graph.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace medlarstall::membership {

neighbour_graph::neighbour_graph(std::vector<std::string> const& daemons,
                                 std::size_t ring_count)
{
    std::map<std::string, std::set<std::string>> neighbour_sets;
    for (std::size_t ring = 0; ring < ring_count && daemons.size() > 1;
         ++ring) {
        std::vector<std::pair<std::uint64_t, std::string>> order;
        order.reserve(daemons.size());
        for (auto const& daemon : daemons) {
            order.emplace_back(hash64(daemon, ring), daemon);
        }
        std::ranges::sort(order);
        for (std::size_t i = 0; i < order.size(); ++i) {
            auto const& current = order[i].second;
            auto const& next = order[(i + 1) % order.size()].second;
            neighbour_sets[current].insert(next);
            neighbour_sets[next].insert(current);
        }
    }
    for (auto const& [daemon, neighbours] : neighbour_sets) {
        neighbours_[daemon].assign(neighbours.begin(), neighbours.end());
    }
}

std::vector<std::string> const&
neighbour_graph::neighbours(std::string const& daemon) const
{
    static std::vector<std::string> const none;
    auto const found = neighbours_.find(daemon);
    return found == neighbours_.end() ? none : found->second;
}

} // namespace medlarstall::membership
