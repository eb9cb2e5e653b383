#ifndef MEDLARSTALL_DISPATCH_SERVER_PROCESSES_HPP
#define MEDLARSTALL_DISPATCH_SERVER_PROCESSES_HPP

#include <medlarstall/dispatch/backend_server_entry.hpp>
#include <medlarstall/support/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::dispatch {

/// One start of a backend server. A server may start again under its id.
struct server_process
{
    std::int64_t started_unix_ms = 0; ///< As it states; 0 if it does not.
    /// Empty while no entry of this start is known.
    std::string software_version;
};

/// The time in which one process was certainly at the other end of a
/// connection.
struct connection_span
{
    time_point opened_at;
    /// Time at which the process was certainly running; not before opened_at.
    time_point last_received_at;
};

/// Which process was probably at the other end of a connection.
struct process_presumption
{
    /// Empty if there is a sign that it is not the one that was known before.
    std::optional<server_process> process;
    /// Time from when that one was last certainly running to the opening of the
    /// connection; the longest time if it is not known.
    duration unseen = duration::max();
    /// A connection to the server was lost or closed in that time.
    bool doubtful = false;
};

/// Knows which process of a backend server was at the other end of a
/// connection. An entry of the list may be older than the process that answers.
/// A process is therefore known to be the one of a connection only if it has
/// been seen before the connection ended and was still running after the
/// connection was opened. Does no I/O; owned by the gateway.
class server_processes
{
public:
    /// Called for each entry that is read.
    /// \param entry the entry
    /// \param written_after time after which it was certainly written; empty
    ///     if none is known
    /// \param now current time
    /// \return true if more may be known than before
    bool on_entry(backend_server_entry const& entry,
                  std::optional<time_point> written_after, time_point now);

    /// Called when a backend server has stated when its process started.
    /// \param id id of the backend server
    /// \param started_unix_ms start of the process, in ms since the Unix epoch
    /// \param asked_at when it was asked
    /// \param now current time
    void on_stated(std::string const& id, std::int64_t started_unix_ms,
                   time_point asked_at, time_point now);

    /// Called when bytes arrive on a connection whose process is known.
    /// \param id id of the backend server
    /// \param process result of find() for the connection
    /// \param running_at time at which the process was certainly running
    void on_received(std::string_view id, server_process const& process,
                     time_point running_at);

    /// Called when a connection was lost or could not be opened, so that the
    /// process may have ended.
    /// \param id id of the backend server
    /// \param now current time
    void on_connection_lost(std::string_view id, time_point now);

    /// \param id id of a backend server
    /// \param span when its process was at the other end of a connection
    /// \return the process; empty if it is not known, or not its version
    [[nodiscard]] std::optional<server_process>
    find(std::string_view id, connection_span span) const;

    /// Called when a backend server has closed an idle connection, as it also
    /// does when its process ends.
    /// \param id id of the backend server
    /// \param now current time
    void on_idle_closed(std::string_view id, time_point now);

    /// Tells which process was probably at the other end of a connection that
    /// find() cannot identify any more, as the process has ended. To be asked
    /// when the entries that were written before the end have been read.
    /// \param id id of a backend server
    /// \param span when its process was at the other end of a connection
    /// \return the process of the last entry, unless there is a sign that
    ///     another one has begun after it
    [[nodiscard]] process_presumption presume(std::string_view id,
                                              connection_span span) const;

    /// \param id id of a backend server
    /// \return true if the present process may be another than the one of its
    ///     entry, as connections were lost since that one was last seen
    [[nodiscard]] bool may_have_restarted(std::string_view id) const;

    /// \return ids for which may_have_restarted() holds
    [[nodiscard]] std::vector<std::string> possibly_restarted() const;

    /// Forgets backend servers that were last seen too long ago.
    /// \param now current time
    void expire(time_point now);

private:
    struct known_process
    {
        server_process process;
        time_point known_since;
        /// Latest time at which it was certainly running.
        time_point running_at = time_point::min();
    };
    struct known_server
    {
        /// In the order in which they ran. The last one may be the present
        /// one; only of that one it can become known that it still runs.
        std::vector<known_process> processes;
        time_point lost_at = time_point::min(); ///< Last lost connection.
        /// First connection that was lost or closed while idle since the
        /// latest process was certainly running.
        std::optional<time_point> doubtful_since;
        time_point touched_at;
    };

    static void set_running(known_server& server, known_process& latest,
                            time_point at);
    static known_process* ensure_process(known_server& server,
                                         std::int64_t started_unix_ms,
                                         bool is_present, time_point now);

    std::map<std::string, known_server, std::less<>> servers_;
};

} // namespace medlarstall::dispatch

#endif
