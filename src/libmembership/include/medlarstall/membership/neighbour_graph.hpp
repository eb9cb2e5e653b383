#ifndef MEDLARSTALL_MEMBERSHIP_NEIGHBOUR_GRAPH_HPP
#define MEDLARSTALL_MEMBERSHIP_NEIGHBOUR_GRAPH_HPP

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace medlarstall::membership {

/// Who exchanges heartbeats with whom: the union of rings in which the daemons
/// stand in unlike, hashed orders. Every daemon has a bounded number of
/// neighbours, the graph stays connected when many fail, and equal sets of
/// daemons give equal graphs.
class neighbour_graph
{
public:
    neighbour_graph() = default;

    /// \param daemons ids, each once
    /// \param rings number of rings; a daemon has at most twice as many
    ///     neighbours
    neighbour_graph(std::vector<std::string> const& daemons, std::size_t rings);

    /// \param daemon id of a daemon
    /// \return its neighbours in the order of their ids
    [[nodiscard]] std::vector<std::string> const&
    neighbours(std::string const& daemon) const;

private:
    std::map<std::string, std::vector<std::string>> neighbours_;
};

} // namespace medlarstall::membership

#endif
