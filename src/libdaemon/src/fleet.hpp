#ifndef MEDLARSTALL_DAEMON_FLEET_HPP
#define MEDLARSTALL_DAEMON_FLEET_HPP

#include <medlarstall/membership/instances.hpp>

#include <map>
#include <string>

namespace medlarstall::daemon {

using membership::backend_server_info;
using membership::daemon_info;

/// Daemons and backend servers that this daemon knows of, whatever told it.
/// Plain data.
struct fleet
{
    std::map<std::string, daemon_info, std::less<>> daemons; ///< Live ones.
    std::map<std::string, daemon_info, std::less<>> listed_daemons;
    std::map<std::string, backend_server_info, std::less<>> backend_servers;
    std::map<std::string, std::string, std::less<>> owners; ///< By server.
};

} // namespace medlarstall::daemon

#endif
