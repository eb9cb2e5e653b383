#ifndef MEDLARSTALL_CATALOGUE_CHECKPOINT_POLICY_HPP
#define MEDLARSTALL_CATALOGUE_CHECKPOINT_POLICY_HPP

#include <medlarstall/support/uuid.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace medlarstall::catalogue {

/// When checkpoints are written.
struct checkpoint_settings
{
    std::chrono::milliseconds retention{std::chrono::hours{24}};
    std::uint64_t records = 512;            ///< Written after so many.
    std::chrono::milliseconds spread{5000}; ///< Between the daemons' tries.
};

/// Decides when this daemon writes a checkpoint: after many records, and after
/// a quarter of the log's retention, so that three tries may fail before a
/// record that is still needed expires. Daemons wait unlike times, so that
/// mostly one writes and the others see its checkpoint first; several at once
/// do no harm.
class checkpoint_policy
{
public:
    /// \param daemon id of this daemon, which fixes how long it waits
    /// \param settings retention of the log and pace
    checkpoint_policy(std::string const& daemon, checkpoint_settings settings);

    /// Notes a record that may be the oldest one without a checkpoint.
    /// \param written time at which the platform kept the record
    void on_record(wall_time written);

    /// Notes a whole checkpoint in the log, from any daemon.
    /// \param prefix offset that it stands for
    /// \param written time at which the platform kept its last part
    void on_checkpoint(std::uint64_t prefix, wall_time written);

    /// \param next_offset offset up to which this daemon has applied the log
    /// \param now current time
    /// \return true if this daemon should append a checkpoint now; then not
    ///     again before another wait has passed
    [[nodiscard]] bool due(std::uint64_t next_offset, wall_time now);

private:
    [[nodiscard]] bool wanted(std::uint64_t next_offset, wall_time now) const;

    checkpoint_settings settings_;
    std::chrono::milliseconds wait_;
    std::uint64_t prefix_ = 0;
    wall_time oldest_; ///< Of what must not expire before a checkpoint.
    wall_time wanted_since_;
    bool started_ = false;
    bool waiting_ = false;
};

} // namespace medlarstall::catalogue

#endif
