#ifndef MEDLARSTALL_CLAIM_CLAIM_SETTINGS_HPP
#define MEDLARSTALL_CLAIM_CLAIM_SETTINGS_HPP

#include <medlarstall/support/result.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace medlarstall::claim {

/// When a group of records is appended. Plain data.
struct group_settings
{
    std::size_t max_records = 512;
    std::size_t max_bytes = std::size_t{256} * 1024U;
    std::chrono::milliseconds delay{3}; ///< Longest wait for more records.
    double appends_per_second = 37.5;   ///< To one stream by one writer.
    unsigned burst = 4;                 ///< Appends before the rate applies.
    std::chrono::milliseconds least_retry{20};
    std::chrono::milliseconds most_retry{1'000};
};

/// Settings of a claim engine. Plain data.
struct claim_settings
{
    std::string writer;      ///< Unique to this process, never used again.
    std::size_t streams = 8; ///< The same for every daemon.
    std::chrono::milliseconds accept_window{600'000};   ///< Age of a new key.
    std::chrono::milliseconds answer_window{1'200'000}; ///< Age of a kept one.
    std::size_t max_keys = 200'000;                     ///< Of all streams.
    std::size_t max_outcome_bytes = std::size_t{16} * 1024U * 1024U;
    std::size_t max_body = std::size_t{4} * 1024U; ///< Of an outcome, in bytes.
    std::size_t max_pending = 20'000; ///< Calls and attempts not settled.
    group_settings group;
    std::chrono::milliseconds forward_delay{1};
    std::chrono::milliseconds forward_timeout{150};
    std::chrono::milliseconds mark_interval{120'000};
    std::uint64_t seed = 0; ///< Of attempt ids and jitter; from a random
                            ///< device where it matters.
};

/// Checks ranges and clashes.
/// \param settings what was asked for
/// \return success, or the setting at fault with its value and range
[[nodiscard]] status check(claim_settings const& settings);

} // namespace medlarstall::claim

#endif
