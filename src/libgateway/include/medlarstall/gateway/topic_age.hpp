#ifndef MEDLARSTALL_GATEWAY_TOPIC_AGE_HPP
#define MEDLARSTALL_GATEWAY_TOPIC_AGE_HPP

#include <medlarstall/gateway/record_store.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::gateway {

/// Bounds of the age of what a daemon knows of a topic.
struct topic_age_settings
{
    /// The first daemon that knows nothing newer reads the store at this age.
    std::chrono::milliseconds read_age{1000};
    /// The others follow within this time, unless they hear of its read.
    std::chrono::milliseconds read_spread{400};
    /// Shortest time between the beginnings of two such reads of a daemon;
    /// doubles up to three times while they bring nothing.
    std::chrono::milliseconds read_interval{400};
    /// The store counts as away if no read of any daemon is younger. Entries
    /// lapse only in longer outages.
    std::chrono::milliseconds outage_age{1500};
    /// Shortest time between two reads of a daemon while the store is away.
    std::chrono::milliseconds outage_read_interval{800};
    /// While the store is away, larger fleets read it no more often than this
    /// number of daemons.
    std::size_t outage_readers = 12;
};

/// A read of the store that has returned everything up to the end of a topic.
struct complete_read
{
    std::string reader; ///< Name of the daemon that has read the store.
    store_position end; ///< End of the topic that the read has reached.
    time_point as_of;   ///< It was the end at this time or later.
    /// Time from which on the store has answered without an outage up to the
    /// read, as far as the reader knows; empty if that is not known.
    std::optional<time_point> steady_since = std::nullopt;
};

/// A complete read as its reader tells it to its peers.
struct announced_read
{
    store_position end;            ///< End of the topic.
    std::chrono::milliseconds age; ///< It was the end this long ago, or later.
};

/// Age of what a daemon knows of a topic: the time since which a record may
/// have been written that it does not know. It rests on reads of the store by
/// this daemon and by others, which state the time of each read; what a daemon
/// has only been told it does not pass on. Decides when this daemon reads the
/// store itself, and whether the store is away for the whole fleet, which being
/// behind does not prove. Performs no I/O; owned by the gateway.
class topic_age
{
public:
    /// \param place this daemon's place in the order in which the daemons of
    ///     the fleet read, from 0 for the first to 1 for the last
    /// \param settings bounds of the age
    explicit topic_age(double place, topic_age_settings settings = {});

    /// Notes a read of the store by this daemon or another one.
    /// \param read what was read, and when
    /// \param known position up to which this daemon knows the topic
    void on_read(complete_read read, store_position known);

    /// Notes a read of the store by this daemon itself.
    /// \param read what was read, and when
    /// \param known position up to which this daemon knows the topic
    /// \return true if the topic has grown since its last read
    bool on_own_read(complete_read const& read, store_position known);

    /// Notes that this daemon knows more of the topic.
    /// \param known position up to which it knows the topic
    void on_position(store_position known);

    /// Notes that the machine was suspended, which the clock has not counted.
    /// \param asleep time for which it was suspended
    void on_suspended(duration asleep);

    /// \return time at which everything that was written until then is known;
    ///     empty if there is none
    [[nodiscard]] std::optional<time_point> as_of() const { return as_of_; }

    /// \return name of the daemon on whose read as_of() rests; empty if none
    [[nodiscard]] std::string const& reader() const { return reader_; }

    /// \param now current time
    /// \return the last read by this daemon itself; empty if it is too old to
    ///     matter
    [[nodiscard]] std::optional<announced_read> announced(time_point now) const;

    /// \param now current time
    /// \param daemons number of daemons in the fleet
    /// \return true if this daemon should read the store now, since it knows
    ///     nothing newer
    [[nodiscard]] bool read_is_due(time_point now, std::size_t daemons) const;

    /// Notes that this daemon has begun to read the store.
    /// \param now current time
    void on_read_begun(time_point now);

    /// \param now current time
    /// \return true if the store has answered any daemon just now
    [[nodiscard]] bool store_answers(time_point now) const;

    /// \return time from which on the store has answered without an outage;
    ///     empty if it has never answered
    [[nodiscard]] std::optional<time_point> steady_since() const
    {
        return steady_since_;
    }

    /// \param now current time
    /// \return how long the store has answered without an outage; empty if it
    ///     does not answer
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    steady_for(time_point now) const;

private:
    void extend_steady_time(complete_read const& read);

    topic_age_settings settings_;
    duration due_age_; ///< From this age on this daemon reads the store.
    std::optional<time_point> as_of_;
    std::string reader_;
    std::optional<complete_read> own_read_;
    /// Reads that have returned more than this daemon knows.
    std::vector<complete_read> ahead_;
    std::optional<time_point> read_begun_at_;
    unsigned reads_begun_ = 0; ///< Since as_of_ was last advanced.
    std::optional<time_point> steady_since_;
    time_point answered_at_; ///< Latest time at which the store has answered.
};

} // namespace medlarstall::gateway

#endif
