#ifndef MEDLARSTALL_CLAIM_CLAIM_TABLE_HPP
#define MEDLARSTALL_CLAIM_CLAIM_TABLE_HPP

#include <medlarstall/claim/record.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace medlarstall::claim {

/// How far the time in a key may be ahead of the log's clock. The value has to
/// be the same for every daemon, because it is used to derive a lower bound on
/// the log time of a key's first record.
inline constexpr std::chrono::milliseconds max_key_skew{5'000};

/// How far the log's clock may step back between two records.
inline constexpr std::chrono::milliseconds max_log_clock_step{1'000};

/// Number of releases after which a key accepts no further claim.
inline constexpr std::size_t max_releases = 8;

/// State of a key after the records that were applied so far.
enum class claim_state : std::uint8_t
{
    held,     ///< An attempt holds the key and may run its call.
    released, ///< The key can be claimed again; its call was not run.
    finished, ///< The call was run, and its outcome is kept.
    exhausted ///< Released too often; the call was not run and never will be.
};

/// Effect of applying one record.
enum class apply_result
{
    won,      ///< The attempt of the claim holds the key now.
    lost,     ///< Another attempt holds the key or has finished it.
    repeated, ///< The claim of this attempt was applied before.
    released, ///< The attempt no longer holds the key.
    finished, ///< The outcome is kept now.
    ignored   ///< Nothing changed.
};

/// State of one key with the data that belongs to it. Plain data.
struct claim_entry
{
    call_digest digest;
    uuid attempt; ///< The attempt that holds the key, or the last one that did.
    claim_state state = claim_state::held;
    shared_outcome result; ///< Set only in the state finished.
    std::unique_ptr<std::vector<uuid>> released_attempts;
};

/// Limits on what a table keeps.
struct table_limits
{
    std::size_t max_keys = 25'000;
    std::size_t max_outcome_bytes = std::size_t{2} * 1024U * 1024U;
    /// Age of a key, according to the time in it, after which it is dropped.
    std::chrono::milliseconds retention{1'200'000};
};

/// The state of the keys of one claim stream, which depends on nothing but the
/// records applied. Keys are dropped in the order of the time in them. The
/// table remembers the latest time up to which keys may have been dropped, so
/// a key with a later time that it does not contain was never claimed.
class claim_table
{
public:
    explicit claim_table(table_limits limits) : limits_{limits} {}

    /// Drops every key. To be called by a reader that starts, or that fell
    /// behind and missed records.
    /// \param first_record log time of the first record that will be applied;
    ///        none if the stream is read from its very first record
    void reset(std::optional<wall_time> first_record);

    /// Applies the next record of the stream.
    /// \param value the record
    /// \param time log time at which the record was appended
    /// \return the effect of the record
    apply_result apply(record const& value, wall_time time);

    /// \param key an idempotency key
    /// \return the state of the key, or null if the table does not contain it
    [[nodiscard]] claim_entry const* find(uuid const& key) const;

    /// Tells whether records of a key that the table does not contain may have
    /// been dropped or missed.
    /// \param key an idempotency key
    /// \return true if the key may have been claimed without being in the
    ///         table; false if it is in the table or was never claimed
    [[nodiscard]] bool may_have_lost(uuid const& key) const;

    /// \return number of keys in the table
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

    /// \return number of keys dropped since construction because a limit on
    ///         keys or outcome bytes was exceeded, rather than because of age
    [[nodiscard]] std::size_t evicted() const { return evicted_; }

private:
    using entry_map = std::map<uuid, claim_entry>;

    apply_result apply_record(claim_record const& value);
    apply_result apply_record(release_record const& value);
    apply_result apply_record(outcome_record const& value);
    void enforce_limits();
    void drop_oldest();

    table_limits limits_;
    entry_map entries_; ///< In the order of time, as version 7 UUIDs sort so.
    std::optional<wall_time> lost_until_; ///< Keys up to this time may have
                                          ///< been dropped or missed.
    wall_time latest_time_; ///< Greatest log time of all applied records.
    std::size_t outcome_bytes_ = 0;
    std::size_t evicted_ = 0;
};

} // namespace medlarstall::claim

#endif
