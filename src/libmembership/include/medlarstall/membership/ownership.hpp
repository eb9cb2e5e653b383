#ifndef MEDLARSTALL_MEMBERSHIP_OWNERSHIP_HPP
#define MEDLARSTALL_MEMBERSHIP_OWNERSHIP_HPP

#include <medlarstall/membership/instances.hpp>

#include <map>
#include <string>
#include <vector>

namespace medlarstall::membership {

/// Settings of assign_owners().
struct ownership_settings
{
    double slack = 1.25; ///< Most backend servers of a daemon, against the
                         ///< mean; rounded up.
    double same_data_centre = 200.0; ///< Weight of daemons that are near.
};

/// The owner of each backend server, by id. A daemon that is the value owns
/// the backend server that is the key.
using owner_map = std::map<std::string, std::string>;

/// Gives each backend server one owner by rendezvous hashing with bounded
/// loads: a backend server prefers daemons by a hashed weight, a daemon keeps
/// those that prefer it most, up to its bound. Equal arguments give equal
/// maps, and a change moves little.
/// \param daemons live daemons that may own; leaving ones are left out as long
///     as others exist
/// \param servers backend servers, each id once
/// \param settings bound and weight
/// \return an owner for each backend server; empty without daemons
[[nodiscard]] owner_map
assign_owners(std::vector<daemon_info> const& daemons,
              std::vector<backend_server_info> const& servers,
              ownership_settings settings = {});

} // namespace medlarstall::membership

#endif
