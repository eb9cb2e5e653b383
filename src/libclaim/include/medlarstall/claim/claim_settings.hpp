#ifndef MEDLARSTALL_CLAIM_CLAIM_SETTINGS_HPP
#define MEDLARSTALL_CLAIM_CLAIM_SETTINGS_HPP

#include <medlarstall/support/result.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace medlarstall::claim {

/// Limits on the groups of records that are appended to a stream as a whole, on
/// the rate of these appends and on the delay of a retry. Plain data.
struct group_settings
{
    std::size_t max_records = 512;
    std::size_t max_bytes = std::size_t{256} * 1024U;
    std::chrono::milliseconds max_delay{3}; ///< Longest wait for more records.
    double appends_per_second = 37.5;       ///< To one stream by one writer.
    unsigned burst = 4; ///< Appends that may be sent before the rate applies.
    std::chrono::milliseconds min_retry_delay{20};
    std::chrono::milliseconds max_retry_delay{1'000};
};

/// Settings of a claim engine. Plain data.
struct claim_settings
{
    std::string writer_id; ///< Identifies this process in the log; unique and
                           ///< never reused by a later process.
    std::size_t stream_count =
        8; ///< Number of streams; the same for every daemon.
    /// Greatest age of a key that is seen for the first time.
    std::chrono::milliseconds accept_window{600'000};
    /// Age up to which the state of a key is kept.
    std::chrono::milliseconds answer_window{1'200'000};
    std::size_t max_keys = 200'000; ///< Number of keys kept in all streams.
    /// Size of all outcomes kept.
    std::size_t max_outcome_bytes = std::size_t{16} * 1024U * 1024U;
    /// Size of the body of one outcome.
    std::size_t max_body_bytes = std::size_t{4} * 1024U;
    /// Number of waiting calls and unsettled attempts together.
    std::size_t max_pending = 20'000;
    group_settings group;
    /// Longest wait for more records of a forwarded group.
    std::chrono::milliseconds forward_delay{1};
    /// Time until this daemon appends a forwarded record itself.
    std::chrono::milliseconds forward_timeout{150};
    /// Time without a record in a stream after which a mark is appended to it;
    /// twice as long where another daemon is the preferred writer.
    std::chrono::milliseconds mark_interval{120'000};
    std::uint64_t seed = 0; ///< Seed for attempt ids and jitter. Outside tests
                            ///< it must come from a random device.
};

/// Checks that every setting is in its range and that none contradicts another.
/// \param settings settings to check
/// \return success, or an error that names the setting at fault with its value
///         and range
[[nodiscard]] status check(claim_settings const& settings);

} // namespace medlarstall::claim

#endif
