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
    /// Upper limit for the backend servers of one daemon, as a multiple of the
    /// mean. The limit is rounded up.
    double max_load_factor = 1.25;
    /// Hash weight of daemons in the data centre of the backend server; other
    /// daemons have the weight 1.
    double same_data_centre_weight = 200.0;
};

/// Maps the id of each backend server to the id of the daemon that owns it.
using owner_map = std::map<std::string, std::string>;

/// Assigns each backend server to one owner by rendezvous hashing with bounded
/// loads. Each backend server ranks the daemons by a weighted hash, and each
/// daemon keeps the backend servers that rank it highest, up to its limit.
/// Equal arguments give equal maps, and a small change of the arguments moves
/// few backend servers.
/// \param daemons live daemons; those that are leaving get no backend servers
///     unless all are leaving
/// \param servers backend servers, without duplicate ids
/// \param settings limit and weight
/// \return an owner for each backend server; empty if \p daemons is empty
[[nodiscard]] owner_map
assign_owners(std::vector<daemon_info> const& daemons,
              std::vector<backend_server_info> const& servers,
              ownership_settings settings = {});

} // namespace medlarstall::membership

#endif
