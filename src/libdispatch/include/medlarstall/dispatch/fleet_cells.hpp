#ifndef MEDLARSTALL_DISPATCH_FLEET_CELLS_HPP
#define MEDLARSTALL_DISPATCH_FLEET_CELLS_HPP

#include <cstddef>
#include <string>
#include <vector>

namespace medlarstall::dispatch {

/// A part of a large fleet: some daemons and some backend servers, of all data
/// centres, that work together as a small fleet does. What daemons tell each
/// other and compare for a request then does not grow with the fleet. A hint:
/// while two daemons divide the fleet differently, work is placed less well.
struct fleet_cell
{
    std::size_t count = 1; ///< Cells of the fleet.
    std::size_t own = 0;   ///< Position of this one.

    bool operator==(fleet_cell const&) const = default;
};

/// \param daemons size of the fleet
/// \return number of its cells, a power of two, so that cells split in halves
///     as the fleet grows
[[nodiscard]] std::size_t cells_for(std::size_t daemons);

/// Divides names among cells: in an order that looks random and is the same
/// everywhere, cut into runs of equal length.
/// \param names all names; each stands once
/// \param cell which part
/// \return the names of that part
[[nodiscard]] std::vector<std::string> part_of(std::vector<std::string> names,
                                               fleet_cell cell);

/// \param names all names
/// \param own one of them
/// \return the cell that it belongs to
[[nodiscard]] fleet_cell cell_of(std::vector<std::string> names,
                                 std::string const& own);

/// A service with few backend servers is divided among fewer parts, each of
/// which several cells share.
/// \param cell cell of a daemon
/// \param servers backend servers of a service
/// \return the part of them that the cell uses
[[nodiscard]] fleet_cell cell_of_service(fleet_cell cell, std::size_t servers);

} // namespace medlarstall::dispatch

#endif
