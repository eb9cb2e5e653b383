#ifndef MEDLARSTALL_TESTS_FLEET_LISTS_HPP
#define MEDLARSTALL_TESTS_FLEET_LISTS_HPP

#include <medlarstall/membership/instances.hpp>

#include <string>
#include <vector>

namespace medlarstall::membership {

/// \param count number of daemons
/// \param data_centres number of data centres
/// \return daemons that are distributed evenly over the data centres
inline std::vector<daemon_info> make_daemons(std::size_t count,
                                             std::size_t data_centres)
{
    std::vector<daemon_info> daemons;
    daemons.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        daemons.push_back(
            {.id = "daemon" + std::to_string(1000 + i),
             .address = "10.0.0.1",
             .port = 80,
             .data_centre = "dc" + std::to_string(i % data_centres)});
    }
    return daemons;
}

/// \param count number of backend servers
/// \param groups number of groups
/// \param data_centres number of data centres
/// \return backend servers that are distributed evenly over the groups and the
///     data centres
inline std::vector<backend_server_info>
make_servers(std::size_t count, std::size_t groups, std::size_t data_centres)
{
    std::vector<backend_server_info> servers;
    servers.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        servers.push_back(
            {.id = "runner" + std::to_string(1000 + i),
             .group = "group" + std::to_string(i % groups),
             .address = "10.0.1.1",
             .port = 80,
             .data_centre = "dc" + std::to_string(i % data_centres)});
    }
    return servers;
}

} // namespace medlarstall::membership

#endif
