#ifndef MEDLARSTALL_DAEMON_FLEET_HPP
#define MEDLARSTALL_DAEMON_FLEET_HPP

#include <medlarstall/membership/instances.hpp>

#include <map>
#include <string>

namespace medlarstall::daemon {

using membership::backend_server_info;
using membership::daemon_info;

/// The daemons and backend servers that this daemon knows of, from the instance
/// list, the catalogue and other daemons. Plain data.
struct fleet
{
    std::map<std::string, daemon_info, std::less<>> daemons; ///< Live, by id.
    /// Daemons in the instance list, by id; they need not be live.
    std::map<std::string, daemon_info, std::less<>> listed_daemons;
    /// By id.
    std::map<std::string, backend_server_info, std::less<>> backend_servers;
    /// Id of the owning daemon, by id of the backend server.
    std::map<std::string, std::string, std::less<>> owners;
};

} // namespace medlarstall::daemon

#endif
