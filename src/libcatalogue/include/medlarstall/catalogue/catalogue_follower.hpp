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
    std::string daemon;               ///< Id of this daemon.
    std::string bootstrap_key_digest; ///< SHA-256 in hex; alike everywhere.
    checkpoint_settings checkpoints;
    std::size_t checkpoint_part_bytes = 192U << 10U;
    std::size_t relayed_records = 256; ///< Kept for peers that lag.
};

/// A catalogue in force and what finds its keys. Never changes once made.
struct catalogue_in_force
{
    catalogue entries;
    key_index keys;
    catalogue_version version; ///< At which the entries came into force.

    catalogue_in_force(catalogue value, catalogue_version at);
    catalogue_in_force(catalogue_in_force const&) = delete;
    catalogue_in_force& operator=(catalogue_in_force const&) = delete;
};

/// What became of a record.
enum class apply_result
{
    applied,
    scanned,     ///< Only looked at for a checkpoint to start from.
    already,     ///< It was applied before.
    gap,         ///< Records before it are missing; read from next_offset().
    read_again,  ///< It is damaged; read it once more after a moment.
    disagreement ///< It differs from the record applied at that offset.
};

/// Outcome of catalogue_follower::apply().
struct apply_outcome
{
    apply_result what = apply_result::applied;
    std::optional<verdict> decided; ///< If the record held a change.
    bool in_force_changed = false;
    std::string message; ///< In words, for the log; empty if nothing is wrong.
};

/// Applies the catalogue's log at one daemon. Its version never goes back.
/// Starts from the first record, from the newest checkpoint whose tail is
/// retained, or from a peer's snapshot. Owned by the daemon, which feeds it
/// with what it reads from the log and hears from its peers. A daemon that
/// finds that it disagrees with the log builds a second follower and swaps it
/// in once its version is not lower.
class catalogue_follower
{
public:
    /// \param settings settings of this daemon
    explicit catalogue_follower(follower_settings settings);

    /// \return offset of the record to read next from the log
    [[nodiscard]] std::uint64_t next_offset() const;

    /// Notes the bounds of the log. Call it after the records of each read.
    /// \param first first retained offset
    /// \param end offset that the next append gets
    /// \return an error if the log was truncated, or if it holds no checkpoint
    ///     to start from, in which case it is read again from its first
    ///     record; the catalogue in force stays as it is
    status observe_bounds(std::uint64_t first, std::uint64_t end);

    /// Takes a record of the log.
    /// \param record record at any offset
    /// \return what became of it
    apply_outcome apply(log_record const& record);

    /// Takes a record that a peer has applied.
    /// \param record record at any offset
    /// \return what became of it
    apply_outcome apply(relayed_record const& record);

    /// Takes a peer's snapshot, unless it is not newer than what is in force.
    /// \param text what snapshot() gave at the peer
    /// \return success if it is now in force, or an error that says why not
    status adopt(std::string_view text);

    /// Takes a catalogue from a file, for a daemon that runs without a log.
    /// \param entries catalogue read from the file
    void adopt(catalogue entries);

    /// \return true once the daemon may serve: it has reached the end that the
    ///     log had when it started, or has adopted a snapshot
    [[nodiscard]] bool ready() const { return ready_; }

    /// \return the catalogue in force, or null as long as there is none; the
    ///     same object until a change is accepted
    [[nodiscard]] std::shared_ptr<catalogue_in_force const> in_force();

    /// \return the prefix of the log that is applied
    [[nodiscard]] catalogue_version const& version() const
    {
        return applied_.version;
    }

    /// \return the state that any daemon reaches at version()
    [[nodiscard]] catalogue_state const& state() const
    {
        return applied_.state;
    }

    /// \param change_id id of a change
    /// \return what was decided, or null if it is not known (any more)
    [[nodiscard]] verdict const* find_verdict(std::string_view change_id) const;

    /// Compares a peer's version with this daemon's history.
    /// \param peer version that the peer has applied
    /// \return false if the two have applied unlike logs
    [[nodiscard]] bool agrees(catalogue_version const& peer) const;

    /// \return text that a peer can adopt(); empty unless ready()
    [[nodiscard]] std::string snapshot() const;

    /// Gives what a lagging peer needs.
    /// \param offset version of the peer
    /// \return the records from there on, or nothing if they are not kept any
    ///     more and the peer needs a snapshot
    [[nodiscard]] std::optional<std::vector<relayed_record>>
    records_from(std::uint64_t offset) const;

    /// \param now current time
    /// \return records that this daemon should append now, in order; mostly
    ///     empty
    [[nodiscard]] std::vector<nlohmann::json> due_checkpoint(wall_time now);

private:
    apply_outcome take(relayed_record const& record,
                       result<record_body> const& body);
    apply_outcome scan(log_record const& record);
    apply_outcome compare(std::uint64_t offset,
                          std::string const& record_digest) const;
    bool is_damaged_once_more(std::uint64_t offset, std::string const& digest);
    verdict decide_change(change const& value, std::uint64_t offset);
    [[nodiscard]] bool has_anchor(change const& value,
                                  std::uint64_t offset) const;
    void advance(relayed_record const& record);
    void remember(verdict decided);
    void start_empty();
    status start(checkpoint value);
    status start_from_scan(std::uint64_t first, std::uint64_t end);
    [[nodiscard]] std::string const* chain_at(std::uint64_t offset) const;
    status check_applied_bounds(std::uint64_t first, std::uint64_t end);

    follower_settings settings_;
    checkpoint applied_; ///< Version, history and state.
    checkpoint_policy policy_;
    checkpoint_assembler assembler_;
    std::shared_ptr<catalogue_in_force const> in_force_;
    std::deque<verdict> verdicts_;
    std::deque<relayed_record> relayed_;
    std::optional<checkpoint> found_; ///< While scanning.
    std::uint64_t scan_offset_ = 0;
    std::uint64_t damaged_offset_ = 0;
    std::string damaged_digest_;
    unsigned damaged_readings_ = 0;
    std::uint64_t start_end_ = 0; ///< End of the log at the first reading.
    bool start_end_known_ = false;
    bool scanning_ = false;
    bool started_ = false;
    bool changed_ = false; ///< Since in_force_ was made.
    bool ready_ = false;
};

} // namespace medlarstall::catalogue

#endif
