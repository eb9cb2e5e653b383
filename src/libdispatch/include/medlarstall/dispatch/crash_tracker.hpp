#ifndef MEDLARSTALL_DISPATCH_CRASH_TRACKER_HPP
#define MEDLARSTALL_DISPATCH_CRASH_TRACKER_HPP

#include <medlarstall/dispatch/crashing_parts.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace medlarstall::dispatch {

/// A hash of a request that is the same each time the request is sent, by any
/// daemon.
using fingerprint = std::uint64_t;

/// Limits from which a request counts as crashing the backend servers that run
/// it.
struct crash_settings
{
    /// Number of crashes from which on the request is quarantined.
    std::uint32_t crash_threshold = 3;
    /// Longest time between losing the connection of a request and finding the
    /// backend server down for the crash to be attributed to the request.
    std::chrono::milliseconds loss_window{1500};
    /// Time after its last crash for which a request stays quarantined.
    std::chrono::minutes quarantine_time{10};
};

/// What is known of a request that may crash backend servers.
struct crash_suspect
{
    fingerprint request = 0;
    part_ids parts; ///< Shared parts of its prompt.
};

/// A crash attributed to a request, as daemons report it to each other.
struct crash_report
{
    fingerprint request = 0;
    std::string backend_server;
    /// Id of the crash, derived from the backend server and its start.
    std::uint64_t crash_id = 0;
    part_ids parts; ///< Shared parts of the prompt of the request.
    std::chrono::milliseconds age{0}; ///< Time since its connection was lost.
};

/// Finds requests that crash the backend servers that run them. A request is
/// quarantined if, crash_settings::crash_threshold times and without a success
/// in between, its connection was lost shortly before the backend server was
/// found down. Requests with a prompt part that crashes backend servers are as
/// well. Does no I/O; owned by the dispatcher.
class crash_tracker
{
public:
    /// \param settings limits from which a request is quarantined
    explicit crash_tracker(crash_settings settings = {});

    /// Called when the connection that carried a request was lost.
    /// \param request the request
    /// \param backend_server id of the backend server that the request was
    ///     sent to
    /// \param started_unix_ms start of that run, from the entry by which the
    ///     request was sent
    /// \param now current time
    void on_connection_lost(crash_suspect const& request,
                            std::string_view backend_server,
                            std::int64_t started_unix_ms, time_point now);

    /// Called when a backend server was found down. Attributes the crashes to
    /// the requests whose connections to it were just lost, each to the run
    /// that had the request.
    /// \param backend_server id of the backend server
    /// \param last_started_unix_ms start of the run that was found down; the
    ///     losses of later runs are kept
    /// \param now current time
    /// \return crashes to report to the other daemons, one for each request
    ///     whose connection was just lost; empty if there is none
    std::vector<crash_report> on_server_down(std::string_view backend_server,
                                             std::int64_t last_started_unix_ms,
                                             time_point now);

    /// Adds a crash that another daemon has reported. The same crash reported
    /// repeatedly counts once.
    /// \param report the reported crash
    /// \param now current time
    void merge(crash_report const& report, time_point now);

    /// Called when a request has succeeded, which clears it and its prompt
    /// parts of suspicion.
    /// \param request the request
    /// \param now current time
    void on_success(crash_suspect const& request, time_point now);

    /// \return the crashes and successes of prompt parts
    [[nodiscard]] crashing_parts& parts() { return parts_; }

    /// \param request fingerprint of a request
    /// \param now current time
    /// \return true if the request must not be run again for now
    [[nodiscard]] bool is_quarantined(fingerprint request,
                                      time_point now) const;

private:
    struct connection_loss
    {
        crash_suspect request;
        std::string backend_server;
        std::int64_t started_unix_ms;
        time_point at;
    };
    struct suspect
    {
        std::vector<std::uint64_t> crash_ids;
        time_point last_crash;
    };

    void add_crash(fingerprint request, std::uint64_t crash_id, time_point now);

    crash_settings settings_;
    std::deque<connection_loss> losses_;
    std::unordered_map<fingerprint, suspect> suspects_;
    crashing_parts parts_;
};

} // namespace medlarstall::dispatch

#endif
