#ifndef MEDLARSTALL_DISPATCH_SERVER_PATHS_HPP
#define MEDLARSTALL_DISPATCH_SERVER_PATHS_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::dispatch {

/// From when on a daemon takes its paths for lost.
struct path_settings
{
    /// Servers that failed without any contact with the service since. A single
    /// one is taken to be down itself.
    std::size_t min_failed_servers = 2;
    /// A failure counts for this long; probes of the servers repeat it.
    std::chrono::milliseconds failure_lifetime{3000};
    /// A daemon that had contact within this time, and no failure since,
    /// reaches the service.
    std::chrono::seconds contact_lifetime{60};
    /// While servers have failed for less than this time without a contact,
    /// they are taken to be down unless there are too many for chance. Refused
    /// connections to several servers take a few milliseconds.
    std::chrono::milliseconds min_failing_time{150};
    /// Share of servers that may have crashed before any daemon has told of it.
    /// Also the most that is assumed after min_failing_time, since servers that
    /// are known to be down do not count as failures.
    double largest_crash = 1.0 / 3;
    /// A run of failures is chance if it is more likely than this.
    double chance = 0.02;
    /// The same before min_failing_time. The next server costs a millisecond,
    /// and a helper may see no more: 15 failures in a row.
    double early_chance = 1e-7;
    /// Time between two checks of paths that are taken for lost.
    std::chrono::milliseconds check_interval{300};
};

/// What led to the decision whether the paths to a service are lost.
struct path_evidence
{
    bool lost = false;
    /// Since the last contact, without those that others cannot reach either.
    std::size_t failed_servers = 0;
    /// Share of the servers of the service that other daemons cannot reach.
    double down_share = 0;
    /// Since any server of the service has sent anything; empty if none has.
    std::optional<duration> contact_age;
};

/// Connections of one request that failed before any byte of it was sent.
struct connection_failures
{
    std::uint32_t refused = 0;   ///< At once.
    std::uint32_t failed = 0;    ///< In another way, such as by a timeout.
    bool no_server_left = false; ///< All servers have been tried.
};

/// Tells servers that are down from paths of this daemon that are lost: if
/// several servers fail and none of the service sends anything, it is the path.
/// Whether other daemons reach the servers is for the owner to ask. Does no
/// I/O; owned by the gateway.
class server_paths
{
public:
    /// \param settings from when on paths are taken for lost
    explicit server_paths(path_settings settings = {}) : settings_{settings} {}

    /// Called when a server has sent any byte.
    /// \param service its service
    /// \param now current time
    void on_contact(std::string_view service, time_point now);

    /// Called when a server could not be connected to, a connection was lost,
    /// or nothing came where something should have.
    /// \param service its service
    /// \param server id of the server
    /// \param now current time
    void on_failure(std::string_view service, std::string_view server,
                    time_point now);

    /// Sets which servers of a service other daemons cannot reach either. Their
    /// failures are no evidence of lost paths.
    /// \param service name of the service
    /// \param servers ids of the servers, sorted
    /// \param listed number of all servers of the service
    void set_failed_elsewhere(std::string_view service,
                              std::vector<std::string> servers,
                              std::size_t listed);

    /// Called when other daemons reach all servers again.
    void clear_failed_elsewhere();

    /// \param failures failures of different servers in a row
    /// \param down_share share of the servers that are known to be down
    /// \param early whether they have taken less than min_failing_time
    /// \return true if the failures are likely by chance, as servers are down
    [[nodiscard]] bool is_chance(std::size_t failures, double down_share,
                                 bool early) const;

    /// \param service name of a service
    /// \param now current time
    /// \return whether the paths to its servers are lost, and why
    [[nodiscard]] path_evidence examine(std::string_view service,
                                        time_point now) const;

    /// Decides whether a peer may reach more for a request than this daemon.
    /// Older connections may live on where no new one can be opened, so the
    /// failures of the request itself count besides lost paths.
    /// \param evidence result of examine() for its service
    /// \param failures what the request has met
    /// \return the reason to forward it; null if there is none
    [[nodiscard]] char const*
    reason_to_forward(path_evidence const& evidence,
                      connection_failures const& failures) const;

    /// While its paths are taken for lost, a daemon sends nothing by which it
    /// could notice that they are not, so it has to check them.
    /// \param now current time
    /// \return services of which one server has to be probed now, best one
    ///     that has not failed
    [[nodiscard]] std::vector<std::string> take_due_checks(time_point now);

    /// \param service name of a service
    /// \param server id of one of its servers
    /// \return true if the server has failed since the last contact
    [[nodiscard]] bool has_failed(std::string_view service,
                                  std::string_view server) const;

    /// \param service name of a service
    /// \param since a time in the past
    /// \return true if any of its servers has sent something since then
    [[nodiscard]] bool had_contact_since(std::string_view service,
                                         time_point since) const;

    /// \param now current time
    /// \return services that this daemon reaches, to tell its peers
    [[nodiscard]] std::vector<std::string>
    reached_services(time_point now) const;

private:
    struct service_paths
    {
        std::optional<time_point> last_contact;
        time_point failing_since; ///< If there are failures.
        /// Last failure of each server since the last contact.
        std::map<std::string, time_point, std::less<>> failures;
        time_point next_check;
        /// Servers that other daemons cannot reach either; sorted.
        std::vector<std::string> failed_elsewhere;
        double down_share = 0;
    };

    std::size_t recent_failures(service_paths const& service,
                                time_point now) const;
    bool loses_another(std::string_view service, time_point now) const;

    path_settings settings_;
    std::map<std::string, service_paths, std::less<>> services_;
};

} // namespace medlarstall::dispatch

#endif
