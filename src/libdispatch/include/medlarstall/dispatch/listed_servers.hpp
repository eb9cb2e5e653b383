#ifndef MEDLARSTALL_DISPATCH_LISTED_SERVERS_HPP
#define MEDLARSTALL_DISPATCH_LISTED_SERVERS_HPP

#include <medlarstall/dispatch/backend_server_entry.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace medlarstall::dispatch {

/// How long lapsed entries are used and removed ones remembered. An entry has
/// lapsed if it is missing from the list because of an outage of the list; it
/// is still used until the hold time has passed.
struct lapse_settings
{
    /// Time after the end of an outage of the list for which a lapsed entry is
    /// still used, so that it can be published again.
    std::chrono::milliseconds hold_time{2200};
    /// Time for which a removed entry is remembered, so that a delayed older
    /// entry does not add it again.
    std::chrono::milliseconds tombstone_lifetime{60000};
};

/// What an update of the list changed for a backend server.
enum class list_change
{
    none,
    added,
    restarted, ///< The id now stands for another run of the process.
    updated,
    repeated, ///< Only the sequence number has increased.
    draining, ///< The entry now states that the backend server drains.
    lapsed,   ///< Missing because of an outage; used until the hold time ends.
    removed
};

/// \param change the change to name
/// \return the name of the change as written to the log, or "unknown" if the
///     value is not an enumerator
[[nodiscard]] char const* name_of(list_change change);

/// The backend servers that are assumed to exist, according to the list that
/// they publish their entries in. An entry is never replaced by an older one of
/// the same run. An entry that is missing only because the list was unavailable
/// is kept until it has had time to be published again. Does no I/O; owned by
/// the dispatcher.
class listed_servers
{
public:
    /// One backend server of the list.
    struct listing
    {
        backend_server_entry entry;
        time_point updated_at;
        /// Time at which it is dropped; empty unless its entry has lapsed.
        std::optional<time_point> expires_at;
    };

    /// \param settings how long to keep lapsed and to remember removed entries
    explicit listed_servers(lapse_settings settings = {});

    /// Adds or replaces an entry.
    /// \param entry the published entry
    /// \param now current time
    /// \return what changed; none if a newer entry is known
    list_change apply(backend_server_entry const& entry, time_point now);

    /// Removes an entry that is no longer in the list or cannot be parsed.
    /// \param id id of the backend server
    /// \param now current time
    /// \return removed; lapsed if the entry is still used because of an outage;
    ///     none if the backend server is unknown
    list_change remove(std::string_view id, time_point now);

    /// Sets whether the list can be read by any daemon. That this one is behind
    /// does not make it unreachable.
    /// \param reachable true if it can be read
    /// \param returned_at end of its last outage, of which this daemon may not
    ///     have known; ignored if it cannot be read
    void set_reachable(bool reachable, time_point returned_at);

    /// Called when the list was restored from an older copy. Entries that the
    /// copy lacks are kept until they have had time to be published again.
    /// \param now current time
    void on_restored(time_point now);

    /// Drops the lapsed entries that were not published again in time.
    /// \param now current time
    /// \param dropped called with the id of each backend server that is dropped
    void expire(time_point now,
                std::function<void(std::string const&)> const& dropped);

    /// \return all backend servers that are assumed to exist, by id
    [[nodiscard]] std::map<std::string, listing, std::less<>> const& all() const
    {
        return servers_;
    }

private:
    struct tombstone
    {
        std::int64_t started_unix_ms;
        std::uint64_t sequence;
        time_point removed_at;
    };

    bool is_outdated(backend_server_entry const& entry) const;
    bool in_outage(time_point now) const;
    void hold_lapsed_since(time_point returned_at);
    void add_tombstone(backend_server_entry const& entry, time_point now);

    lapse_settings settings_;
    std::map<std::string, listing, std::less<>> servers_;
    std::map<std::string, tombstone, std::less<>> tombstones_;
    bool reachable_ = true;
    /// When the list last became complete after an outage or a restore; entries
    /// that are missing are held for a while from then on.
    time_point reachable_since_ = time_point::min();
    time_point restored_at_ = time_point::min();
};

} // namespace medlarstall::dispatch

#endif
