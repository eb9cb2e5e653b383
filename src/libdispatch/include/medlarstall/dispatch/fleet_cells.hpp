#ifndef MEDLARSTALL_DISPATCH_FLEET_CELLS_HPP
#define MEDLARSTALL_DISPATCH_FLEET_CELLS_HPP

#include <cstddef>
#include <string>
#include <vector>

namespace medlarstall::dispatch {

/// One cell of a large fleet: a subset of the daemons and of the backend
/// servers, from all data centres, that works together as a small fleet does.
/// The load that daemons report to each other and the candidates that they
/// compare for a request then do not grow with the fleet. The division needs no
/// agreement: while two daemons divide the fleet differently, placement is
/// merely less good.
struct fleet_cell
{
    /// Number of cells in the fleet.
    std::size_t cell_count = 1;
    /// Index of this cell, from 0.
    std::size_t index = 0;

    bool operator==(fleet_cell const&) const = default;
};

/// \param daemons number of daemons in the fleet
/// \return number of cells, a power of two, so that each cell splits into
///     halves when the fleet grows
[[nodiscard]] std::size_t cell_count_for(std::size_t daemons);

/// Selects the names that belong to a cell. The names are sorted by hash, which
/// gives the same order on every daemon, and cut into ranges of equal length.
/// \param names all names, without duplicates
/// \param cell the cell to select
/// \return names of that cell, in no particular order
[[nodiscard]] std::vector<std::string>
names_in_cell(std::vector<std::string> names, fleet_cell cell);

/// \param names names of all daemons
/// \param own one of the names
/// \return cell that the name belongs to
[[nodiscard]] fleet_cell cell_containing(std::vector<std::string> names,
                                         std::string const& own);

/// Selects which backend servers of a service a cell uses. A service with few
/// backend servers is divided into fewer parts than there are cells, so that
/// several cells share each part.
/// \param cell cell of a daemon
/// \param servers number of backend servers of the service
/// \return the part that the cell uses, to be passed to names_in_cell()
[[nodiscard]] fleet_cell service_cell(fleet_cell cell, std::size_t servers);

/// A part of the backend servers of a service, and the daemons whose cells use
/// it.
struct service_part
{
    std::vector<std::string> servers; ///< Their ids.
    std::vector<std::string> daemons; ///< Their names.
};

/// Divides the backend servers of a service among all cells of the fleet, as
/// service_cell() does for one cell.
/// \param daemons names of all daemons
/// \param servers ids of all backend servers of the service
/// \return the parts, one in a fleet of one cell
[[nodiscard]] std::vector<service_part>
divide_service(std::vector<std::string> daemons,
               std::vector<std::string> servers);

} // namespace medlarstall::dispatch

#endif
