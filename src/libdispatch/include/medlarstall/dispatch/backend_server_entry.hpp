#ifndef MEDLARSTALL_DISPATCH_BACKEND_SERVER_ENTRY_HPP
#define MEDLARSTALL_DISPATCH_BACKEND_SERVER_ENTRY_HPP

#include <cstdint>
#include <string>

namespace medlarstall::dispatch {

/// What a backend server has told of itself in the list. Plain data.
struct backend_server_entry
{
    std::string id;
    std::string service;
    std::string address; ///< IP:PORT.
    std::string data_centre;
    std::uint32_t slots = 1;
    bool draining = false;
    std::int64_t started_unix_ms = 0; ///< 0 if it does not say.
    std::uint64_t sequence = 0;       ///< Grows with each entry of a start.

    bool operator==(backend_server_entry const&) const = default;
};

} // namespace medlarstall::dispatch

#endif
