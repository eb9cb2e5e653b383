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

/// How long entries that lapsed in an outage of the list are still believed.
struct lapse_settings
{
    std::chrono::milliseconds hold{2200};       ///< After the return.
    std::chrono::milliseconds tombstone{60000}; ///< Removed starts remembered.
};

/// What changed for a backend server.
enum class list_change
{
    none,
    added,
    restarted, ///< Another start under the same id.
    updated,
    repeated, ///< Only its sequence number has grown.
    draining,
    lapsed, ///< Removed, but still believed for a while.
    removed
};

/// \param change what changed
/// \return its name for log lines
[[nodiscard]] char const* name_of(list_change change);

/// Beliefs about which backend servers exist, from the records of the list.
/// Entries never go back to an earlier state of the same start, and an entry
/// that is missing only because the list was away stays believed until it had
/// time to come back. Pure; owned by the dispatcher.
class listed_servers
{
public:
    /// What is believed of one backend server.
    struct belief
    {
        backend_server_entry entry;
        time_point updated;
        std::optional<time_point> lapses; ///< Removed for good then.
    };

    /// \param settings how long to hold lapsed entries
    explicit listed_servers(lapse_settings settings = {});

    /// Takes in an entry.
    /// \param entry the entry
    /// \param now current time
    /// \return what changed
    list_change apply(backend_server_entry const& entry, time_point now);

    /// Takes in the removal of an entry, or one that cannot be read.
    /// \param id backend server
    /// \param now current time
    /// \return what changed
    list_change remove(std::string_view id, time_point now);

    /// Notes whether the list can be read.
    /// \param reachable true if the last try brought an answer
    /// \param now current time
    void set_reachable(bool reachable, time_point now);

    /// Notes that the list has come back from an older copy. An entry that it
    /// lacks stays believed until it had time to be written again.
    /// \param now current time
    void note_restored(time_point now) { note_return(now); }

    /// Drops the entries whose time to come back has passed.
    /// \param now current time
    /// \param dropped told the id of each
    void expire(time_point now,
                std::function<void(std::string const&)> const& dropped);

    /// \return all backend servers that are believed to exist, by id
    [[nodiscard]] std::map<std::string, belief, std::less<>> const& all() const
    {
        return servers_;
    }

private:
    struct tombstone
    {
        std::int64_t started_unix_ms;
        std::uint64_t sequence;
        time_point removed;
    };

    bool is_older(backend_server_entry const& entry) const;
    bool in_outage(time_point now) const;
    void note_return(time_point now);
    void bury(backend_server_entry const& entry, time_point now);

    lapse_settings settings_;
    std::map<std::string, belief, std::less<>> servers_;
    std::map<std::string, tombstone, std::less<>> removed_;
    bool reachable_ = true;
    time_point returned_ = time_point::min();
};

} // namespace medlarstall::dispatch

#endif
