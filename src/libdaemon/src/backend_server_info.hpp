#ifndef MEDLARSTALL_DAEMON_BACKEND_SERVER_INFO_HPP
#define MEDLARSTALL_DAEMON_BACKEND_SERVER_INFO_HPP

#include <cstdint>
#include <string>

namespace medlarstall::daemon {

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

} // namespace medlarstall::daemon

#endif
