#ifndef MEDLARSTALL_MEMBERSHIP_NEIGHBOUR_GRAPH_HPP
#define MEDLARSTALL_MEMBERSHIP_NEIGHBOUR_GRAPH_HPP

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace medlarstall::membership {

/// Defines which daemons exchange heartbeats. The graph is the union of several
/// rings; each ring contains all daemons, ordered by a different hash. Every
/// daemon therefore has a bounded number of neighbours, the graph stays
/// connected when many daemons fail, and equal sets of daemons give equal
/// graphs.
class neighbour_graph
{
public:
    neighbour_graph() = default;

    /// \param daemons ids of all daemons, without duplicates
    /// \param ring_count number of rings; a daemon has at most twice as many
    ///     neighbours
    neighbour_graph(std::vector<std::string> const& daemons,
                    std::size_t ring_count);

    /// \param daemon id of a daemon
    /// \return ids of its neighbours, sorted; empty for an unknown daemon
    [[nodiscard]] std::vector<std::string> const&
    neighbours(std::string const& daemon) const;

private:
    std::map<std::string, std::vector<std::string>> neighbours_;
};

} // namespace medlarstall::membership

#endif
