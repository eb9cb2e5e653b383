#ifndef MEDLARSTALL_CLAIM_GROUP_WRITER_HPP
#define MEDLARSTALL_CLAIM_GROUP_WRITER_HPP

#include <medlarstall/claim/claim_settings.hpp>
#include <medlarstall/claim/record.hpp>
#include <medlarstall/support/time.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace medlarstall::claim {

/// Records that are appended together. Shared, because an append may have to
/// be sent again unchanged.
using record_group = std::shared_ptr<std::vector<record> const>;

/// One append to send. Plain data.
struct group_append
{
    std::uint64_t sequence = 0; ///< Identifies the append for this writer.
    record_group records;
};

/// Groups the records of one stream into appends (group commit), one in flight
/// at a time. An append whose reply was lost is sent again unchanged with the
/// same sequence number, until a reply or the stream itself shows that it took
/// effect. The log applies a repeated sequence number only once.
class group_writer
{
public:
    /// \param settings limits on the size, delay and rate of groups
    explicit group_writer(group_settings const& settings);

    /// Adds a record to the queue.
    /// \param value record to append
    /// \param now current time
    void add(record value, time_point now);

    /// Removes queued records that have not been sent. Records in flight stay.
    /// \param unwanted predicate called with a record const&; returns true for
    ///        a record to remove
    template<class Predicate>
    void remove_queued_if(Predicate unwanted)
    {
        for (auto it = queue_.begin(); it != queue_.end();) {
            if (unwanted(*it)) {
                queued_bytes_ -= encoded_size(*it);
                it = queue_.erase(it);
            } else {
                ++it;
            }
        }
    }

    /// Starts the next append or repeats the one in flight, if it is time.
    /// \param now current time
    /// \return the append to send now, or nothing if none is due
    [[nodiscard]] std::optional<group_append> poll(time_point now);

    /// Handles the confirmation that an append took effect, from its reply or
    /// from reading its records back.
    /// \param sequence sequence number of the append; ignored if that append is
    ///        not in flight
    void on_append_succeeded(std::uint64_t sequence);

    /// Handles a reply that an append had no effect and will have none. Its
    /// records return to the queue, unless an earlier transmission of the same
    /// append may still take effect; then it is sent again unchanged.
    /// \param sequence sequence number of the append; ignored if that append is
    ///        not in flight
    /// \param now current time
    /// \param jitter random number from 0 to 1 that varies the retry delay
    void on_append_failed(std::uint64_t sequence, time_point now,
                          double jitter);

    /// Handles an append without a reply, which may or may not take effect.
    /// \param sequence sequence number of the append; ignored if that append is
    ///        not in flight
    /// \param now current time
    /// \param jitter random number from 0 to 1 that varies the retry delay
    void on_append_unknown(std::uint64_t sequence, time_point now,
                           double jitter);

    /// \return time at which poll() returns the next append; nothing while it
    ///         waits for a reply or has no records
    [[nodiscard]] std::optional<time_point> next_poll_time() const;

    /// \return number of queued records, without those in flight
    [[nodiscard]] std::size_t queued() const { return queue_.size(); }

private:
    struct in_flight_append
    {
        group_append group;
        bool awaits_reply = true;
        bool may_take_effect = false; ///< A transmission got no reply.
    };

    [[nodiscard]] bool group_is_full() const;
    [[nodiscard]] time_point group_due_time() const;
    void start_append(time_point now);
    void back_off(time_point now, double jitter);

    group_settings settings_;
    duration append_interval_;
    std::deque<record> queue_;
    std::size_t queued_bytes_ = 0;
    std::optional<time_point> group_opened_; ///< Start of the delay of a group.
    std::optional<in_flight_append> in_flight_;
    std::uint64_t last_sequence_ = 0;
    /// When the rate allows one more append if no burst is allowed. It is the
    /// theoretical arrival time of the generic cell rate algorithm (GCRA).
    time_point rate_time_;
    time_point retry_at_;
    unsigned failures_ = 0; ///< Consecutive appends without success.
};

} // namespace medlarstall::claim

#endif
