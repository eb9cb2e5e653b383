#ifndef MEDLARSTALL_DISPATCH_BACKEND_SERVER_ENTRY_HPP
#define MEDLARSTALL_DISPATCH_BACKEND_SERVER_ENTRY_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace medlarstall::dispatch {

/// The entry that a backend server publishes about itself in the list of
/// backend servers.
struct backend_server_entry
{
    std::string id;
    std::string service;
    std::string address; ///< In the form IP:PORT.
    std::string data_centre;
    std::uint32_t slots = 1; ///< Requests that it can run at the same time.
    /// Whether the entry states that it accepts no new requests. A backend
    /// server that is leaving announces that in an answer instead, for its
    /// present run only.
    bool draining = false;
    /// Start of the process, in ms since the Unix epoch; 0 if not stated.
    std::int64_t started_unix_ms = 0;
    /// Increases with each entry that one run of the process publishes.
    std::uint64_t sequence = 0;
    /// Version of its software, a text without an order.
    std::string software_version;
    /// Whether the platform may reclaim it; false if not stated.
    bool reclaimable = false;
    /// Time until a draining server leaves, counted from the entry; empty if
    /// not stated.
    std::optional<std::chrono::milliseconds> time_left = std::nullopt;

    bool operator==(backend_server_entry const&) const = default;
};

} // namespace medlarstall::dispatch

#endif
