#ifndef MEDLARSTALL_MEMBERSHIP_AGGREGATION_TREE_HPP
#define MEDLARSTALL_MEMBERSHIP_AGGREGATION_TREE_HPP

#include <medlarstall/membership/instances.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace medlarstall::membership {

/// The links of one daemon in the aggregation tree, over which the daemons
/// exchange usage counts, loads and catalogue versions. All members hold
/// daemon ids.
struct tree_position
{
    std::string parent;                ///< Empty at the root of a data centre.
    std::vector<std::string> children; ///< Sorted.
    std::vector<std::string> peer_roots; ///< Roots of the other data centres,
                                         ///< sorted; empty unless this daemon
                                         ///< is a root itself.

    /// \return ids of all daemons with a direct link to this one, sorted
    [[nodiscard]] std::vector<std::string> links() const;
    bool operator==(tree_position const&) const = default;
};

/// Upper limit for the aggregators of a data centre, the daemons between its
/// root and the leaves.
inline constexpr std::size_t max_aggregators = 6;

/// Computes the links of a daemon in the aggregation tree. Each data centre
/// has one root. Below the root are a few aggregators, among which the other
/// daemons of the data centre are distributed by hash. Every root is linked to
/// every other root. The result depends only on the set of daemons, and the
/// loss of one daemon changes only the links of its neighbours.
/// \param daemons live daemons, in any order
/// \param self id of the daemon to place
/// \return links of \p self; empty if \p daemons does not contain it
[[nodiscard]] tree_position
place_in_tree(std::vector<daemon_info> const& daemons, std::string const& self);

} // namespace medlarstall::membership

#endif
