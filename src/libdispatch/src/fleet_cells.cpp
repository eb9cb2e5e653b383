#include <medlarstall/dispatch/fleet_cells.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace medlarstall::dispatch {

namespace {

constexpr std::size_t max_daemons_per_cell = 64;
/// A service with fewer backend servers for each part is divided into fewer
/// parts.
constexpr std::size_t min_servers_per_part = 32;

/// Sorts names into an order that looks random but is the same on every daemon.
/// \param names names to sort
void sort_by_hash(std::vector<std::string>& names)
{
    std::ranges::sort(names, {}, [](std::string const& name) {
        return std::pair{hash64(name), std::string_view{name}};
    });
}

/// \return the names of one of several ranges of about equal length
std::vector<std::string> range_of(std::vector<std::string> const& names,
                                  std::size_t index, std::size_t range_count)
{
    auto const boundary = [&](std::size_t position) {
        return names.begin() + static_cast<std::ptrdiff_t>(
                                   position * names.size() / range_count);
    };
    return {boundary(index), boundary(index + 1)};
}

} // namespace

std::size_t cell_count_for(std::size_t daemons)
{
    std::size_t cells = 1;
    while (cells * max_daemons_per_cell < daemons) {
        cells *= 2;
    }
    return cells;
}

std::vector<std::string> names_in_cell(std::vector<std::string> names,
                                       fleet_cell cell)
{
    if (cell.cell_count <= 1) {
        return names;
    }
    sort_by_hash(names);
    return range_of(names, cell.index, cell.cell_count);
}

fleet_cell cell_containing(std::vector<std::string> names,
                           std::string const& own)
{
    fleet_cell cell{cell_count_for(names.size()), 0};
    sort_by_hash(names);
    auto const rank =
        static_cast<std::size_t>(std::ranges::find(names, own) - names.begin());
    while (cell.index + 1 < cell.cell_count &&
           (cell.index + 1) * names.size() / cell.cell_count <= rank) {
        ++cell.index;
    }
    return cell;
}

fleet_cell service_cell(fleet_cell cell, std::size_t servers)
{
    auto parts = cell.cell_count;
    while (parts > 1 && servers < parts * min_servers_per_part) {
        parts /= 2;
    }
    return {parts, cell.index * parts / cell.cell_count};
}

std::vector<service_part> divide_service(std::vector<std::string> daemons,
                                         std::vector<std::string> servers)
{
    auto const cells = cell_count_for(daemons.size());
    auto const part_count = service_cell({cells, 0}, servers.size()).cell_count;
    if (part_count == 1) {
        return {{std::move(servers), std::move(daemons)}};
    }
    sort_by_hash(daemons);
    sort_by_hash(servers);
    std::vector<service_part> parts(part_count);
    for (std::size_t index = 0; index < part_count; ++index) {
        parts[index] = {range_of(servers, index, part_count),
                        range_of(daemons, index, part_count)};
    }
    return parts;
}

} // namespace medlarstall::dispatch
