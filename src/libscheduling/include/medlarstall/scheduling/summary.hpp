#ifndef MEDLARSTALL_SCHEDULING_SUMMARY_HPP
#define MEDLARSTALL_SCHEDULING_SUMMARY_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace medlarstall::scheduling {

/// Most tiers that a catalogue may use.
inline constexpr std::size_t max_tiers = 8;

/// What one tier has at one backend server. Plain data.
struct tier_load
{
    std::uint32_t queued = 0; ///< Waiting at the owner, this server's part.
    std::uint32_t running = 0;
    std::chrono::milliseconds expected_wait{0}; ///< For a request sent now.
};

/// What the owner of a backend server tells the daemons that route to it.
/// Plain data.
struct backend_server_summary
{
    std::string backend_server;
    std::string group;
    std::string owner; ///< Daemon that queues for the backend server.
    std::string data_centre;
    std::uint64_t sequence = 0; ///< Grows with each summary of an owner.
    std::uint32_t limit = 0;    ///< Requests that may run at once now.
    std::uint32_t running = 0;
    std::array<tier_load, max_tiers> tiers{};
    std::chrono::microseconds first_token{0};    ///< Recent median.
    std::chrono::microseconds between_tokens{0}; ///< Recent median.
    std::uint32_t prefill_tokens_per_ms = 0;     ///< 0 if unknown.
    bool leaving = false;
    bool demoted = false; ///< Slow or failing compared with its siblings.
};

} // namespace medlarstall::scheduling

#endif
