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

/// How suspicion grows and how much of it is kept.
struct quarantine_settings
{
    std::size_t exclusive_from = 2; ///< Crashes; from then on it runs alone.
    std::size_t refused_from = 3;   ///< Crashes; see quarantine.
    std::chrono::seconds lifetime{3600}; ///< Of a crash.
    std::size_t crashes = 512;           ///< Most that are kept.
    std::size_t running = 256;           ///< Most requests kept of each.
};

/// How a request may run, from the mildest level on.
enum class suspicion
{
    none,      ///< Like any other.
    isolated,  ///< Not beside another suspect, never hedged.
    exclusive, ///< With nothing beside it, never hedged.
    refused    ///< Not at all: it crashes backend servers.
};

/// \param level a level
/// \return its name for log lines
[[nodiscard]] char const* name_of(suspicion level);

/// A request that runs on a backend server. Plain data.
struct running_request
{
    request_fingerprint fingerprint = 0;
    suspicion level = suspicion::none; ///< When it was dispatched.
};

/// Finds the requests that crash the backend servers that run them. Every
/// request that ran on a backend server when it crashed is a suspect until it
/// has ended well once. A request is refused if it ran in refused_from crashes
/// and, in one that it began as a suspect, all others that ran have been
/// cleared. So requests whose backend servers were all lost at once, with a
/// rack for example, are run again. The state is a set of crashes, their
/// requests and clearances that only grows until it expires, so that records
/// from other daemons can be taken in at any time, in any order and more than
/// once. Pure; owned by a daemon.
class quarantine
{
public:
    /// \param settings thresholds and bounds
    explicit quarantine(quarantine_settings settings = {});

    /// Tells how a request may run. Ask when it enters and again when it is
    /// dispatched.
    /// \param fingerprint fingerprint of the request
    /// \param now current time
    /// \return the level of suspicion
    [[nodiscard]] suspicion judge(request_fingerprint fingerprint,
                                  time_point now) const;

    /// Names the backend servers that crashed under a request, which it
    /// should avoid.
    /// \param fingerprint fingerprint of the request
    /// \return their ids, each once
    [[nodiscard]] std::vector<std::string>
    crashed_under(request_fingerprint fingerprint) const;

    /// Records that a backend server of this daemon crashed.
    /// \param crash number that no other crash has, for example a hash of the
    ///     daemon, the backend server and a random number
    /// \param backend_server its id
    /// \param running requests that ran there
    /// \param now current time
    /// \return the record for the other daemons
    crash_report record_crash(crash_id crash, std::string_view backend_server,
                              std::span<running_request const> running,
                              time_point now);

    /// Records that a request ended well.
    /// \param fingerprint fingerprint of the request
    /// \param now current time
    /// \return the record for the other daemons if it was a suspect
    std::optional<clearance> record_success(request_fingerprint fingerprint,
                                            time_point now);

    /// Takes in a record of another daemon.
    /// \param record the record
    /// \param now current time
    void merge(quarantine_record const& record, time_point now);

    /// Lists everything kept, for a daemon that starts.
    /// \param now current time
    /// \return records with their ages
    [[nodiscard]] std::vector<quarantine_record> records(time_point now) const;

    /// Drops what has expired.
    /// \param now current time
    void expire(time_point now);

    /// \return crashes that are kept
    [[nodiscard]] std::size_t crashes() const { return crashes_.size(); }

private:
    /// What one crash says of one request.
    struct standing
    {
        bool suspected = false; ///< It was a suspect when it began.
        bool cleared = false;   ///< It ended well since.
    };

    struct crash
    {
        std::string backend_server;
        std::map<request_fingerprint, standing> requests;
        time_point at;

        [[nodiscard]] bool suspects(request_fingerprint fingerprint) const;
        [[nodiscard]] std::size_t suspects() const;
        [[nodiscard]] bool convicts(request_fingerprint fingerprint) const;
    };
    using crash_table = std::map<crash_id, crash>;

    std::vector<crash const*> held_against(request_fingerprint fingerprint,
                                           time_point now) const;
    crash& crash_of(crash_id id, time_point at);
    void take(crash_report const& report, time_point now);
    void take(clearance const& cleared, time_point now);
    void make_room();
    void erase(crash_table::iterator place);
    standing& standing_of(crash& entry, crash_id id,
                          request_fingerprint fingerprint);

    quarantine_settings settings_;
    crash_table crashes_;
    std::map<request_fingerprint, std::vector<crash_id>> by_request_;
};

} // namespace medlarstall::routing

#endif
