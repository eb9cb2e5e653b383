#ifndef MEDLARSTALL_MEMBERSHIP_AGGREGATION_TREE_HPP
#define MEDLARSTALL_MEMBERSHIP_AGGREGATION_TREE_HPP

#include <medlarstall/membership/instances.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace medlarstall::membership {

/// Links of one daemon in the tree over which shares and statuses spread.
/// Plain data.
struct tree_position
{
    std::string parent;                ///< Empty at the root of a data centre.
    std::vector<std::string> children; ///< In order.
    std::vector<std::string> roots;    ///< The other data centres' roots, at a
                                       ///< root.

    /// \return all daemons to which it has a link, in order
    [[nodiscard]] std::vector<std::string> links() const;
    bool operator==(tree_position const&) const = default;
};

/// Most aggregators below the root of a data centre.
inline constexpr std::size_t max_aggregators = 6;

/// Places a daemon in the tree: each data centre has a root and, below it, a
/// few aggregators among which the others are spread; the roots are joined in
/// pairs. Equal sets of daemons give equal trees, and the loss of one daemon
/// moves the links of its neighbours only.
/// \param daemons live daemons, in any order
/// \param self id of a daemon among them
/// \return its links; none if it is not among them
[[nodiscard]] tree_position
place_in_tree(std::vector<daemon_info> const& daemons, std::string const& self);

} // namespace medlarstall::membership

#endif
