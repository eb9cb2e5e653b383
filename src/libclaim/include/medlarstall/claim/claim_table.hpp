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

/// How far the time in a key may lie ahead of the log's clock. The same for
/// every daemon: a lower bound on the time of a key's first record rests on it.
inline constexpr std::chrono::milliseconds max_key_skew{5'000};

/// How far the log's clock may step back between two records.
inline constexpr std::chrono::milliseconds max_log_clock_step{1'000};

/// Releases after which a key takes no further claim.
inline constexpr std::size_t max_releases = 8;

/// Where a key stands after the records read so far.
enum class claim_state : std::uint8_t
{
    held,     ///< An attempt holds it and may run it.
    released, ///< Free again; it was not run.
    finished, ///< It was run; the outcome is kept.
    closed    ///< Released too often; it was not run and never will be.
};

/// What applying a record did.
enum class applied
{
    won,      ///< The claim's attempt holds the key now.
    lost,     ///< Another attempt holds or has finished the key.
    repeated, ///< The attempt's claim was read before.
    released, ///< The key is free again.
    finished, ///< The outcome is kept now.
    ignored   ///< Nothing changed.
};

/// Where one key stands. Plain data.
struct claim_entry
{
    body_digest digest;
    uuid attempt; ///< Holder, or the last one.
    claim_state state = claim_state::held;
    shared_outcome result; ///< Set when finished.
    std::unique_ptr<std::vector<uuid>> released_attempts;
};

/// Bounds on what a table keeps.
struct table_limits
{
    std::size_t keys = 25'000;
    std::size_t outcome_bytes = std::size_t{2} * 1024U * 1024U;
    std::chrono::milliseconds retention{1'200'000}; ///< By the key's time.
};

/// The state of the keys of one claim stream: a pure function of the records
/// applied. Keys leave it in the order of their time; it remembers up to which
/// time it has forgotten, so an absent key above that time was never claimed.
class claim_table
{
public:
    explicit claim_table(table_limits limits) : limits_{limits} {}

    /// Drops every key, for a reader that starts or that fell behind.
    /// \param first_record log time of the first record that will be applied;
    ///        none if the stream is read from its very first record
    void restart(std::optional<wall_time> first_record);

    /// Applies the next record of the stream.
    /// \param value the record
    /// \param time log time of its append
    /// \return what it did
    applied apply(record const& value, wall_time time);

    /// \param key a key
    /// \return where it stands, or null if nothing is kept of it
    [[nodiscard]] claim_entry const* find(uuid const& key) const;

    /// Tells whether records of a key that is not kept may have been lost.
    /// \param key a key
    /// \return true if it may have been claimed unseen
    [[nodiscard]] bool forgotten(uuid const& key) const;

    /// \return keys kept
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

    /// \return keys dropped because of the bounds rather than their age
    [[nodiscard]] std::size_t evicted() const { return evicted_; }

private:
    using entry_map = std::map<uuid, claim_entry>;

    applied apply_to(claim_record const& value);
    applied apply_to(release_record const& value);
    applied apply_to(outcome_record const& value);
    void trim();
    void drop_oldest();

    table_limits limits_;
    entry_map entries_; ///< Version 7 keys sort by their time.
    std::optional<wall_time> forgotten_until_;
    wall_time latest_;
    std::size_t outcome_bytes_ = 0;
    std::size_t evicted_ = 0;
};

} // namespace medlarstall::claim

#endif
