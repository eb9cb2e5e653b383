#ifndef MEDLARSTALL_CLAIM_STREAM_POSITION_HPP
#define MEDLARSTALL_CLAIM_STREAM_POSITION_HPP

#include <medlarstall/claim/record.hpp>
#include <medlarstall/support/time.hpp>

#include <cstdint>
#include <optional>

namespace medlarstall::claim {

/// Tracks up to which offset a stream was read, and whether records of it were
/// missed.
class stream_position
{
public:
    /// Updates the bounds of the stream from the answer to a read.
    /// \param first_retained offset of the first record that the log still has
    /// \param end_offset offset that the next append will get
    /// \return true if records expired before they were read, so that the state
    ///         derived from the stream has to be dropped
    [[nodiscard]] bool update_bounds(std::uint64_t first_retained,
                                     std::uint64_t end_offset);

    /// Moves the position behind a record.
    /// \param offset offset of a record that was read
    /// \return false if the record was read before; the position stays then
    [[nodiscard]] bool advance(std::uint64_t offset);

    /// Tells whether records between the position and a record are missing.
    /// \param offset offset of a record that was read
    /// \return true if the offset is beyond the next one expected
    [[nodiscard]] bool has_gap_before(std::uint64_t offset) const;

    /// Notes that the first record after a loss was read.
    void found_first_record() { needs_first_record_ = false; }

    /// \return true if records were lost and none was read since. The log time
    ///         from which on the stream is known is not known in that case.
    [[nodiscard]] bool needs_first_record() const
    {
        return needs_first_record_;
    }

    /// \return true if the stream was read up to the end that it had at the
    ///         first read, or at the first read after a loss
    [[nodiscard]] bool caught_up() const;

    /// \return true once a read has reported the bounds of the stream. Before
    ///         that, a read must not wait for records, as there may be none.
    [[nodiscard]] bool bounds_known() const { return bounds_known_; }

    /// \return offset of the next record to read
    [[nodiscard]] std::uint64_t next_offset() const { return next_offset_; }

    std::optional<time_point> retry_at; ///< Set after a failed read.
    time_point last_record_time;        ///< When a record was last read.

private:
    std::uint64_t next_offset_ = 0;
    std::uint64_t catch_up_offset_ = 0;
    bool bounds_known_ = false;
    bool needs_first_record_ = false;
};

} // namespace medlarstall::claim

#endif
