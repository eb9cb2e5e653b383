#ifndef MEDLARSTALL_GATEWAY_GATEWAY_HPP
#define MEDLARSTALL_GATEWAY_GATEWAY_HPP

#include <medlarstall/dispatch/dispatcher.hpp>
#include <medlarstall/dispatch/heard_daemons.hpp>
#include <medlarstall/dispatch/server_processes.hpp>
#include <medlarstall/duty/autoscaling_duty.hpp>
#include <medlarstall/duty/usage_reporter.hpp>
#include <medlarstall/gateway/connection_pool.hpp>
#include <medlarstall/gateway/duty_client.hpp>
#include <medlarstall/gateway/duty_service.hpp>
#include <medlarstall/gateway/duty_settings.hpp>
#include <medlarstall/gateway/early_request_queue.hpp>
#include <medlarstall/gateway/entry_capacity.hpp>
#include <medlarstall/gateway/fetch_scheduler.hpp>
#include <medlarstall/gateway/forwarded_request.hpp>
#include <medlarstall/gateway/gateway_metrics.hpp>
#include <medlarstall/gateway/member_table.hpp>
#include <medlarstall/gateway/peer_link.hpp>
#include <medlarstall/gateway/process_queries.hpp>
#include <medlarstall/gateway/record_follower.hpp>
#include <medlarstall/gateway/scaling_observer.hpp>
#include <medlarstall/gateway/shared_read.hpp>
#include <medlarstall/gateway/structured_log.hpp>
#include <medlarstall/gateway/topic_age.hpp>
#include <medlarstall/gateway/wire_protocol.hpp>
#include <medlarstall/http/http_listener.hpp>
#include <medlarstall/routes/route_table.hpp>
#include <medlarstall/support/result.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::gateway {

/// Listening addresses and limits of a gateway.
struct gateway_settings
{
    std::string name;
    std::string data_centre;
    asio::ip::tcp::endpoint entry_address; ///< For requests of callers.
    asio::ip::tcp::endpoint ready_address; ///< For readiness probes.
    /// For callers that look up entry addresses.
    asio::ip::tcp::endpoint directory_address;
    asio::ip::tcp::endpoint peer_address; ///< For other daemons.
    std::optional<asio::ip::tcp::endpoint> metrics_address;
    std::vector<std::string> seeds; ///< Peer addresses to contact first.
    dispatch::retry_limits retries;
    dispatch::mechanism_set
        disabled_mechanisms; ///< Switched off, for measurements.
    std::chrono::milliseconds grace_period{8000}; ///< From stop() to the exit.
    /// Time for which callers may cache a directory answer.
    std::chrono::milliseconds directory_ttl{2000};
    std::size_t max_connections = 1024;
    /// Empty if the daemons have no exclusive duties.
    std::optional<duty_settings> duties;
    /// Resources of the instance, by which callers are spread over the daemons.
    instance_resources resources;
    /// Connections at each address other than that for requests.
    std::size_t max_control_connections = 256;
    /// Connections to backend servers and peers, above which idle ones are
    /// closed.
    std::size_t max_upstream_connections = 4096;
    /// Budget in bytes for what unfinished requests and answers hold.
    std::size_t max_held_bytes = 134217728;
    /// True if no daemon of the fleet has run before. The daemon then does not
    /// ask peers or backend servers for the prompt parts that are cached.
    bool first_start = true;
};

/// Adapter between the gateway and the platform that it runs on: message
/// formats, the record store and the paths of the platform's interfaces.
struct platform_adapter
{
    wire_protocol protocol;
    record_store store;
    std::function<result<routes::configuration>(std::string_view)>
        parse_configuration;
    std::function<result<dispatch::backend_server_entry>(std::string const&,
                                                         std::string_view)>
        parse_backend_server;
    /// Path at which a backend server lists the prompt parts in its cache.
    std::string backend_cached_parts_path;
    std::function<result<std::vector<dispatch::prompt_part>>(std::string_view)>
        parse_cached_parts;
    /// Path at which a backend server tells its state.
    std::string backend_state_path;
    /// Reads from that state when its process has started, in ms since the Unix
    /// epoch; an error if it does not say.
    std::function<result<std::int64_t>(std::string_view)> parse_start_time;
    std::string ready_path;
    std::string directory_path;
    /// Builds the answer to a directory lookup from the entry addresses of
    /// the ready daemons and the time for which the answer is valid.
    std::function<http::response(std::vector<std::string> const&,
                                 std::chrono::milliseconds)>
        write_directory;
    /// Makes calls that are exclusive duties; empty if there are none.
    duty_client call_duty;
};

/// Path at which a daemon lists the prompt parts in the caches of the backend
/// servers.
inline constexpr char const* peer_cached_parts_path = "/v1/kept-parts";

/// Requests read within this time after a stop began are still accepted. Later
/// ones might not end within the grace period.
/// \param grace_period time from the stop to the end of the daemon
/// \return the time
[[nodiscard]] constexpr std::chrono::milliseconds
stop_accept_period(std::chrono::milliseconds grace_period)
{
    constexpr std::chrono::milliseconds longest{2900};
    // The rest of the grace period is for the requests to end.
    return std::min(longest, grace_period * 3 / 8);
}

/// The gateway of a daemon. Accepts requests, chooses backend servers for them,
/// forwards them, follows the record store, exchanges state with the other
/// daemons, and stops gracefully. Owned by the program.
class gateway
{
public:
    /// \param context event loop
    /// \param settings listening addresses and limits
    /// \param adapter adapter to the platform
    /// \param log_descriptor file descriptor that log lines are written to
    gateway(asio::io_context& context, gateway_settings settings,
            platform_adapter adapter, int log_descriptor);
    ~gateway();
    gateway(gateway const&) = delete;
    gateway& operator=(gateway const&) = delete;

    /// Opens the listeners, starts to follow the record store and registers
    /// this daemon as a member.
    /// \return an error if an address cannot be opened
    [[nodiscard]] status start();

    /// Applies the settings that may change at run time: retries, grace
    /// period, directory TTL, data centre and additional seeds.
    /// \param settings settings as read again; all others are ignored
    void reload(gateway_settings const& settings);

    /// Logs that a reload was rejected; the settings in force stay.
    /// \param problem the invalid field and the reason
    void reject_reload(error const& problem);

    /// Stops gracefully: unregisters this daemon, accepts requests only for
    /// stop_accept_period(), and lets those in flight end.
    /// \param on_stopped called once when the gateway has stopped
    void stop(std::function<void()> on_stopped);

    /// \return the settings in force; ports given as 0 are replaced by those
    ///     that the operating system chose
    [[nodiscard]] gateway_settings const& settings() const { return settings_; }

private:
    /// A backend server that was found down while it was not known whether it
    /// has crashed or its path is lost.
    struct held_loss
    {
        std::string server;
        /// When the run that was found down has started.
        std::int64_t started_unix_ms;
        time_point at;
    };

    request_context make_request_context();
    http::server_events entry_events();
    /// \return callbacks of the readiness, directory, peer and metrics
    ///     listeners
    http::server_events control_events();
    void on_closed_for_limit(char const* listener,
                             http::limit_closure const& closure);
    status open_listeners();
    void start_followers();
    void write_registration(bool present);
    void on_registration_written(bool accepted, bool present);

    void on_request(std::unique_ptr<http::exchange> caller);
    /// Serves a request on the readiness, directory, peer or metrics listener.
    void on_control_request(std::unique_ptr<http::exchange> caller);
    void queue_early_request(std::unique_ptr<http::exchange> caller,
                             request_metadata const& metadata);
    void refuse_early_requests(std::vector<early_request> const& requests);
    void serve_early_requests();
    bool refuse_unroutable(http::exchange& caller,
                           routed_request const& request);
    void refuse_request(http::exchange& caller, int status, char const* code,
                        std::string const& attempt_id);
    bool is_ready() const;
    bool has_routing_data() const;
    void schedule_early_requests();
    std::chrono::milliseconds retry_delay(std::string const& attempt_id) const;
    http::response records_response(std::string_view target) const;
    http::response status_response() const;
    std::vector<std::string> entry_addresses(std::uint64_t caller_hash) const;

    void on_configuration(record const& item);
    bool on_backend_server(record const& item);
    void on_member(record const& item);
    void on_store_restored(record_topic which, std::uint64_t era);
    void verify_registration();
    void on_store_reachable(record_topic which, bool reachable,
                            char const* reason);
    void log_server_list_change(record const& item,
                                dispatch::list_change change);
    static void add_read(log_entry& line, record const& item);

    void schedule_tick();
    void tick();
    void detect_suspension();
    duration new_suspension() const;
    bool stalled_since_tick(time_point now) const;
    void update_hearing(time_point now);
    void send_forwarding_updates();
    void check_requests(time_point now);
    void request_initial_parts(time_point now);
    void request_parts_from_peer(std::string const& peer);
    void request_parts_from_servers(time_point now);
    std::optional<std::string> find_peer_with_parts(time_point now) const;
    bool is_responsible_for(std::string const& id,
                            std::vector<std::string> const& daemons) const;
    void request_cached_parts(dispatch::backend_server_entry const& entry);
    void send_internal_call(asio::ip::tcp::endpoint const& address,
                            http::request_head head,
                            std::chrono::milliseconds timeout,
                            std::function<void(http::response const&)> done);
    /// How a request of the gateway itself has ended.
    struct internal_outcome
    {
        http::response response; ///< Without a status if none came in time.
        std::optional<http::call_failure> failure;
    };
    void start_internal_call(connection_pool::connection const& call,
                             asio::ip::tcp::endpoint const& address,
                             http::request_head head,
                             std::chrono::milliseconds timeout,
                             std::function<void(internal_outcome const&)> done);
    void identify_process(std::string const& id);
    void ask_process(std::string const& id,
                     asio::ip::tcp::endpoint const& address, time_point now);
    void on_process_answer(std::string const& id, time_point asked_at,
                           internal_outcome const& answer);
    void note_stated_start(std::string const& id, std::int64_t started,
                           time_point asked_at, time_point now);
    bool process_may_be_found(std::string const& id,
                              stream_break const& at) const;
    bool process_has_ended(std::string const& id, stream_break const& at) const;
    void announce_unidentified(std::uint64_t stream,
                               std::string const& service);
    std::vector<unidentified_stream> streams_to_announce(time_point now);
    std::vector<std::uint64_t> unidentified_streams() const;
    void send_probes(time_point now);
    void send_probe(dispatch::backend_server_entry const& entry);
    void evaluate_probe(std::string const& id, std::int64_t started_unix_ms,
                        http::response const& answer);
    void on_probe_result(std::string const& id, bool good, char const* reason);
    void on_server_unreachable(std::string const& id,
                               std::int64_t started_unix_ms, bool refused);
    void note_server_failure(std::string const& id,
                             std::int64_t started_unix_ms,
                             dispatch::report_kind kind);
    void merge_server_reports(peer_update const& update, time_point now);
    std::vector<dispatch::server_report> reports_to_tell(time_point now) const;
    void update_failed_elsewhere(time_point now);
    void on_server_down(std::string const& id, std::int64_t started_unix_ms,
                        time_point now);
    void on_server_metadata(std::string const& id,
                            answer_metadata const& metadata,
                            std::optional<time_point> sent_at);
    void on_stated_rate_limit(std::string const& id,
                              answer_metadata const& metadata,
                              std::optional<time_point> sent_at,
                              time_point now);
    void on_stated_rejection_limit(std::string const& id,
                                   answer_metadata const& metadata,
                                   std::optional<time_point> sent_at,
                                   time_point now);
    void log_rate_limit(std::string const& id,
                        dispatch::rate_limit_change change,
                        std::string const& told_by, time_point now);
    void update_limit_sharers(time_point now);
    void update_retry_sharers(time_point now);
    dispatch::dispatcher_settings dispatch_settings() const;
    void log_server_leaving(std::string const& id, std::string const& told_by);
    void log_health_change(std::string const& id, dispatch::health before,
                           dispatch::health after, char const* reason);
    topic_age& age_of(record_topic which);
    duration age_of_topic(record_topic which) const;
    void on_store_read(record_topic which, store_position end,
                       time_point as_of);
    void on_peer_reads(peer_update const& update);
    void update_ages(time_point now);
    void read_outdated_topics(time_point now);
    void send_peer_update(time_point now, bool urgent = false);
    peer_update make_peer_update();
    void add_single_notes(peer_update& update, time_point now);
    std::vector<dispatch::crash_report> crashes_to_announce(time_point now);
    void log_blame_changes(std::string const& told_by);
    void on_peer_update(std::string const& from, std::string_view bytes);
    void on_unlisted_sender(std::string const& from, std::string_view bytes,
                            time_point now);
    void update_cell();
    void remove_lost_members(time_point now);
    bool publishes_all_changes() const;
    void update_reader_role(time_point now);
    void fetch_records_from_peers(time_point now);
    fetch_scheduler& fetch_scheduler_of(record_topic which);
    void fetch_records(record_topic which,
                       std::vector<std::string> const& ahead, time_point now);
    void on_peer_records(record_topic which, std::string const& address,
                         duration took, std::string_view body);
    record_follower& follower_of(record_topic which) const;
    std::optional<helper_daemon>
    find_helper(std::string const& service, std::uint64_t hash,
                std::vector<std::string> const& excluded) const;
    bool peers_reach(std::string const& service, time_point now) const;
    void check_lost_paths(time_point now);
    void check_path(dispatch::backend_server_entry const& entry);
    void note_probe_path(std::string const& id, bool answered, time_point now);
    void report_down(held_loss const& found, time_point now);
    void report_held_losses(time_point now);
    bool list_is_current(shared_read::number asked) const;
    bool store_is_away() const;
    void note_era(std::uint64_t era, time_point now);
    duration origins_read_interval() const;
    void refresh_origins(std::string const& service);
    void read_list(time_point now);
    void resume_take_ups();
    void on_list_changes_left_out();
    void lose_release_history(char const* reason, time_point now);
    void update_origins(time_point now);
    void observe_releases(time_point now);
    void read_origins(time_point now);
    void on_origins_read(shared_read::number number,
                         read_result const& outcome);
    void merge_origins(record_page const& page, bool is_history);
    void write_origins(time_point now);
    duration origins_write_interval() const;
    void remove_origins(std::string const& address) const;
    std::shared_ptr<duty_service> make_duty_service();
    void update_duties(time_point now);
    void set_duty_gauges();
    bool counts_usage() const;
    void start_usage(time_point now);
    void update_usage(time_point now);
    void note_member_name(record const& item);
    std::optional<std::string> holder_in_other_cell() const;
    bool has_turn_to_collect(std::int64_t second, time_point now) const;
    void send_collected_usage(time_point now);
    void add_usage(peer_update& update, bool all, time_point now);
    void merge_usage(peer_update const& update, time_point now);
    bool merge_collected_usage(std::string const& from, std::string_view bytes);
    void note_departure(std::string const& address, time_point now);
    void merge_usage_of_departed(std::string const& from,
                                 std::string_view bytes, time_point now);
    void tell_all_usage(time_point now);
    void update_usage_gauges();
    void on_member_left(std::string const& address, time_point now);
    void update_scaling(time_point now);
    bool hears_load_of_peers(time_point now) const;
    void log_scaling_changes();
    void set_scaling_gauge(char const* name, std::string const& service,
                           double value);
    void set_scaling_gauges();
    void advance_stop(time_point now);
    void update_gauges();

    asio::io_context& context_;
    gateway_settings settings_;
    platform_adapter adapter_;
    structured_log log_;
    gateway_metrics metrics_;
    time_point started_at_ = monotonic_clock::now();
    std::uint64_t incarnation_ = 0;
    dispatch::dispatcher dispatcher_;
    dispatch::stream_origins origins_;
    dispatch::server_processes processes_;
    process_queries process_queries_;
    /// A stream that has broken off before its process was identified.
    struct announced_stream
    {
        unidentified_stream stream;
        time_point ended_at;
    };
    std::deque<announced_stream> unidentified_;
    dispatch::server_paths paths_;
    std::vector<held_loss> held_losses_;
    std::size_t path_checks_ = 0; ///< Number of checks of lost paths.
    /// What this daemon reads and writes of the records of streams.
    struct origins_exchange
    {
        std::uint64_t written_revision = 0;
        time_point written_at;
        time_point releases_observed_at;
        shared_read list_reads;   ///< Of the list of backend servers.
        shared_read record_reads; ///< Of the records of all daemons.
        bool writing = false;
        /// Records of the time that this daemon has not seen itself.
        bool history_read = false;
        /// They name all releases that may have begun streams.
        bool history_whole = false;
        /// Reads of records up to this one began before the history was lost.
        shared_read::number history_lost_after = 0;
        bool urgent = false; ///< A stream has broken off.
        /// The store may have lost what was written.
        bool rewrite = false;
    };
    origins_exchange origins_exchange_;
    /// Counts and reports requests, if that is configured.
    std::optional<duty::usage_reporter> usage_;
    bool tell_all_usage_ = false; ///< With the next update.
    /// Peer addresses of the other daemons by name, if requests are counted.
    std::map<std::string, std::string> daemon_addresses_;
    std::int64_t collected_in_second_ = 0; ///< Last second that was checked.
    /// Daemons that have left lately and still tell what they have counted, by
    /// address, and until when that is accepted.
    std::map<std::string, time_point> departed_;
    connection_pool pool_;
    answer_end_checks answer_ends_;
    member_table members_;
    dispatch::heard_daemons heard_daemons_;
    entry_capacity capacity_;
    dispatch::fleet_cell cell_;
    /// Value of members_.revision() from which cell_ was computed.
    std::uint64_t cell_members_revision_ = 0;
    /// Peer addresses of the other daemons in cell_.
    std::vector<std::string> cell_peer_addresses_;
    peer_link peer_link_;
    request_context request_context_;
    std::shared_ptr<routes::route_table const> route_table_;
    std::shared_ptr<http::memory_account> memory_;
    http::http_listener entry_listener_;
    http::http_listener ready_listener_;
    http::http_listener directory_listener_;
    http::http_listener peer_listener_;
    http::http_listener metrics_listener_;
    std::shared_ptr<record_follower> configuration_follower_;
    std::shared_ptr<record_follower> servers_follower_;
    std::shared_ptr<record_follower> members_follower_;
    /// Idle unless the settings name it and this daemon is the holder.
    duty::autoscaling_duty scaling_duty_;
    scaling_observer scaling_observer_{dispatcher_};
    time_point next_scaling_at_;
    /// Empty if the settings name no duty.
    std::shared_ptr<duty_service> duty_service_;
    asio::steady_timer tick_timer_;
    early_request_queue early_requests_;
    std::set<std::shared_ptr<forwarded_request>> requests_;
    std::set<std::shared_ptr<http::upstream_connection>> internal_calls_;
    std::vector<sent_prompt_parts> pending_prompts_;
    /// A crash that this daemon has found.
    struct found_crash
    {
        dispatch::crash_report report;
        time_point found_at;
    };
    std::deque<found_crash> recent_crashes_;
    /// A server could not be reached, which no other daemon has told.
    bool report_to_announce_ = false;
    bool has_failed_elsewhere_ = false;
    bool crash_to_announce_ = false; ///< One was found since the last update.
    /// Whether a rate limit has changed since the last update was sent.
    bool rate_limit_changed_ = false;
    /// Daemons that share rate limits, as last passed to the dispatcher.
    std::vector<std::string> limit_sharers_;
    dispatch::budget_sharers retry_sharers_;
    /// Value of members_.revision() at that time.
    std::optional<std::uint64_t> limit_sharers_revision_;
    time_point next_sharers_check_;
    std::uint64_t update_sequence_ = 0;
    store_position announced_configuration_;
    bool announced_ready_ = false;
    bool list_reachable_ = false;
    /// Store key of the configuration in force.
    std::string configuration_key_;
    /// The configuration that was in force when the store was restored from a
    /// copy, which may hold an older one. Empty once a newer one is in force.
    std::optional<std::string> configuration_before_restore_;
    std::optional<time_point> members_restored_at_;
    /// Whether the entry of this daemon in the member list must be checked.
    bool registration_uncertain_ = false;
    time_point update_sent_at_;
    time_point last_tick_at_;
    /// Total time since boot in which the instance was suspended.
    std::optional<std::chrono::nanoseconds> suspended_time_;
    /// Suspension that was noticed by the last tick.
    duration recent_suspension_{0};
    fetch_scheduler configuration_fetches_;
    fetch_scheduler servers_fetches_;
    fetch_scheduler members_fetches_;
    topic_age servers_age_;
    topic_age configuration_age_;
    /// It has read the store to its end since the last update.
    bool read_to_announce_ = false;
    time_point next_member_check_;
    time_point next_unlisted_check_;
    /// Whether this daemon comes first among the live and ready daemons that it
    /// hears from, in the hash order of the names, and therefore always is a
    /// continuous reader of the store once it has discovered them.
    bool is_first_reader_ = false;
    bool initial_parts_requested_ = false;
    time_point next_gauges_;
    std::function<void()> on_stopped_;
    std::optional<time_point> stopping_since_;
};

} // namespace medlarstall::gateway

#endif
