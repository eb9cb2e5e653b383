#ifndef MEDLARSTALL_DISPATCH_DISPATCHER_HPP
#define MEDLARSTALL_DISPATCH_DISPATCHER_HPP

#include <medlarstall/dispatch/crash_tracker.hpp>
#include <medlarstall/dispatch/estimate_calibration.hpp>
#include <medlarstall/dispatch/fleet_cells.hpp>
#include <medlarstall/dispatch/limit_division.hpp>
#include <medlarstall/dispatch/listed_servers.hpp>
#include <medlarstall/dispatch/mechanism.hpp>
#include <medlarstall/dispatch/placement.hpp>
#include <medlarstall/dispatch/placement_cost.hpp>
#include <medlarstall/dispatch/prompt_cache_estimate.hpp>
#include <medlarstall/dispatch/rate_permits.hpp>
#include <medlarstall/dispatch/rejection_limit.hpp>
#include <medlarstall/dispatch/requested_pause.hpp>
#include <medlarstall/dispatch/retry_budget.hpp>
#include <medlarstall/dispatch/return_schedule.hpp>
#include <medlarstall/dispatch/server_health.hpp>
#include <medlarstall/dispatch/server_rate_limit.hpp>
#include <medlarstall/dispatch/server_reports.hpp>
#include <medlarstall/dispatch/server_room.hpp>
#include <medlarstall/routes/route_table.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::dispatch {

/// Location of the dispatcher and the limits that it enforces.
struct dispatcher_settings
{
    std::string data_centre; ///< Data centre that the daemon runs in.
    retry_limits retries;    ///< Retry budget of each service.
    /// Mechanisms disabled for a measurement.
    mechanism_set disabled_mechanisms;
    /// Differs between daemons and between the starts of a daemon.
    std::uint64_t start_seed = 0;
    /// Earliest time at which this daemon uses the slack of retry budgets.
    time_point retry_slack_from = time_point::min();
};

/// Chooses backend servers. The choice depends on the list of backend servers,
/// the outcome of earlier requests, the load that other daemons report, and the
/// prompt parts that were sent to each backend server. Does no I/O; owned by
/// the gateway.
class dispatcher
{
public:
    /// \param settings location and limits
    explicit dispatcher(dispatcher_settings settings);

    /// Replaces the settings after a reload.
    /// \param settings new location and limits
    void set_settings(dispatcher_settings settings);

    /// Sets which cell of a large fleet this daemon belongs to.
    /// \param cell the cell; backend servers of other cells are used only if
    ///     none of this one can be
    void set_cell(fleet_cell cell);

    /// Sets the routes and services.
    /// \param table configuration in force
    void set_routes(std::shared_ptr<routes::route_table const> table);

    /// Adds or replaces an entry of the list of backend servers.
    /// \param entry the published entry
    /// \param now current time
    /// \return what changed; none if a newer entry is known
    list_change apply(backend_server_entry const& entry, time_point now);

    /// Removes an entry that is no longer in the list or cannot be parsed.
    /// \param id id of the backend server
    /// \param now current time
    /// \return removed; lapsed if the entry is kept because of an outage of the
    ///     list; none if the backend server is unknown
    list_change remove(std::string_view id, time_point now);

    /// Sets whether the list of backend servers can be read by any daemon.
    /// \param reachable true if it can be read
    /// \param returned_at end of its last outage; ignored if it cannot be read
    void set_list_readable(bool reachable, time_point returned_at);

    /// Called when the list was restored from an older copy. Entries that the
    /// copy lacks are kept until they have had time to be published again.
    /// \param now current time
    void on_list_restored(time_point now);

    /// Chooses the backend server with the lowest cost for a request.
    /// \param request request to place
    /// \param now current time
    /// \return the choice, or nothing if no backend server can be used
    [[nodiscard]] std::optional<placement>
    choose(placement_request const& request, time_point now);

    /// Called when a request is sent to its choice. Adds it to the load there.
    /// \param request the request
    /// \param chosen result of choose() for the request
    /// \param now current time
    /// \return the added load, which must be passed to on_send_ended() later
    load_reservation on_sent(placement_request const& request,
                             placement const& chosen, time_point now);

    /// Called when the first event of a stream, or the head of another answer,
    /// arrives. Only the first call for a request has an effect.
    /// \param reservation load of the request; marked as started
    /// \param now current time
    void on_answer_started(load_reservation& reservation, time_point now);

    /// Called when an answer has ended of which it is still open whether it is
    /// complete. Removes the request from the load at its backend server.
    /// \param reservation load of the request; marked as ended
    /// \param now current time
    void on_answer_ended(load_reservation& reservation, time_point now);

    /// Called when a request has ended at its backend server. Removes it from
    /// the load there, unless on_answer_ended() has done that.
    /// \param reservation load of the request
    /// \param outcome how it ended
    /// \param now current time
    void on_send_ended(load_reservation const& reservation,
                       send_outcome outcome, time_point now);

    /// Called when load figures arrive with an answer.
    /// \param id id of the backend server that sent them
    /// \param load the figures
    /// \param now current time
    void on_load_report(std::string_view id, server_load_report const& load,
                        time_point now);

    /// Called when a backend server has announced that it leaves. This run of
    /// it gets no more requests.
    /// \param id id of the backend server
    /// \param now current time
    /// \return true if this was not known before
    bool on_leaving(std::string_view id, time_point now);

    /// Adds what another daemon was told about a backend server that leaves.
    /// \param notice which run of which backend server leaves
    /// \return true if this was not known before
    bool merge_leave_notice(leave_notice const& notice);

    /// \param since start of the time span, exclusive
    /// \return backend servers that have announced to this daemon after that
    ///     time that they leave
    [[nodiscard]] std::vector<leave_notice>
    leave_notices_since(time_point since) const;

    /// \param id id of a backend server
    /// \return true if its present run has announced that it leaves
    [[nodiscard]] bool is_leaving(std::string_view id) const;

    /// Called when a backend server asks this daemon to stop sending for a
    /// while.
    /// \param id id of the backend server
    /// \param wanted length of the pause that it asks for
    /// \param now current time
    void on_pause_requested(std::string_view id, duration wanted,
                            time_point now);

    /// Called when an answer of a backend server states a rate limit.
    /// \param id id of the backend server
    /// \param requests_per_second the limit; zero or more
    /// \param now current time
    /// \return how the known limit has changed
    rate_limit_change on_rate_limit(std::string_view id,
                                    double requests_per_second, time_point now);

    /// Called when an answer of a backend server states no rate limit.
    /// \param id id of the backend server
    /// \param sent_at when the request of the answer was sent
    /// \param now current time
    /// \return how the known limit has changed
    rate_limit_change on_no_rate_limit(std::string_view id, time_point sent_at,
                                       time_point now);

    /// Adds what another daemon has observed of a rate limit.
    /// \param notice the observation; ignored if it is of another run
    /// \param now current time
    /// \return how the known limit has changed
    rate_limit_change merge_rate_limit(rate_limit_notice const& notice,
                                       time_point now);

    /// \param since start of the time span, exclusive
    /// \param now current time
    /// \return rate limits whose changes this daemon has observed after that
    ///     time
    [[nodiscard]] std::vector<rate_limit_notice>
    rate_limits_changed_since(time_point since, time_point now) const;

    /// Called when an answer of a backend server states how many rejections it
    /// survives. Until the others of its service answer, the same is assumed of
    /// them. Requests are then kept to the slots of these servers.
    /// \param id id of the backend server
    /// \param rejections_per_second the limit; zero or more
    /// \param now current time
    /// \return true if this is new
    bool on_rejection_limit(std::string_view id, double rejections_per_second,
                            time_point now);

    /// Called when an answer of a backend server states no such limit.
    /// \param id id of the backend server
    /// \param sent_at when the request of the answer was sent
    /// \param now current time
    /// \return true if there was a limit before
    bool on_no_rejection_limit(std::string_view id, time_point sent_at,
                               time_point now);

    /// \param service name of a service
    /// \param urgency_share as in placement_request
    /// \param now current time
    /// \return true if a backend server of the service gets no request now, to
    ///     spare it rejections
    [[nodiscard]] bool lacks_room(std::string_view service,
                                  double urgency_share, time_point now) const;

    /// \param now current time
    /// \return number of backend servers that survive few rejections
    [[nodiscard]] std::size_t limited_room_count(time_point now) const;

    /// Sets which daemons share the rate limits of backend servers. Without
    /// this call, this daemon uses them alone.
    /// \param fleet the daemons
    void set_fleet(fleet_daemons fleet);

    /// Sets the time of day, by which daemons share rate limits.
    /// \param at time of day
    /// \param now current time
    void set_time_of_day(shared_time at, time_point now);

    /// Uses up one permit of a backend server for a request of this daemon
    /// itself. Always succeeds if it has no rate limit.
    /// \param id id of the backend server
    /// \param now current time
    /// \return false if the request must not be sent now
    [[nodiscard]] bool try_take_permit(std::string_view id, time_point now);

    /// Determines when a caller may come back whose request exceeds the rate
    /// limits of its service.
    /// \param request the request, for which choose() has found nothing
    /// \param now current time
    /// \return the time; empty if rate limits are not the cause
    std::optional<limited_return> book_return(placement_request const& request,
                                              time_point now);

    /// Called when this daemon could not reach a backend server.
    /// \param id id of the backend server
    /// \param started_unix_ms start of the run that it tried to reach
    /// \param kind refused or silent
    /// \param now current time
    /// \return true if the peers should be told at once
    bool on_server_failure(std::string_view id, std::int64_t started_unix_ms,
                           report_kind kind, time_point now);

    /// Called when a backend server has sent anything to this daemon.
    /// \param id id of the backend server
    /// \param now current time
    void on_server_answer(std::string_view id, time_point now);

    /// Adds what another daemon has observed of a backend server.
    /// \param daemon hash of its name
    /// \param report the observation; ignored if it is of another run
    /// \param now current time
    /// \return true if the server was down for this daemon and is used again
    bool merge_server_report(std::uint64_t daemon, server_report const& report,
                             time_point now);

    /// \param now current time
    /// \return the newest own observations to tell the peers
    [[nodiscard]] std::vector<server_report>
    server_reports_to_tell(time_point now) const;

    /// Backend servers of a service that other daemons cannot reach.
    struct failed_elsewhere
    {
        std::vector<std::string> servers; ///< Sorted.
        std::size_t listed = 0; ///< Number of all servers of the service.
    };

    /// \param now current time
    /// \return by service, what other daemons cannot reach; services without
    ///     any such server are left out
    [[nodiscard]] std::map<std::string, failed_elsewhere>
    servers_failed_elsewhere(time_point now) const;

    /// \return number of backend servers that several daemons cannot reach
    /// \param now current time
    [[nodiscard]] std::size_t doubted_server_count(time_point now) const;

    /// \return number of backend servers that have a rate limit
    [[nodiscard]] std::size_t limited_server_count() const;

    /// \param id id of a backend server
    /// \return its rate limit, or nullptr if the backend server is unknown
    [[nodiscard]] server_rate_limit const*
    rate_limit_of(std::string_view id) const;

    /// \param service name of a service
    /// \param urgency_share as in placement_request
    /// \param now current time
    /// \return time until the first of the backend servers of the service that
    ///     are neither draining nor leaving nor down accepts a request, as far
    ///     as requested pauses and rate limits tell; zero if one of them
    ///     accepts requests now, or if there are none
    [[nodiscard]] duration time_until_usable(std::string_view service,
                                             double urgency_share,
                                             time_point now) const;

    /// \param id id of a backend server
    /// \return its health as observed on connections, or nullptr if the
    ///     backend server is unknown
    [[nodiscard]] server_health* health_tracker_of(std::string_view id);

    /// \param id id of a backend server
    /// \return its present health; down if the backend server is unknown
    [[nodiscard]] health health_of(std::string_view id) const;

    /// \param id id of a backend server
    /// \param now current time
    /// \return load by what all daemons have in flight there, as far as known
    [[nodiscard]] server_load load_of(std::string_view id,
                                      time_point now) const;

    /// Lists the backend servers to probe now, and marks their probes as
    /// started.
    /// \param now current time
    /// \return their entries; the caller must probe each of them
    [[nodiscard]] std::vector<backend_server_entry>
    take_due_probes(time_point now);

    /// \param id id of a backend server
    /// \return its entry in the list, or nullptr if it is unknown
    [[nodiscard]] backend_server_entry const*
    find_entry(std::string_view id) const;

    /// Tells whether what is known by the id of a backend server is of a
    /// certain run of it. An answer may arrive, and a connection may be lost,
    /// after the entry of the next run was read.
    /// \param id id of the backend server
    /// \param started_unix_ms when the run has started, from the entry by which
    ///     a request was sent to it
    /// \return true if its entry in the list is of that run
    [[nodiscard]] bool is_listed_run(std::string_view id,
                                     std::int64_t started_unix_ms) const;

    /// Replaces what is known of the requests that another daemon has in
    /// flight.
    /// \param daemon peer address of the other daemon, as IP:PORT
    /// \param entries its load at each backend server
    /// \param now current time
    void merge_loads(std::string const& daemon,
                     std::vector<server_load_entry> const& entries,
                     time_point now);

    /// Adds to the estimated cache of a backend server a prompt that another
    /// daemon has sent there.
    /// \param id id of the backend server
    /// \param sent the prompt
    /// \param now current time
    void merge_prompt(std::string_view id, prompt const& sent, time_point now);

    /// \param since start of the time span, exclusive
    /// \return prompt parts used after that time, for each backend server that
    ///     has any
    [[nodiscard]] std::vector<server_prompt_parts>
    parts_used_since(time_point since) const;

    /// Adds prompt parts whose prefill is done to the estimated cache of a
    /// backend server.
    /// \param cached the backend server and the parts in its cache; ignored if
    ///     another run of it has them
    /// \param now current time
    void merge_parts(server_prompt_parts const& cached, time_point now);

    /// \param now current time
    /// \return load by the requests that this daemon has in flight, for each
    ///     backend server that has any
    [[nodiscard]] std::vector<server_load_entry>
    own_loads(time_point now) const;

    /// Drops lapsed entries of the list and outdated load of other daemons.
    /// \param now current time
    /// \param dropped called with the id of each backend server that is dropped
    void expire(time_point now,
                std::function<void(std::string const&)> const& dropped);

    /// Sets how many daemons share the retry budgets. Without this call, this
    /// daemon uses them alone.
    /// \param daemons their number with this one; zero if it is not known
    void set_retry_sharers(std::size_t daemons) { retry_sharers_ = daemons; }

    /// Called when a new request to a service arrives, which increases its
    /// retry budget.
    /// \param service name of the service
    void on_request(std::string const& service);

    /// Consumes one retry from the budget of a service.
    /// \param service name of the service
    /// \param now current time
    /// \return whether the request may be sent again, and why
    [[nodiscard]] retry_decision try_retry(std::string const& service,
                                           time_point now);

    /// \param which a mechanism of placement or admission
    /// \return true unless it is disabled for a measurement
    [[nodiscard]] bool is_enabled(mechanism which) const
    {
        return !settings_.disabled_mechanisms.contains(which);
    }

    /// \return tracker of requests that crash backend servers
    [[nodiscard]] crash_tracker& crashes() { return crash_tracker_; }

    /// \return the backend servers of the list
    [[nodiscard]] listed_servers const& listed() const { return server_list_; }

private:
    struct peer_load
    {
        server_load load;
        time_point received_at;
    };
    /// What is known of one run of a backend server besides its entry.
    struct server_record
    {
        /// Number that this daemon gave to the run of the backend server.
        std::uint64_t incarnation = 0;
        server_load own_load;
        std::map<std::string, peer_load> peer_loads; ///< By peer address.
        server_health health_tracker;
        prompt_cache_estimate cached_parts;
        server_load_report last_report;
        time_point reported_at = time_point::min();
        /// Real divided by expected time to first event, learned for this
        /// backend server.
        double slowness = 1.0;
        double latency_ms = 10.0;
        time_point long_prefill_share_updated_at;
        requested_pause pause; ///< Stop of sending that it has asked for.
        server_rate_limit rate_limit; ///< Limit of all daemons together.
        rate_permits permits;         ///< Part of this daemon in the limit.
        limit_sharers sharers;
        /// Value of limit_division_.revision() from which sharers was computed.
        std::uint64_t sharers_revision = 0;
        rejection_limit rejections;
        server_room room;       ///< Part of this daemon in its slots.
        server_reports reports; ///< Of all daemons.
        bool leaving = false;
        /// When it announced to this daemon that it leaves; empty if only
        /// another daemon was told.
        std::optional<time_point> announced_leaving_at;
    };
    /// A listed backend server together with its record.
    struct known_server
    {
        listed_servers::listing const* listing;
        server_record* record;
        std::uint64_t id_hash;
    };
    using known_servers = std::vector<known_server>;
    /// Rejections that the servers of a service survive, as one of them has
    /// stated last.
    struct service_rejection_limit
    {
        double rejections_per_second = 0;
        time_point stated_at;
        /// Until then its slots may not suffice for all requests.
        time_point crowded_until = time_point::min();
    };
    /// Backend servers of one service.
    struct service_servers
    {
        known_servers all;
        known_servers in_cell; ///< Those of the cell of this daemon.
    };
    /// Values over all candidates of one request that the cost of each depends
    /// on.
    struct comparison
    {
        double mean_failure_share = 0;
        std::uint32_t max_cached_tokens = 0;
        std::uint32_t max_ready_tokens = 0;
        /// Address of the backend server with max_ready_tokens.
        std::string copy_source_address;
        /// The first few backend servers in the order of preference.
        std::vector<server_record const*> preferred_servers;
    };

    retry_budget& retry_budget_of(std::string const& service);
    server_record& ensure_record(std::string_view id);
    server_record const* find_record(std::string_view id) const;
    server_record* record_of_run(load_reservation const& reservation);
    void remove_load(server_record& record, load_reservation const& reservation,
                     time_point now);
    static double long_prefill_share_of(server_record const& record,
                                        time_point now);
    comparison compare(known_servers const& servers,
                       placement_request const& request, health worst_health,
                       time_point now) const;
    static void set_copied_tokens(candidate& evaluated,
                                  comparison const& others,
                                  routes::service const* service);
    server_load total_load(server_record const& record, time_point now) const;
    void apply_disabled_mechanisms(candidate& evaluated) const;
    candidate evaluate(listed_servers::listing const& listing,
                       server_record const& record,
                       placement_request const& request,
                       comparison const& others, time_point now) const;
    static bool is_usable(known_server const& server,
                          placement_request const& request, health worst_health,
                          time_point now);
    bool is_eligible(known_server const& server,
                     placement_request const& request, health worst_health,
                     time_point now) const;
    void invalidate_assignments();
    void assign_servers_to_cell();
    shared_time time_of_day(time_point now) const;
    void update_sharers(std::string_view id, server_record& record);
    void add_permits(std::string_view id, server_record& record,
                     time_point now);
    static bool has_permit(server_record const& record, double urgency_share,
                           time_point now);
    bool may_send(known_server const& server, double urgency_share,
                  time_point now) const;
    bool has_withheld(known_servers const& servers,
                      placement_request const& request, time_point now) const;
    std::optional<double> rejection_limit_of(backend_server_entry const& entry,
                                             server_record const& record,
                                             time_point now) const;
    void update_room(backend_server_entry const& entry, server_record& record,
                     time_point now);
    void update_crowding(std::string const& service,
                         known_servers const& servers, time_point now);
    void note_crowding(std::string const& service, time_point now);
    [[nodiscard]] bool is_crowded(std::string const& service,
                                  time_point now) const;
    room_decision decide_room(backend_server_entry const& entry,
                              server_record const& record, double urgency_share,
                              time_point now) const;
    duration time_until_usable(server_record const& record,
                               double urgency_share, time_point now) const;
    std::optional<placement> choose_from(known_servers const& servers,
                                         placement_request const& request,
                                         health worst_health,
                                         time_point now) const;

    dispatcher_settings settings_;
    std::shared_ptr<routes::route_table const> route_table_;
    listed_servers server_list_;
    std::map<std::string, server_record, std::less<>> records_;
    std::map<std::string, retry_budget, std::less<>> retry_budgets_;
    std::size_t retry_sharers_ = 1;
    std::map<std::string, estimate_calibration, std::less<>> calibrations_;
    crash_tracker crash_tracker_;
    std::uint64_t last_incarnation_ = 0;
    fleet_cell cell_;
    std::map<std::string, service_servers, std::less<>> services_;
    /// Whether services_ is up to date with the list and the cell.
    bool cell_assignment_valid_ = false;
    limit_division limit_division_;
    shared_time time_of_day_;
    time_point time_of_day_set_at_;
    std::map<std::string, return_schedule, std::less<>> return_schedules_;
    std::map<std::string, service_rejection_limit, std::less<>>
        rejection_limits_; ///< By service.
    /// For each other daemon, by peer address, the backend servers at which it
    /// has load.
    std::map<std::string, std::vector<std::string>> servers_loaded_by_peer_;
};

} // namespace medlarstall::dispatch

#endif
