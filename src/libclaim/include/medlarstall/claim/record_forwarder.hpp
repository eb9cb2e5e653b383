#ifndef MEDLARSTALL_CLAIM_RECORD_FORWARDER_HPP
#define MEDLARSTALL_CLAIM_RECORD_FORWARDER_HPP

#include <medlarstall/claim/record.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::claim {

/// Groups records for the preferred writer of a stream, and gives back those
/// that were not settled in time.
class record_forwarder
{
public:
    /// \param delay longest wait for more records of a group
    /// \param timeout time after which a record is given back
    record_forwarder(std::chrono::milliseconds delay,
                     std::chrono::milliseconds timeout);

    /// \param daemon preferred writer; empty if that is this daemon
    void prefer(std::string daemon) { preferred_ = std::move(daemon); }

    /// \return the preferred writer; empty if that is this daemon
    [[nodiscard]] std::string const& preferred() const { return preferred_; }

    /// \param value record to send
    /// \param now current time
    void add(record value, time_point now);

    /// \param now current time
    /// \return the records to send now
    [[nodiscard]] std::vector<record> poll(time_point now);

    /// \param now current time
    /// \return records that were sent long ago, or whose preferred writer is
    ///         no longer known
    [[nodiscard]] std::vector<record> overdue(time_point now);

    /// \return when poll() or overdue() is due
    [[nodiscard]] std::optional<time_point> next_time() const;

private:
    struct sent_record
    {
        time_point due;
        record value;
    };

    std::chrono::milliseconds delay_;
    std::chrono::milliseconds timeout_;
    std::string preferred_;
    std::vector<record> group_;
    time_point group_due_;
    std::deque<sent_record> sent_; ///< The earliest first.
};

} // namespace medlarstall::claim

#endif
