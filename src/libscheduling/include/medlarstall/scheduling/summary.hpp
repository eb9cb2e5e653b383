#ifndef MEDLARSTALL_SCHEDULING_SUMMARY_HPP
#define MEDLARSTALL_SCHEDULING_SUMMARY_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace medlarstall::scheduling {

/// Number of tiers that a catalogue may use.
inline constexpr std::size_t max_tiers = 8;

/// Load of one tier at one backend server. Plain data.
struct tier_load
{
    /// Requests queued at the owner, in proportion to this backend server's
    /// limit.
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::chrono::milliseconds expected_wait{0}; ///< For a request sent now.
};

/// Load summary of a backend server, which its owner sends to the daemons that
/// route to it. Plain data.
struct backend_server_summary
{
    std::string backend_server;
    std::string group;
    std::string owner; ///< Daemon that queues for the backend server.
    std::string data_centre;
    std::uint64_t sequence = 0; ///< Increases with each summary of an owner.
    std::uint32_t limit = 0;    ///< Current limit of concurrent requests.
    std::uint32_t running = 0;
    std::array<tier_load, max_tiers> tiers{};
    std::chrono::microseconds first_token{0};    ///< Recent median.
    std::chrono::microseconds between_tokens{0}; ///< Recent median.
    std::uint32_t prefill_tokens_per_ms = 0;     ///< 0 if unknown.
    bool leaving = false;                        ///< Gets no new requests.
    bool demoted = false; ///< Slow or failing compared with its group.
};

} // namespace medlarstall::scheduling

#endif
