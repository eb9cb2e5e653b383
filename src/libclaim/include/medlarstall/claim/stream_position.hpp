#ifndef MEDLARSTALL_CLAIM_STREAM_POSITION_HPP
#define MEDLARSTALL_CLAIM_STREAM_POSITION_HPP

#include <medlarstall/claim/record.hpp>
#include <medlarstall/support/time.hpp>

#include <cstdint>
#include <optional>

namespace medlarstall::claim {

/// How far a stream was read, and whether anything of it was missed.
class stream_position
{
public:
    /// Takes the bounds that came with a read.
    /// \param first_retained offset of the first record that the log has
    /// \param end offset that the next append gets
    /// \return true if records were lost before they were read, so that what
    ///         is known of the stream has to be dropped
    [[nodiscard]] bool begin(std::uint64_t first_retained, std::uint64_t end);

    /// Takes the offset of the next record.
    /// \param offset offset of a record that was read
    /// \return false if the record was read before
    [[nodiscard]] bool advance(std::uint64_t offset);

    /// Tells whether records between those read and this one are missing.
    /// \param offset offset of a record that was read
    /// \return true if there is a hole before it
    [[nodiscard]] bool hole_before(std::uint64_t offset) const;

    /// Ends the search for a first record after a loss.
    void found_first() { lacks_first_ = false; }

    /// \return true if records were lost and none was read since, so that
    ///         nothing tells from when on the stream is known
    [[nodiscard]] bool lacks_first() const { return lacks_first_; }

    /// \return true if the stream was read to the end that it had at the start
    [[nodiscard]] bool caught_up() const;

    /// \return true once a read has told the end of the stream. Before that
    ///         a read must not wait for records: there may be none.
    [[nodiscard]] bool begun() const { return begun_; }

    /// \return offset to read from
    [[nodiscard]] std::uint64_t next() const { return next_; }

    std::optional<time_point> retry_at; ///< Set after a failed read.
    time_point last_record;             ///< When a record was last read.

private:
    std::uint64_t next_ = 0;
    std::uint64_t target_ = 0;
    bool begun_ = false;
    bool lacks_first_ = false;
};

} // namespace medlarstall::claim

#endif
