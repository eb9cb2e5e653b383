#ifndef MEDLARSTALL_ROUTING_QUARANTINE_HPP
#define MEDLARSTALL_ROUTING_QUARANTINE_HPP

#include <medlarstall/routing/quarantine_record.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::routing {

/// Thresholds for the levels of suspicion, and bounds of what is kept.
struct quarantine_settings
{
    /// Crashes from which on a suspected request runs alone.
    std::size_t exclusive_threshold = 2;
    /// Crashes from which on a request may be refused; see quarantine for the
    /// other condition.
    std::size_t refused_threshold = 3;
    /// Time after which a crash no longer counts.
    std::chrono::seconds crash_lifetime{3600};
    std::size_t max_crashes = 512;
    std::size_t max_requests_per_crash = 256;
};

/// How a request may run, in ascending order of suspicion.
enum class suspicion
{
    none,      ///< Without restrictions.
    isolated,  ///< Not together with another suspect, and never hedged.
    exclusive, ///< Alone on its backend server, and never hedged.
    refused    ///< Not at all: it crashes backend servers.
};

/// \param level level of suspicion
/// \return its name as written to log entries
[[nodiscard]] char const* name_of(suspicion level);

/// A request that runs on a backend server. Plain data.
struct running_request
{
    request_fingerprint fingerprint = 0;
    suspicion level = suspicion::none; ///< When it was dispatched.
};

/// Identifies the requests that crash the backend servers that run them. Every
/// request that ran on a backend server when it crashed is a suspect until it
/// has completed successfully once. A request is refused under two conditions:
/// it ran in refused_threshold crashes, and in one of these crashes it was
/// already a suspect when it began and all other requests have been cleared.
/// Requests whose backend servers were all lost at once, for example with a
/// rack, are therefore run again.
///
/// The state is a set of crashes, their requests and clearances that only
/// grows until it expires. Records from other daemons can therefore be merged
/// at any time, in any order and more than once. Performs no I/O;
/// owned by a daemon.
class quarantine
{
public:
    /// \param settings thresholds and bounds
    explicit quarantine(quarantine_settings settings = {});

    /// Returns how a request may run. It must be called when the request
    /// arrives and again when it is dispatched.
    /// \param fingerprint fingerprint of the request
    /// \param now current time
    /// \return the level of suspicion
    [[nodiscard]] suspicion suspicion_of(request_fingerprint fingerprint,
                                         time_point now) const;

    /// Lists the backend servers that crashed while they ran a request, which
    /// should avoid them.
    /// \param fingerprint fingerprint of the request
    /// \return ids without duplicates; empty if the request is no suspect
    [[nodiscard]] std::vector<std::string>
    crashed_backend_servers(request_fingerprint fingerprint) const;

    /// Records that a backend server of this daemon crashed.
    /// \param crash number that no other crash has, for example a hash of the
    ///     daemon, the backend server and a random number
    /// \param backend_server id of the backend server
    /// \param running requests that ran there
    /// \param now current time
    /// \return the record for the other daemons
    crash_report record_crash(crash_id crash, std::string_view backend_server,
                              std::span<running_request const> running,
                              time_point now);

    /// Records that a request completed successfully.
    /// \param fingerprint fingerprint of the request
    /// \param now current time
    /// \return the record for the other daemons; nothing if the request was no
    ///     suspect
    std::optional<clearance> record_success(request_fingerprint fingerprint,
                                            time_point now);

    /// Merges a record of another daemon.
    /// \param record record in any order, possibly a repeated one
    /// \param now current time, from which the age of the record counts
    void merge(quarantine_record const& record, time_point now);

    /// Lists the whole state as records, for a daemon that starts.
    /// \param now current time
    /// \return records with their current ages
    [[nodiscard]] std::vector<quarantine_record> records(time_point now) const;

    /// Removes all crashes that are older than their lifetime.
    /// \param now current time
    void remove_expired(time_point now);

    /// \return number of crashes kept, expired ones included
    [[nodiscard]] std::size_t crash_count() const { return crashes_.size(); }

private:
    /// State of one request with regard to one crash.
    struct request_status
    {
        bool suspected_at_start = false; ///< A suspect when it began to run.
        bool cleared = false; ///< Completed successfully since the crash.
    };

    struct crash_entry
    {
        std::string backend_server;
        std::map<request_fingerprint, request_status> requests;
        time_point crashed_at;

        [[nodiscard]] bool is_suspect(request_fingerprint fingerprint) const;
        [[nodiscard]] std::size_t suspect_count() const;
        /// \param fingerprint fingerprint of a request
        /// \return true if it was suspected at its start and is the only
        ///     request of this crash that has not been cleared
        [[nodiscard]] bool
        identifies_cause(request_fingerprint fingerprint) const;
    };
    using crash_table = std::map<crash_id, crash_entry>;

    std::vector<crash_entry const*>
    active_crashes_of(request_fingerprint fingerprint, time_point now) const;
    crash_entry& find_or_add_crash(crash_id id, time_point crashed_at);
    void apply(crash_report const& report, time_point now);
    void apply(clearance const& cleared, time_point now);
    void evict_if_full();
    void erase(crash_table::iterator place);
    request_status& find_or_add_status(crash_entry& entry, crash_id id,
                                       request_fingerprint fingerprint);

    quarantine_settings settings_;
    crash_table crashes_;
    std::map<request_fingerprint, std::vector<crash_id>> crashes_by_request_;
};

} // namespace medlarstall::routing

#endif
