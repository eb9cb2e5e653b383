#ifndef MEDLARSTALL_DAEMON_FLEET_HPP
#define MEDLARSTALL_DAEMON_FLEET_HPP

#include "backend_server_info.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace medlarstall::daemon {

/// A daemon as the others know it. Plain data.
struct daemon_info
{
    std::string id;
    std::string address;         ///< IP number.
    std::uint16_t port = 0;      ///< For callers.
    std::uint16_t peer_port = 0; ///< For other daemons.
    std::string data_centre;
    bool leaving = false;

    bool operator==(daemon_info const&) const = default;
};

/// Daemons and backend servers that this daemon knows of, whatever told it.
/// Plain data.
struct fleet
{
    std::map<std::string, daemon_info, std::less<>> daemons;
    std::map<std::string, backend_server_info, std::less<>> backend_servers;
};

} // namespace medlarstall::daemon

#endif
