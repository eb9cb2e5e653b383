#ifndef MEDLARSTALL_MEMBERSHIP_INSTANCES_HPP
#define MEDLARSTALL_MEMBERSHIP_INSTANCES_HPP

#include <cstdint>
#include <string>

namespace medlarstall::membership {

/// An entry of the instance list that describes a daemon.
struct daemon_info
{
    std::string id;
    std::string address;         ///< IP address.
    std::uint16_t port = 0;      ///< Port for requests of clients.
    std::uint16_t peer_port = 0; ///< Port for messages of other daemons.
    std::string data_centre;
    bool leaving = false; ///< The daemon is shutting down.

    bool operator==(daemon_info const&) const = default;
};

/// An entry of the instance list or the catalogue that describes a backend
/// server.
struct backend_server_info
{
    std::string id;
    std::string group;   ///< Name of its group of backend servers.
    std::string address; ///< IP address.
    std::uint16_t port = 0;
    std::string data_centre;
    bool leaving = false; ///< It gets no new requests.

    bool operator==(backend_server_info const&) const = default;
};

} // namespace medlarstall::membership

#endif
