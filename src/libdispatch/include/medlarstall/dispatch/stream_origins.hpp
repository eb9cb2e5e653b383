#ifndef MEDLARSTALL_DISPATCH_STREAM_ORIGINS_HPP
#define MEDLARSTALL_DISPATCH_STREAM_ORIGINS_HPP

#include <medlarstall/dispatch/lifetime_history.hpp>
#include <medlarstall/support/time.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::dispatch {

/// The backend servers of a service that run one version of its software. What
/// two releases write in one stream does not fit together.
struct software_release
{
    std::string service;
    std::string version; ///< As stated by entries; has no order.

    auto operator<=>(software_release const&) const = default;
};

/// What one daemon publishes, so that streams can be continued by others, also
/// after all daemons have been killed.
struct stream_origin_record
{
    /// In place of an index, if nobody knows which release began a stream.
    /// Daemons of older versions skip such a stream.
    static constexpr std::uint32_t no_release =
        std::numeric_limits<std::uint32_t>::max();

    /// A stream and the release that began it.
    struct stream
    {
        std::uint64_t id = 0;      ///< Hash of the id of its first attempt.
        std::uint32_t release = 0; ///< Index in releases, or no_release.
    };

    /// Releases that may have begun streams not long ago.
    std::vector<software_release> releases;
    /// Streams that are not complete, of services with several releases.
    std::vector<stream> streams;
    /// For how long any of them can be taken up, also if it began under an
    /// earlier configuration. Empty if not known: a daemon of an older version
    /// has written the record.
    std::optional<duration> lifetime = std::nullopt;
    /// Era of the store that its writer knew; empty if not known.
    std::optional<std::uint64_t> era = std::nullopt;
    /// Whether the writer knew, in that era, all releases that may have begun
    /// streams. A daemon of an older version does not say so.
    bool is_whole = false;
};

/// How a daemon knows, or does not know, which release began a stream.
enum class origin_evidence
{
    recorded,     ///< A daemon has recorded it.
    only_release, ///< No other release has served for as long as streams last.
    unidentified, ///< It broke off before its process was identified.
    none          ///< Not known.
};

/// \param evidence evidence to name
/// \return its name in log lines
[[nodiscard]] char const* name_of(origin_evidence evidence);

/// The release that began a stream, as far as a daemon knows.
struct stream_origin
{
    origin_evidence evidence = origin_evidence::none;
    software_release release; ///< Empty without evidence.
};

/// Knows which release of a service began each stream: from the streams of this
/// daemon, from the records of all daemons, and from the releases that have
/// served. Does no I/O; owned by the gateway.
class stream_origins
{
public:
    /// \param started start of this daemon; it has seen no release before
    explicit stream_origins(time_point started) : history_starts_{started} {}

    /// Sets for how long a stream that begins from now on can be taken up after
    /// its first event. Those that have begun keep a longer time.
    /// \param lifetime the longest time
    /// \param now current time
    void set_lifetime(duration lifetime, time_point now)
    {
        lifetimes_.set(lifetime, now);
    }

    /// Called when no daemon of the fleet has run before this one started.
    void on_first_start() { first_start_ = true; }

    /// Called repeatedly with the era of the store as last known. In a new era
    /// the list may lack backend servers until they have written their entries
    /// again.
    /// \param era number that increases when the store is restored
    /// \param store_answers false if no daemon gets answers from it, so that
    ///     backend servers cannot write, either
    /// \param now current time
    void on_era(std::uint64_t era, bool store_answers, time_point now);

    /// \param now current time
    /// \return true if the list of backend servers holds all that are running:
    ///     the store was never restored, or long enough ago
    [[nodiscard]] bool list_is_settled(time_point now) const;

    /// Called when releases may have begun streams that this daemon has not
    /// noticed. Until merge_history() or for as long as streams can be taken
    /// up, it then does not know all releases.
    /// \param now current time
    void on_history_lost(time_point now);

    /// Called repeatedly while a backend server of the release is listed.
    /// \param release a release that may begin streams
    /// \param now current time
    void on_listed(software_release const& release, time_point now);

    /// Called when a peer has a backend server of the release in its list.
    /// \param release a release that may begin streams
    /// \param now current time
    void on_told(software_release const& release, time_point now);

    /// Adds the records of all daemons, also of earlier runs, as they were
    /// when this daemon started. The records of a restored store may lack
    /// releases, unless a daemon has written one since that knew them all.
    /// \param records the records
    /// \param era era of the store in which they were read
    /// \param now current time
    /// \return true if they name all releases that may have begun streams
    bool merge_history(std::vector<stream_origin_record> const& records,
                       std::uint64_t era, time_point now);

    /// Adds the streams of the record that an earlier run of this daemon has
    /// published. They are published again, as the record of this run replaces
    /// it.
    /// \param record the record
    /// \param now current time
    void merge_earlier_run(stream_origin_record const& record, time_point now);

    /// Adds the streams of records that were read later.
    /// \param records the records
    /// \param now current time
    void merge_streams(std::vector<stream_origin_record> const& records,
                       time_point now);

    /// Called at the first event of a stream, and when it is taken up. The
    /// stream and its release are remembered at least until on_ended().
    /// \param id hash of the id of the attempt that brought its first event
    /// \param release release that began it
    /// \param now current time
    void on_begun(std::uint64_t id, software_release const& release,
                  time_point now);

    /// Called when a stream has broken off before it was known which process
    /// had begun it. Has no effect if its release is known.
    /// \param id as in on_begun()
    /// \param service service that it was begun at
    /// \param now current time
    void on_unidentified(std::uint64_t id, std::string_view service,
                         time_point now);

    /// Replaces what another daemon has told of its running streams.
    /// \param daemon peer address of the other daemon, as IP:PORT
    /// \param streams streams of which it does not know yet which process has
    ///     begun them, as in on_begun()
    /// \param now current time
    void set_unidentified(std::string const& daemon,
                          std::vector<std::uint64_t> const& streams,
                          time_point now);

    /// Called when a stream has ended.
    /// \param id as in on_begun()
    /// \param complete whether the caller got all of it
    /// \param now current time
    void on_ended(std::uint64_t id, bool complete, time_point now);

    /// \param id hash of the id of the attempt that brought the first event;
    ///     empty if the caller did not state it
    /// \param service service that the stream is to be continued at
    /// \param list_current whether no other daemon can know of a release that
    ///     this one does not
    /// \param now current time
    /// \return the release that must continue the stream
    [[nodiscard]] stream_origin find(std::optional<std::uint64_t> id,
                                     std::string_view service,
                                     bool list_current, time_point now) const;

    /// \param service name of a service
    /// \param now current time
    /// \return true if several releases may have begun streams of it
    [[nodiscard]] bool is_mixed(std::string_view service, time_point now) const;

    /// \param now current time
    /// \return releases that are in the list of this daemon or write streams of
    ///     it, of services with several
    [[nodiscard]] std::vector<software_release>
    mixed_releases(time_point now) const;

    /// \param now current time
    /// \return what this daemon has to publish
    [[nodiscard]] stream_origin_record own_record(time_point now) const;

    /// \return number that increases with each change of own_record()
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

    /// Drops streams and releases that are too old to matter.
    /// \param now current time
    void expire(time_point now);

    /// \return number of streams that are known
    [[nodiscard]] std::size_t stream_count() const { return streams_.size(); }

private:
    struct known_stream
    {
        software_release release; ///< Without a version if unidentified.
        time_point touched_at;
        bool own = false;
        bool complete = false;
        std::size_t running = 0; ///< Requests of this daemon that relay it.
    };
    /// Running streams of another daemon that are not identified. If it is
    /// killed, what it has told last stands.
    struct told_streams
    {
        std::set<std::uint64_t> ids;
        time_point told_at;
    };
    /// When a release was last known to serve.
    struct release_times
    {
        time_point seen;                       ///< By any daemon.
        time_point listed = time_point::min(); ///< In the list of this one.
        std::size_t running = 0; ///< Requests that relay a stream of it.
    };
    /// What is known of the releases of one service.
    struct service_releases
    {
        std::map<std::string, release_times, std::less<>> versions;
        /// Whether releases that served before the start are known.
        bool history_known = false;
    };

    /// A daemon that ran before may have begun streams of releases that this
    /// one has not seen.
    bool knows_all_releases(service_releases const& service,
                            time_point now) const;
    /// Whether it is known which releases served before the last start.
    bool knows_history(time_point now) const;
    /// Whether what was last noticed at a time cannot matter any more.
    bool is_old(time_point at, time_point now) const;
    release_times& touch(software_release const& release, time_point now);

    time_point history_starts_; ///< Releases have been noticed since then.
    lifetime_history lifetimes_;
    bool first_start_ = false;
    bool history_known_ = false; ///< Read from records that name all releases.
    std::optional<std::uint64_t> era_; ///< Of the store; empty before a read.
    /// When this daemon knew of the era first, or could not read last.
    time_point era_seen_at_;
    bool era_settled_ = false;     ///< Entries have been written again.
    bool published_whole_ = false; ///< As in own_record(), at the last look.
    std::map<std::string, service_releases, std::less<>> services_;
    std::map<std::uint64_t, known_stream> streams_;
    std::map<std::string, told_streams> unidentified_; ///< By daemon.
    std::uint64_t revision_ = 0;
};

} // namespace medlarstall::dispatch

#endif
