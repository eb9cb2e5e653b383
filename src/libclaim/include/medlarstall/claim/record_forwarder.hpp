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

/// Groups records to be sent to the preferred writer of a stream, and returns
/// every record after a timeout, so that the caller can append it itself if it
/// was not settled by then.
class record_forwarder
{
public:
    /// \param delay longest wait for more records of a group
    /// \param timeout time from sending a record until it is overdue
    record_forwarder(std::chrono::milliseconds delay,
                     std::chrono::milliseconds timeout);

    /// \param daemon identifier of the preferred writer; empty if that is this
    ///        daemon
    void set_preferred_writer(std::string daemon)
    {
        preferred_writer_ = std::move(daemon);
    }

    /// \return identifier of the preferred writer; empty if that is this daemon
    [[nodiscard]] std::string const& preferred_writer() const
    {
        return preferred_writer_;
    }

    /// \param value record to send with the next group
    /// \param now current time
    void add(record value, time_point now);

    /// \param now current time
    /// \return the group of records to send now; empty if none is due
    [[nodiscard]] std::vector<record> poll(time_point now);

    /// Takes out the records that the caller has to append itself.
    /// \param now current time
    /// \return records whose timeout has passed since they were sent; all
    ///         records if there is no other preferred writer any more
    [[nodiscard]] std::vector<record> take_overdue(time_point now);

    /// \return when poll() or take_overdue() has to be called next; nothing if
    ///         there are no records
    [[nodiscard]] std::optional<time_point> next_poll_time() const;

private:
    struct sent_record
    {
        time_point due;
        record value;
    };

    std::chrono::milliseconds delay_;
    std::chrono::milliseconds timeout_;
    std::string preferred_writer_;
    std::vector<record> group_;
    time_point group_due_;
    std::deque<sent_record> sent_; ///< In the order in which they are due.
};

} // namespace medlarstall::claim

#endif
