#ifndef MEDLARSTALL_CATALOGUE_CATALOGUE_FOLLOWER_HPP
#define MEDLARSTALL_CATALOGUE_CATALOGUE_FOLLOWER_HPP

#include <medlarstall/catalogue/checkpoint.hpp>
#include <medlarstall/catalogue/checkpoint_assembler.hpp>
#include <medlarstall/catalogue/checkpoint_policy.hpp>
#include <medlarstall/catalogue/key_index.hpp>
#include <medlarstall/catalogue/log_record.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::catalogue {

/// Settings of a catalogue_follower.
struct follower_settings
{
    std::string daemon_id; ///< Id of this daemon.

    /// SHA-256, in hex, of the key that may make the first change. It must be
    /// the same at every daemon.
    std::string bootstrap_key_digest;

    checkpoint_settings checkpoints; ///< When to write checkpoints.

    /// Maximum payload of one checkpoint part, in bytes; 192 KiB by default.
    std::size_t checkpoint_part_bytes = 192U << 10U;

    /// Number of recent records kept for peers that lag behind.
    std::size_t max_relayed_records = 256;
};

/// A catalogue in force with the index of its keys. It is immutable.
struct catalogue_in_force
{
    catalogue entries;
    key_index keys;
    catalogue_version version; ///< Version at which this object was built.

    /// \param value entries of the catalogue
    /// \param at version of the log that leads to these entries
    catalogue_in_force(catalogue value, catalogue_version at);
    catalogue_in_force(catalogue_in_force const&) = delete;
    catalogue_in_force& operator=(catalogue_in_force const&) = delete;
};

/// Result of applying one record.
enum class apply_result
{
    applied,         ///< It was applied, or rejected as malformed.
    scanned,         ///< It was only searched for a checkpoint to start from.
    already_applied, ///< It had been applied before.
    gap,            ///< Records before it are missing; read from next_offset().
    read_again,     ///< It is damaged; read it again after a short delay.
    digest_mismatch ///< It differs from the record applied at that offset.
};

/// Outcome of catalogue_follower::apply().
struct apply_outcome
{
    apply_result kind = apply_result::applied;
    std::optional<verdict> decision; ///< Present if the record is a change.
    bool in_force_changed = false; ///< Whether the record changed the entries.
    std::string message; ///< Explanation for the log; empty without a problem.
};

/// Applies the catalogue log at one daemon. Its version never goes back.
///
/// A follower starts from the first record of the log, from the newest
/// checkpoint after which all records are retained, or from a snapshot of a
/// peer. The daemon owns it and passes it the records that it reads from the
/// log or receives from peers. If the follower turns out to disagree with the
/// log, the daemon replaces it by a new one and keeps the old catalogue in
/// force until the version of the new follower is not lower.
class catalogue_follower
{
public:
    /// \param settings id of this daemon, bootstrap key and limits
    explicit catalogue_follower(follower_settings settings);

    /// \return offset of the record that is to be read next from the log
    [[nodiscard]] std::uint64_t next_offset() const;

    /// Updates the bounds of the log. Call it after each read, once the records
    /// of that read have been applied.
    /// \param first lowest offset that is still retained
    /// \param end offset that the next appended record will get
    /// \return an error if the log was truncated, or if it contains no
    ///     checkpoint to start from, in which case it is read again from its
    ///     first retained record. The catalogue in force is kept in either
    ///     case.
    status update_log_bounds(std::uint64_t first, std::uint64_t end);

    /// Applies a record that was read from the log.
    /// \param record record at any offset
    /// \return whether the record was applied, and the decision on its change
    apply_outcome apply(log_record const& record);

    /// Applies a record that a peer relayed after applying it.
    /// \param record record at any offset
    /// \return whether the record was applied, and the decision on its change
    apply_outcome apply(relayed_record const& record);

    /// Replaces the state by the snapshot of a peer if that is newer.
    /// \param text snapshot as returned by snapshot() at the peer
    /// \return success if the snapshot is now in force, or an error if it is
    ///     invalid or not newer than the applied version
    status install(std::string_view text);

    /// Replaces the state by a catalogue, for a daemon that runs without a log.
    /// \param entries catalogue read from the file
    void install(catalogue entries);

    /// \return true once the daemon may serve requests: it has applied the log
    ///     up to the end that it had at the first read, or has installed a
    ///     snapshot or a catalogue
    [[nodiscard]] bool ready() const { return ready_; }

    /// \return the catalogue in force, or null as long as there is none. The
    ///     same object is returned until the entries are replaced.
    [[nodiscard]] std::shared_ptr<catalogue_in_force const> in_force();

    /// \return the version up to which the log is applied
    [[nodiscard]] catalogue_version const& version() const
    {
        return applied_.version;
    }

    /// \return the state at version(), which is the same at every daemon
    [[nodiscard]] catalogue_state const& state() const
    {
        return applied_.state;
    }

    /// Finds the decision on a recent change.
    /// \param change_id id of the change
    /// \return the decision, or null if the change is unknown or no longer
    ///     remembered
    [[nodiscard]] verdict const* find_verdict(std::string_view change_id) const;

    /// Compares the version of a peer with the history of this daemon.
    /// \param peer version that the peer has applied
    /// \return false if the two daemons have applied different logs; true if
    ///     they have not, or if the history does not reach to that version
    [[nodiscard]] bool agrees_with(catalogue_version const& peer) const;

    /// \return snapshot that a peer can install(); empty unless ready()
    [[nodiscard]] std::string snapshot() const;

    /// Returns the records that a lagging peer has not applied.
    /// \param offset offset of the version that the peer has applied
    /// \return the records from that offset on, empty if the peer does not lag;
    ///     or nothing if they are no longer kept and the peer needs a snapshot
    [[nodiscard]] std::optional<std::vector<relayed_record>>
    records_from(std::uint64_t offset) const;

    /// Returns a checkpoint if this daemon should write one now. The next one
    /// is due after a delay, also if appending this one fails.
    /// \param now current time
    /// \return records with the parts of the checkpoint, to be appended in
    ///     order; empty if no checkpoint is due
    [[nodiscard]] std::vector<nlohmann::json>
    take_due_checkpoint(wall_time now);

private:
    apply_outcome apply_next(relayed_record const& record,
                             result<record_body> const& body);
    apply_outcome scan_for_checkpoint(log_record const& record);
    apply_outcome compare_with_applied(std::uint64_t offset,
                                       std::string const& record_digest) const;

    /// Counts how often the damaged record at an offset was read.
    /// \return true unless it was read often enough to be rejected
    bool should_read_again(std::uint64_t offset, std::string const& digest);

    verdict decide_change(change const& value, std::uint64_t offset);
    [[nodiscard]] bool anchor_matches(change const& value,
                                      std::uint64_t offset) const;
    void advance(relayed_record const& record);
    void remember_verdict(verdict decision);
    void start_from_empty();
    status start_from(checkpoint value);
    status start_from_scan(std::uint64_t first, std::uint64_t end);
    /// \return the chain digest over the records below an offset, or null if it
    ///     is not in the history
    [[nodiscard]] std::string const*
    chain_digest_at(std::uint64_t offset) const;
    status check_applied_bounds(std::uint64_t first, std::uint64_t end);

    follower_settings settings_;
    checkpoint applied_; ///< Version, history and state.
    checkpoint_policy policy_;
    checkpoint_assembler assembler_;
    std::shared_ptr<catalogue_in_force const> in_force_;
    std::deque<verdict> verdicts_; ///< Recent decisions, oldest first.
    std::deque<relayed_record> relayed_records_;   ///< Recent ones, for peers.
    std::optional<checkpoint> scanned_checkpoint_; ///< Newest one found so far.
    std::uint64_t scan_offset_ = 0;                ///< Next record to scan.
    std::uint64_t damaged_offset_ = 0;
    std::string damaged_digest_;
    unsigned damaged_read_count_ = 0;

    /// End of the log at the first read; the daemon is ready once it is
    /// reached.
    std::uint64_t initial_end_offset_ = 0;
    bool initial_end_known_ = false;
    bool scanning_ = false; ///< The records after version() have expired.
    bool started_ = false;  ///< applied_ contains a valid state.
    bool in_force_outdated_ = false; ///< in_force_ must be built anew.
    bool ready_ = false;
};

} // namespace medlarstall::catalogue

#endif
