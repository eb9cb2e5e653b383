#ifndef MEDLARSTALL_MEMBERSHIP_INSTANCES_HPP
#define MEDLARSTALL_MEMBERSHIP_INSTANCES_HPP

#include <cstdint>
#include <string>

namespace medlarstall::membership {

/// A daemon as the instance list names it. Plain data.
struct daemon_info
{
    std::string id;
    std::string address; ///< IP number.
    std::uint16_t port = 0;
    std::uint16_t peer_port = 0;
    std::string data_centre;
    bool leaving = false;

    bool operator==(daemon_info const&) const = default;
};

/// A backend server as the instance list or the catalogue names it. Plain
/// data.
struct backend_server_info
{
    std::string id;
    std::string group;
    std::string address; ///< IP number.
    std::uint16_t port = 0;
    std::string data_centre;
    bool leaving = false;

    bool operator==(backend_server_info const&) const = default;
};

} // namespace medlarstall::membership

#endif
