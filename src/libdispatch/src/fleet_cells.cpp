#include <medlarstall/dispatch/fleet_cells.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace medlarstall::dispatch {

namespace {

constexpr std::size_t most_daemons = 64;  ///< Of a cell.
constexpr std::size_t least_servers = 32; ///< Of a service in a cell.

void sort_by_hash(std::vector<std::string>& names)
{
    std::ranges::sort(names, {}, [](std::string const& name) {
        return std::pair{hash64(name), std::string_view{name}};
    });
}

} // namespace

std::size_t cells_for(std::size_t daemons)
{
    std::size_t cells = 1;
    while (cells * most_daemons < daemons) {
        cells *= 2;
    }
    return cells;
}

std::vector<std::string> part_of(std::vector<std::string> names,
                                 fleet_cell cell)
{
    if (cell.count <= 1) {
        return names;
    }
    sort_by_hash(names);
    auto const at = [&](std::size_t position) {
        return names.begin() + static_cast<std::ptrdiff_t>(
                                   position * names.size() / cell.count);
    };
    return {at(cell.own), at(cell.own + 1)};
}

fleet_cell cell_of(std::vector<std::string> names, std::string const& own)
{
    fleet_cell cell{cells_for(names.size()), 0};
    sort_by_hash(names);
    auto const rank =
        static_cast<std::size_t>(std::ranges::find(names, own) - names.begin());
    while (cell.own + 1 < cell.count &&
           (cell.own + 1) * names.size() / cell.count <= rank) {
        ++cell.own;
    }
    return cell;
}

fleet_cell cell_of_service(fleet_cell cell, std::size_t servers)
{
    auto parts = cell.count;
    while (parts > 1 && servers < parts * least_servers) {
        parts /= 2;
    }
    return {parts, cell.own * parts / cell.count};
}

} // namespace medlarstall::dispatch
