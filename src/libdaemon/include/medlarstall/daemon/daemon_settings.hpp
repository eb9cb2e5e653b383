#ifndef MEDLARSTALL_DAEMON_DAEMON_SETTINGS_HPP
#define MEDLARSTALL_DAEMON_DAEMON_SETTINGS_HPP

#include <medlarstall/entry/http_server.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarstall::daemon {

/// Configuration of a daemon. Plain data.
struct daemon_settings
{
    std::string id = "daemon-1"; ///< Unique among all daemons.
    std::string data_centre = "default";
    std::string region = "default";
    entry::http_server_settings http_server; ///< HTTP server for callers.
    /// Address that callers and other daemons connect to. If it is empty,
    /// http_server.address is used.
    std::string advertised_address;
    std::uint16_t peer_port = 0; ///< 0 picks a free port.
    std::string peer_secret;     ///< Authenticates daemons to one another.
    bool standalone = false;     ///< Runs without a platform.
    std::string catalogue_json;  ///< JSON; used if standalone.
    std::vector<std::string> platform_addresses; ///< IP:PORT, tried in turn.
    /// SHA-256 digest of the key that may publish a change while the catalogue
    /// holds no operator keys. If it is empty, no key may.
    std::string bootstrap_key_digest;
    std::size_t max_json_depth = 32; ///< Nesting depth of request bodies.
    /// Further requests are refused with status 503.
    std::size_t max_open_requests = 20'000;
    /// Bytes of a response that may be buffered for a slow caller before the
    /// daemon stops reading from the backend server.
    std::size_t stream_buffer_bytes = std::size_t{64} * 1024;
    /// How long callers may cache the list of daemons from /v1/entries.
    std::chrono::milliseconds directory_ttl{2'000};
    /// Added to directory_ttl: a draining daemon serves callers that long
    /// after it has left the list.
    std::chrono::milliseconds drain_margin{1'000};
    /// A graceful shutdown that takes longer cuts off the remaining work.
    std::chrono::milliseconds drain_timeout{60'000};
    /// How long the platform keeps the records of a log.
    std::chrono::milliseconds log_retention{86'400'000};
    std::size_t claim_stream_count = 8; ///< Number of logs that hold claims.
    std::uint64_t seed = 0; ///< Of the random generator; 0 picks a random seed.
};

} // namespace medlarstall::daemon

#endif
