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

/// Records appended together. Shared, since an append may be sent again.
using record_group = std::shared_ptr<std::vector<record> const>;

/// One append to send. Plain data.
struct group_append
{
    std::uint64_t sequence = 0;
    record_group records;
};

/// Groups the records of one stream into appends, one in flight at a time. An
/// append whose reply was lost is sent again unchanged, under its sequence,
/// until a reply or the stream itself tells that it took effect.
class group_writer
{
public:
    /// \param settings size, delay and rate of groups
    explicit group_writer(group_settings const& settings);

    /// Queues a record.
    /// \param value record to append
    /// \param now current time
    void add(record value, time_point now);

    /// Takes back records that were not sent.
    /// \param unwanted says which; called with a record const&
    template<class Predicate>
    void drop_if(Predicate unwanted)
    {
        for (auto it = pending_.begin(); it != pending_.end();) {
            if (unwanted(*it)) {
                pending_bytes_ -= encoded_size(*it);
                it = pending_.erase(it);
            } else {
                ++it;
            }
        }
    }

    /// \param now current time
    /// \return the append that is due, if any
    [[nodiscard]] std::optional<group_append> poll(time_point now);

    /// Takes the reply that an append took effect.
    /// \param sequence sequence of the append
    void done(std::uint64_t sequence);

    /// Takes the reply that an append had and will have no effect. Its records
    /// are queued again, unless an earlier sending may still take effect.
    /// \param sequence sequence of the append
    /// \param now current time
    /// \param jitter from 0 to 1
    void failed(std::uint64_t sequence, time_point now, double jitter);

    /// Takes note that no reply came.
    /// \param sequence sequence of the append
    /// \param now current time
    /// \param jitter from 0 to 1
    void unknown(std::uint64_t sequence, time_point now, double jitter);

    /// \return when poll() is due again, if it is not waiting for a reply
    [[nodiscard]] std::optional<time_point> next_time() const;

    /// \return records queued, without those in flight
    [[nodiscard]] std::size_t pending() const { return pending_.size(); }

private:
    struct flight
    {
        group_append group;
        bool awaits_reply = true;
        bool may_have_effect = false; ///< A sending got no reply.
    };

    [[nodiscard]] bool full() const;
    [[nodiscard]] time_point group_time() const;
    void start_flight(time_point now);
    void back_off(time_point now, double jitter);

    group_settings settings_;
    duration interval_;
    std::deque<record> pending_;
    std::size_t pending_bytes_ = 0;
    std::optional<time_point> opened_; ///< When the group got its first record.
    std::optional<flight> flight_;
    std::uint64_t last_sequence_ = 0;
    time_point paced_; ///< When the rate allows one more append, less burst.
    time_point retry_at_;
    unsigned failures_ = 0;
};

} // namespace medlarstall::claim

#endif
