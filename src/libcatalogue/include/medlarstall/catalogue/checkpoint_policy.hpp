#ifndef MEDLARSTALL_CATALOGUE_CHECKPOINT_POLICY_HPP
#define MEDLARSTALL_CATALOGUE_CHECKPOINT_POLICY_HPP

#include <medlarstall/support/uuid.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace medlarstall::catalogue {

/// Determines when checkpoints are written.
struct checkpoint_settings
{
    /// Time for which the platform keeps a record of the log.
    std::chrono::milliseconds retention{std::chrono::hours{24}};

    /// Number of records without a checkpoint after which one is written.
    std::uint64_t record_interval = 512;

    /// Interval over which the daemons spread their attempts. Each daemon
    /// delays its first attempt by a fixed part of it.
    std::chrono::milliseconds attempt_interval{5000};
};

/// Decides when this daemon writes a checkpoint: once enough records are not
/// covered by a checkpoint, or a quarter of the log's retention has passed, so
/// that three attempts may fail before a record that is still needed expires.
/// Each daemon waits for a different time before it writes. Usually one daemon
/// writes the checkpoint and the others see it in the log before their own
/// delay is over; several checkpoints at once do no harm.
class checkpoint_policy
{
public:
    /// \param daemon id of this daemon; its hash determines the delay before
    ///     the first attempt
    /// \param settings retention of the log and intervals between checkpoints
    checkpoint_policy(std::string const& daemon, checkpoint_settings settings);

    /// Handles a record of the log. The first one sets the time from which the
    /// age of the records is counted, unless a checkpoint has done so.
    /// \param written_at time at which the platform stored the record
    void on_record(wall_time written_at);

    /// Handles a complete checkpoint in the log, written by any daemon.
    /// \param end_offset offset below which the checkpoint covers all records;
    ///     a checkpoint that covers less than an earlier one is ignored
    /// \param written_at time at which the platform stored its last part
    void on_checkpoint(std::uint64_t end_offset, wall_time written_at);

    /// Tells whether this daemon should append a checkpoint now, and starts
    /// the wait for the next attempt if so.
    /// \param next_offset offset up to which this daemon has applied the log
    /// \param now current time
    /// \return true if a checkpoint is needed and the delay of this daemon has
    ///     passed; after that false until the attempt interval and the delay
    ///     have passed again
    [[nodiscard]] bool should_write_now(std::uint64_t next_offset,
                                        wall_time now);

private:
    [[nodiscard]] bool is_needed(std::uint64_t next_offset,
                                 wall_time now) const;

    checkpoint_settings settings_;
    std::chrono::milliseconds start_delay_; ///< Before the first attempt.
    std::uint64_t covered_offset_ = 0;      ///< Of the newest checkpoint.
    wall_time reference_time_; ///< From which the age of records is counted.
    wall_time needed_since_;   ///< Start of the delay before the next attempt.
    bool has_reference_time_ = false;
    bool waiting_ = false; ///< True once a checkpoint is needed.
};

} // namespace medlarstall::catalogue

#endif
