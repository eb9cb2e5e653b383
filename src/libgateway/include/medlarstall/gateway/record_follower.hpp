#ifndef MEDLARSTALL_GATEWAY_RECORD_FOLLOWER_HPP
#define MEDLARSTALL_GATEWAY_RECORD_FOLLOWER_HPP

#include <medlarstall/gateway/record_store.hpp>
#include <medlarstall/support/time.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace medlarstall::gateway {

/// Who reads a topic, and the timing of the reads.
struct topic_read_settings
{
    /// Name of this daemon, which goes with the records that it reads.
    std::string reader;
    /// How long the store may hold a read open until a record arrives.
    std::chrono::milliseconds long_poll_timeout{2500};
    /// Whether what is known of the topic must not be older than a long poll.
    /// The time for which a read is held open then counts from the last time at
    /// which the end of the topic was known, and while other daemons are the
    /// continuous readers, the owner decides when to read again.
    bool has_bounded_age = false;
    /// A read is repeated if it has no answer for this long after the time for
    /// which the store may hold it open.
    std::chrono::milliseconds overdue_after{400};
    /// Interval of reads while other daemons are the continuous readers.
    std::chrono::milliseconds standby_interval{60000};
    /// Shortest time between the beginnings of two reads, after one that
    /// returned records.
    std::chrono::milliseconds read_interval{0};
    /// Delay after the first failed read; doubles with each further failure.
    std::chrono::milliseconds initial_backoff{100};
    /// Upper bound of the delay after failed reads.
    std::chrono::milliseconds max_backoff{800};
};

/// Which changes of a topic a peer requests.
enum class change_filter
{
    all,        ///< Every change.
    significant ///< Only changes that the owner reported as significant.
};

/// Callbacks to the owner of a follower.
struct record_follower_events
{
    /// Called for each new record of a key. A change is significant if all
    /// daemons must know it: for an entry of a backend server, any change other
    /// than an entry that is outdated or in which only the sequence number
    /// has increased.
    /// \return true if the change is significant
    std::function<bool(record const&)> on_change;
    /// Called with the new era when the store was restored from an older copy,
    /// before any record of that era is reported.
    std::function<void(std::uint64_t era)> on_restore;
    /// Called before records are applied that may leave out changes in between:
    /// a snapshot, or the latest records of a peer. Not called for the first
    /// records. May be empty.
    std::function<void()> on_changes_left_out;
    /// Called when the store becomes reachable or unreachable, with the reason
    /// as a word for log lines.
    std::function<void(bool, char const*)> on_reachability;
    /// Called when a read of the store has reached the end of the topic, with
    /// that end and a time at which it was the end, or later. May be empty.
    std::function<void(store_position end, time_point as_of)> on_complete_read;
};

/// Keeps the latest record of each key of a topic, read from the store or
/// received from peers. A key never reverts to an earlier record of the same
/// era, and a new era starts with a snapshot. Owned by the gateway.
class record_follower : public std::enable_shared_from_this<record_follower>
{
public:
    /// \param context event loop that runs the timer
    /// \param topic topic to follow
    /// \param store where to read the topic; must outlive the follower
    /// \param settings timing of the reads
    /// \param events callbacks to the owner
    record_follower(asio::io_context& context, record_topic topic,
                    record_store const& store, topic_read_settings settings,
                    record_follower_events events);

    /// Starts reading with a snapshot.
    void start() { read(); }

    /// Stops reading; later results of reads are ignored.
    void stop();

    /// Reads without waiting for the timer, for example after the instance was
    /// suspended.
    void read_now();

    /// Reads without waiting for the timer if the last read failed.
    void retry_now();

    /// Reads beside what is going on, unless a read is in progress that may
    /// still be answered, or is about to be repeated.
    /// \param now current time
    /// \return true if a read has begun
    bool read_again(time_point now);

    /// Reads from the store, beside the continuous reads, what it has when it
    /// answers.
    /// \param done called once with true when all records up to the end have
    ///     been reported to the owner, or with false if the read has failed
    void read_to_end(std::function<void(bool)> done);

    /// Drops the belief that the store is reachable, until it answers again.
    void doubt_store() { reachable_ = false; }

    /// Sets whether this daemon is a continuous reader of the store. The other
    /// daemons receive records from the continuous readers, and read the store
    /// themselves only at long intervals.
    /// \param continuous true for a continuous reader
    void set_continuous(bool continuous);

    /// Merges records that a peer has read.
    /// \param page records of the peer; ignored if it contains nothing new, or
    ///     if it begins a new era without being a snapshot
    void merge_page(record_page const& page);

    /// Skips records that a peer found to contain no significant change.
    /// \param next position from which to continue; ignored if it is in another
    ///     era, or if nothing has been read yet
    void skip_to(store_position next);

    /// \param from position up to which the requesting peer knows the topic
    /// \param which whether to leave out changes that are not significant
    /// \return the latest records of the keys that have changed from there on,
    ///     or a snapshot if these changes are not completely known
    [[nodiscard]] record_page changes_since(store_position from,
                                            change_filter which) const;

    /// \return position up to which the topic is known; the zero position
    ///     before the first read
    [[nodiscard]] store_position position() const
    {
        return next_.value_or(store_position{});
    }

    /// \return true once the topic has been read, or received from a peer
    [[nodiscard]] bool has_read() const { return next_.has_value(); }

    /// \param offset offset of a record of the present era
    /// \return a time after which the record was certainly written, as it was
    ///     not there when an earlier read reached the end; empty if none is
    ///     known
    [[nodiscard]] std::optional<time_point>
    written_after(std::uint64_t offset) const;

    /// \return position after the last significant change
    [[nodiscard]] store_position significant_position() const
    {
        return significant_position_;
    }

    /// \param key key of a record
    /// \return latest known value; empty if the key is unknown or was removed
    [[nodiscard]] std::optional<std::string>
    find_value(std::string const& key) const;

    /// \return true if this daemon is a continuous reader
    [[nodiscard]] bool is_continuous() const { return continuous_; }

    /// \return true if the store answered the last read
    [[nodiscard]] bool store_reachable() const { return reachable_; }

    /// \return number of reads that have failed since the store last answered
    [[nodiscard]] std::size_t failed_reads() const { return failed_reads_; }

    /// \param now current time
    /// \return true if this daemon is a continuous reader and the store
    ///     answers, so that it would notice an outage
    [[nodiscard]] bool reads_store(time_point now) const;

    /// \return when the topic was last known to be up to date
    [[nodiscard]] time_point up_to_date_at() const { return up_to_date_at_; }

private:
    /// A read of the store that has begun.
    struct read_request
    {
        std::uint64_t id = 0;
        store_position from; ///< Not used by the read of a snapshot.
        /// For how long the store may hold it open.
        std::chrono::milliseconds wait{0};
        time_point began_at;
    };

    void read();
    read_request begin_request(std::chrono::milliseconds wait);
    [[nodiscard]] std::chrono::milliseconds wait_of_next_read() const;
    void on_read_result(read_request const& request, read_result outcome);
    void on_superseded_result(read_request const& request,
                              read_result const& outcome);
    void on_end_read(read_request const& request, read_result const& outcome,
                     std::function<void(bool)> const& done);
    void schedule_next_read(record_page const& page);
    void note_end(record_page const& page, read_request const& request);
    void note_store_read();
    void note_changes_left_out() const;
    void on_read_failure(store_failure failure);
    void apply_read(record_page page, time_point began_at);
    void apply_page(record_page const& page);
    void remove_missing_keys(record_page const& page);
    void apply_record(record const& item, store_position next);
    void schedule_read(std::chrono::milliseconds delay);
    void set_reachable(bool reachable, char const* reason);

    /// The latest record of a key, and its last significant change.
    struct tracked_record
    {
        record latest;
        /// When the read began that returned it; empty if that is not known.
        std::optional<time_point> read_at;
        /// Position after the latest record.
        store_position next;
        /// Position after the last significant change.
        store_position significant;
    };

    void report_change(tracked_record& tracked);
    static record with_present_age(tracked_record const& tracked,
                                   time_point now);

    /// End of the topic as the store has told it.
    struct known_end
    {
        store_position position;
        time_point read_began_at; ///< It was the end at this time or later.
    };

    record_topic topic_;
    record_store const& store_;
    topic_read_settings settings_;
    record_follower_events events_;
    asio::steady_timer timer_;
    std::map<std::string, tracked_record> records_;
    std::optional<store_position> next_; ///< Empty before the first read.
    store_position significant_position_;
    store_position history_start_; ///< All changes from it on are known.
    std::chrono::milliseconds backoff_;
    std::optional<known_end> known_end_;
    read_request last_request_; ///< The read that began last.
    bool reading_ = false;      ///< The last read has had no answer yet.
    time_point up_to_date_at_;
    time_point answered_at_; ///< When the store last answered a read.
    /// When the store last told the end of the topic, as of the store.
    time_point end_known_at_;
    std::size_t failed_reads_ = 0; ///< Since the store last answered.
    bool snapshot_needed_ = false; ///< Records were missed.
    bool reachable_ = false;
    bool backing_off_ = false; ///< Waiting to retry after a failed read.
    bool continuous_ = false;
    bool reachability_reported_ = false;
    bool stopped_ = false;
};

} // namespace medlarstall::gateway

#endif
