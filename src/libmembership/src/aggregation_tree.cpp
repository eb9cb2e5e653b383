#include <medlarstall/membership/aggregation_tree.hpp>

#include "rendezvous.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace medlarstall::membership {

namespace {

/// Hash and id of a daemon.
using ranked_daemon = std::pair<std::uint64_t, std::string>;

/// The daemons of a data centre. The first one is its root, followed by the
/// aggregators and then by all others.
using ranked_daemons = std::vector<ranked_daemon>;

/// Up to this size, a data centre has no aggregators and all daemons are
/// children of the root.
constexpr std::size_t max_flat_size = max_aggregators + 2;

std::map<std::string, ranked_daemons>
rank_daemons(std::vector<daemon_info> const& daemons)
{
    std::map<std::string, ranked_daemons> ranked;
    for (auto const& daemon : daemons) {
        ranked[daemon.data_centre].emplace_back(hash64(daemon.id), daemon.id);
    }
    for (auto& [data_centre, members] : ranked) {
        std::ranges::sort(members, std::greater<>{});
    }
    return ranked;
}

bool is_flat(ranked_daemons const& members)
{
    return members.size() <= max_flat_size;
}

std::string const& parent_of(ranked_daemons const& members, std::size_t index)
{
    if (is_flat(members) || index <= max_aggregators) {
        return members.front().second;
    }
    auto const score = [&](std::size_t aggregator) {
        return mix_hashes(members[index].first, members[aggregator].first);
    };
    std::size_t best = 1;
    for (std::size_t i = 2; i <= max_aggregators; ++i) {
        best = score(i) > score(best) ? i : best;
    }
    return members[best].second;
}

} // namespace

std::vector<std::string> tree_position::links() const
{
    auto all = children;
    all.insert(all.end(), peer_roots.begin(), peer_roots.end());
    if (!parent.empty()) {
        all.push_back(parent);
    }
    std::ranges::sort(all);
    return all;
}

tree_position place_in_tree(std::vector<daemon_info> const& daemons,
                            std::string const& self)
{
    tree_position position;
    auto const ranked = rank_daemons(daemons);
    for (auto const& [data_centre, members] : ranked) {
        auto const found =
            std::ranges::find(members, self, &ranked_daemon::second);
        if (found == members.end()) {
            continue;
        }
        auto const index = static_cast<std::size_t>(found - members.begin());
        if (index > 0) {
            position.parent = parent_of(members, index);
        }
        for (std::size_t i = 1; i < members.size(); ++i) {
            if (i != index && parent_of(members, i) == self) {
                position.children.push_back(members[i].second);
            }
        }
        for (auto const& [other, others] : ranked) {
            if (index == 0 && other != data_centre) {
                position.peer_roots.push_back(others.front().second);
            }
        }
    }
    std::ranges::sort(position.children);
    std::ranges::sort(position.peer_roots);
    return position;
}

} // namespace medlarstall::membership
