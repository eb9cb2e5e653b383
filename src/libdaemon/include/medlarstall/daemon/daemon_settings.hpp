#ifndef MEDLARSTALL_DAEMON_DAEMON_SETTINGS_HPP
#define MEDLARSTALL_DAEMON_DAEMON_SETTINGS_HPP

#include <medlarstall/entry/http_front.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarstall::daemon {

/// Everything that a daemon is told at its start. Plain data.
struct daemon_settings
{
    std::string id = "daemon-1"; ///< Unique among the daemons.
    std::string data_centre = "default";
    std::string region = "default";
    entry::http_front_settings front;
    /// Address that callers and other daemons use; empty: front.address.
    std::string advertised_address;
    std::uint16_t peer_port = 0; ///< 0 picks a free port.
    std::string peer_secret;     ///< Shared by all daemons.
    bool standalone = false;     ///< Runs without a platform.
    std::string catalogue_text;  ///< JSON; the first catalogue if standalone.
    std::vector<std::string> platform_addresses; ///< IP:PORT, tried in turn.
    /// SHA-256 of the key that may publish into an empty catalogue.
    std::string bootstrap_key_digest;
    std::size_t max_json_depth = 32;
    std::size_t max_open_requests = 20'000;
    /// Bytes of an answer that wait for a slow caller before its backend
    /// server is no longer read.
    std::size_t stream_buffer_bytes = std::size_t{64} * 1024;
    std::chrono::milliseconds directory_ttl{2'000};
    std::chrono::milliseconds drain_margin{1'000};
    std::chrono::milliseconds drain_bound{60'000};       ///< Longest stop.
    std::chrono::milliseconds log_retention{86'400'000}; ///< Of the platform.
    std::size_t claim_streams = 8;
    std::uint64_t seed = 0; ///< Of the random numbers; 0: random.
};

} // namespace medlarstall::daemon

#endif
