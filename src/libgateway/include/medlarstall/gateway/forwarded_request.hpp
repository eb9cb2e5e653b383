#ifndef MEDLARSTALL_GATEWAY_FORWARDED_REQUEST_HPP
#define MEDLARSTALL_GATEWAY_FORWARDED_REQUEST_HPP

#include <medlarstall/dispatch/admission_policy.hpp>
#include <medlarstall/dispatch/attempt_policy.hpp>
#include <medlarstall/dispatch/caller_presence.hpp>
#include <medlarstall/dispatch/dispatcher.hpp>
#include <medlarstall/dispatch/server_paths.hpp>
#include <medlarstall/dispatch/server_processes.hpp>
#include <medlarstall/dispatch/stream_origins.hpp>
#include <medlarstall/gateway/answer_end_checks.hpp>
#include <medlarstall/gateway/connection_pool.hpp>
#include <medlarstall/gateway/event_splitter.hpp>
#include <medlarstall/gateway/gateway_metrics.hpp>
#include <medlarstall/gateway/peer_update.hpp>
#include <medlarstall/gateway/shared_read.hpp>
#include <medlarstall/gateway/structured_log.hpp>
#include <medlarstall/gateway/wire_protocol.hpp>
#include <medlarstall/http/server_connection.hpp>
#include <medlarstall/routes/route_table.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace medlarstall::gateway {

/// A daemon that reaches a service that this one does not.
struct helper_daemon
{
    std::string daemon; ///< Its name.
    asio::ip::tcp::endpoint entry_address;
    time_point last_heard; ///< When it last told that it reaches the service.
};

/// When a stream broke off.
struct stream_break
{
    time_point time;
    /// The read of the list that had begun last at that time.
    shared_read::number list_read_before = 0;
};

/// Objects and callbacks that all requests of a gateway share. Owned by the
/// gateway.
struct request_context
{
    asio::io_context& event_loop;
    dispatch::dispatcher& dispatcher;
    connection_pool& pool;
    structured_log& log;
    gateway_metrics& metrics;
    wire_protocol const& protocol;
    /// \return time since this daemon has started
    std::function<duration()> running_time;
    /// \return store position up to which the list of backend servers is known
    std::function<store_position()> server_list_position;
    /// \return time since which the list may have changed unknown to this
    /// daemon
    std::function<duration()> server_list_age;
    /// Announces to the other daemons that a prompt was sent to a backend
    /// server. The second argument is true if its shared parts are new to that
    /// server; the announcement is then sent at once.
    std::function<void(sent_prompt_parts, bool)> announce_prompt;
    /// Called with the id of a backend server that could not be reached, the
    /// start of its run as stated by the entry by which it was chosen, and
    /// whether it refused the connection at once.
    std::function<void(std::string const&, std::int64_t, bool)>
        on_server_unreachable;
    /// Called with the id of a backend server and the metadata of its answer,
    /// if the entry of no later run was read since the request was sent. The
    /// last argument is the time at which the request was sent if the answer is
    /// one in which the backend server states its rate limit, should it have
    /// one; empty for other answers.
    std::function<void(std::string const&, answer_metadata const&,
                       std::optional<time_point>)>
        on_server_metadata;
    dispatch::stream_origins& origins;
    /// Reads of the list of backend servers, by which requests wait.
    shared_read const& list_reads;
    /// \return whether this daemon knows all releases that had begun streams
    ///     when the request asked
    std::function<bool(shared_read::number asked)> list_is_current;
    /// \return whether the store has answered none of the last reads
    std::function<bool()> store_is_away;
    /// Reads what this daemon needs to know of the releases of a service,
    /// later, and then calls resume() of all requests.
    std::function<void(std::string const& service)> refresh_origins;
    /// Publishes the record of this daemon soon, as a stream has broken off.
    std::function<void()> publish_origins;
    dispatch::server_processes& processes;
    /// Finds out which process of a backend server answers now, later, and then
    /// calls resume() of all requests.
    std::function<void(std::string const& server)> identify_process;
    /// \return false if it cannot become known any more which process of a
    ///     backend server had begun a stream that broke off
    std::function<bool(std::string const& server, stream_break const& at)>
        process_may_be_found;
    /// \return true if the process of a backend server has ended that had begun
    ///     a stream which broke off, and what it has written to the list is
    ///     known
    std::function<bool(std::string const& server, stream_break const& at)>
        process_has_ended;
    /// Reads the list of backend servers, later, and then calls resume() of all
    /// requests.
    std::function<void()> read_list;
    /// Announces to the other daemons that nobody can tell which release has
    /// begun a stream.
    std::function<void(std::uint64_t stream, std::string const& service)>
        announce_unidentified;
    std::string const& daemon_name;
    dispatch::server_paths& paths;
    /// \return a ready daemon that reaches the service, chosen by the hash,
    ///     other than the given ones; empty if there is none
    std::function<std::optional<helper_daemon>(
        std::string const& service, std::uint64_t hash,
        std::vector<std::string> const& excluded)>
        find_helper;
    answer_end_checks& answer_ends;
    std::uint64_t incarnation; ///< Of this daemon.
    /// \return when a daemon was heard, by its name; empty if it was not
    std::function<std::optional<dispatch::daemon_hearing>(std::string const&)>
        hearing_of;
    /// Called once for each request that has begun to run, with the
    /// organisation of its caller and the time. Empty if nobody counts them.
    std::function<void(std::string const& organisation, time_point began_at)>
        on_run_began;
};

/// A request with its route. It keeps the configuration under which it began
/// until it ends, also if a newer one comes into force.
struct routed_request
{
    request_metadata metadata;
    std::shared_ptr<routes::route_table const> route_table;
    routes::route const* route = nullptr;
    routes::organisation const* organisation = nullptr; ///< Null if none.
    /// Time for which this daemon was suspended just before it read the
    /// request, which may have waited that long.
    duration suspended{0};
};

/// One request of a caller, from the choice of its route to its final answer.
/// Chooses a backend server, sends the request, relays the answer, retries at
/// another backend server where the route allows it, and enforces the time
/// limit. Owned by the gateway until it has finished.
class forwarded_request : public std::enable_shared_from_this<forwarded_request>
{
public:
    /// \param context objects shared by all requests; outlives this one
    /// \param request the request and its route
    /// \param caller HTTP exchange that receives the answer
    /// \param on_finished called once with this request when it has finished
    forwarded_request(request_context& context, routed_request request,
                      std::unique_ptr<http::exchange> caller,
                      std::function<void(forwarded_request*)> on_finished);

    /// Starts the time limit and chooses a backend server, or refuses the
    /// request if it has crashed backend servers before.
    void start();

    /// Ends a run of a forwarded request whose caller has left, or may have
    /// left without being heard. Called periodically.
    /// \param now current time
    void check_caller(time_point now);

    /// \return name of the daemon that the request is forwarded to now; empty
    ///     if there is none
    [[nodiscard]] std::string const& current_peer() const;

    /// Retries the request at another backend server if the current one has
    /// sent nothing for too long. Called periodically.
    /// \param now current time
    void check_silence(time_point now);

    /// Accounts for a time in which this daemon did not run, so that it is not
    /// taken for silence of the backend server, and makes the deadline earlier.
    /// \param suspended time for which the instance was suspended, which the
    ///     clock of the deadlines does not count
    /// \param now current time
    void note_suspension(duration suspended, time_point now);

    /// Goes on if the request has waited for knowledge of a release or of the
    /// process of a backend server that has been gained now. Called whenever
    /// something of that kind may have become known.
    void resume();

    /// \return hash of the id of the attempt, if the caller has events of a
    ///     stream and it is not known which process has begun it
    [[nodiscard]] std::optional<std::uint64_t> unidentified_stream() const;

    /// Aborts the request. Called when the grace period of the daemon has
    /// ended.
    void stop();

private:
    /// With less time left than this, a request is not sent again, and a failed
    /// answer is relayed.
    static constexpr std::chrono::milliseconds min_retry_time{40};

    /// How the body of the current answer is relayed to the caller.
    enum class relay_mode
    {
        undecided,
        buffered, ///< Collected, and delivered at its end.
        chunks,   ///< Relayed as it is received.
        events,   ///< Relayed in whole events.
        discarded ///< Not relayed: the answer is a rejection.
    };

    /// State of one send to a backend server.
    struct send_state
    {
        std::uint64_t number = 0;
        connection_pool::connection connection;
        dispatch::placement placement;
        dispatch::load_reservation reservation;
        http::response_head head;
        std::string body;
        relay_mode mode = relay_mode::undecided;
        /// When the head of the answer, a whole event of a stream, or bytes of
        /// any other body last arrived.
        time_point last_progress_at;
        /// The answer has neither a length nor chunks.
        bool ends_with_connection = false;
        /// It has ended with its connection, and may have been broken off.
        bool checks_end = false;
        /// The backend server stated that it has not run the request.
        bool rejected = false;
        /// Name of the daemon that the request was passed on to; empty if it
        /// was sent to a backend server.
        std::string peer;
        /// The retry budget did not allow another send before.
        time_point no_retry_before;
        /// Time after which a peer that refused it asks the caller to return.
        std::optional<std::chrono::milliseconds> requested_pause;
        /// The process at the other end of the connection, once it is known.
        std::optional<dispatch::server_process> process;
        /// When bytes of a stream were first held back, as they may be of
        /// another release than the one that began it.
        std::optional<time_point> held_since;
        /// The answer has ended while its bytes are held back.
        bool complete_while_held = false;
    };
    /// The send that has brought the first event of the stream.
    struct first_send
    {
        std::string server;
        dispatch::connection_span span;
    };
    /// A send that has failed, and the reason, while it is found out which
    /// process had begun the stream.
    struct held_failure
    {
        dispatch::send_failure failure;
        char const* reason;
        stream_break at;
    };

    void start_deadline_timer();
    void count_request();
    /// Chooses a backend server and sends the request to it; waits, refuses it
    /// or answers an error if none can be used.
    void choose_server();
    void choose_again_after(duration delay);
    bool pass_on(time_point now, bool no_server_left = false);
    dispatch::caller_view view_caller() const;
    time_point patient_until() const;
    bool end_if_read_late();
    bool withhold_send(time_point now);
    bool confirm_send();
    void end_departed(dispatch::presence_decision const& decision);
    void log_presence(dispatch::presence_decision const& decision,
                      char const* action);
    void send_to_peer(helper_daemon const& helper, time_point now);
    static bool is_refusal_of_peer(http::response_head const& head,
                                   answer_metadata const& metadata);
    void on_refused_by_peer();
    void on_peer_failed(http::call_failure failure);
    void note_path_failure(time_point now);
    bool is_of_listed_run() const;
    dispatch::server_health* health_of_run() const;
    bool is_taken_up() const;
    void find_origin();
    void wait_for_origin();
    bool may_wait_for_origin(time_point now) const;
    void continue_at(dispatch::stream_origin const& origin);
    void note_origin();
    void identify_origin();
    void set_origin(dispatch::software_release release);
    void presume_origin(stream_break const& at);
    void identify_origin_later(int tries);
    void note_process();
    bool must_verify_release();
    void hold_events(std::string const& bytes);
    void verify_release();
    void relay_held_events();
    void fail_unverified(char const* reason);
    bool awaits_process(dispatch::send_failure failure, char const* reason);
    void check_held_failure();
    void check_again_later();
    std::optional<dispatch::placement> choose_placement(time_point now);
    void end_stream(bool complete);
    void end_unidentified_stream();
    bool end_if_crashing(time_point now);
    void admit_or_refuse(dispatch::placement const& placement, time_point now);
    dispatch::admission_input
    make_admission_input(dispatch::placement const& placement,
                         time_point now) const;
    void refuse_rate_limited(dispatch::limited_return const& booked,
                             time_point now);
    void send_to(dispatch::placement const& placement);
    void log_send(dispatch::placement const& placement, time_point now);
    duration connection_age(time_point now) const;
    std::uint32_t urgency() const;
    double urgency_share() const;
    std::string serialise_head(dispatch::placement const& placement) const;
    http::call_events make_call_events(std::uint64_t number);
    bool belongs_to_request(http::response_head const& head) const;
    void on_interim_head(http::response_head const& head);
    void on_head(http::response_head& head);
    void on_body(std::string const& bytes);
    void on_answer_end();
    void on_end_decided(dispatch::answer_end_decision const& decision);
    void on_complete();
    void on_failed(http::call_failure failure);
    void on_rejected();
    void relay_events(std::string const& bytes);
    bool append_event(stream_event const& event, std::string& text);
    void count_held_answer();
    void resume_if_sent();
    void begin_relay();
    void deliver_buffered();
    void note_run(time_point began_at);
    void note_first_byte();
    void handle_send_failure(dispatch::send_failure failure,
                             char const* reason);
    bool take_retry_budget(dispatch::send_failure failure);
    bool can_continue() const;
    bool may_run_elsewhere() const;
    bool has_successor(time_point now);
    bool is_crashing(time_point now);
    void send_elsewhere(char const* reason);
    void leave_silent_server(time_point now);
    void release_connection();
    bool may_retry_elsewhere();
    void log_failed_send(char const* reason, dispatch::next_step step);
    void end_send(dispatch::send_outcome outcome);
    void refuse(char const* code, std::chrono::milliseconds retry_after);
    void answer_error(int status, char const* code);
    void
    answer_from_gateway(int status, char const* code,
                        std::optional<std::chrono::milliseconds> retry_after);
    void abort_answer(char const* reason);
    void on_deadline();
    void on_caller_left();
    char const* missed_objective() const;
    void finish(int status, char const* reason, log_category category);
    dispatch::placement_request make_placement_request() const;
    std::chrono::milliseconds time_left(time_point now) const;
    std::chrono::milliseconds max_silence_before_answer() const;
    std::chrono::milliseconds max_silence_in_stream() const;
    std::chrono::milliseconds
    spread_retry_delay(std::chrono::milliseconds base) const;
    std::chrono::milliseconds
    retry_delay_after_pause(std::chrono::milliseconds minimum) const;
    std::uint64_t make_fingerprint() const;

    request_context& context_;
    routed_request request_;
    std::unique_ptr<http::exchange> caller_;
    std::function<void(forwarded_request*)> on_finished_;
    asio::steady_timer deadline_timer_;
    asio::steady_timer wait_timer_;
    std::string service_;
    std::uint64_t hash_ = 0; ///< Hash of the id of the attempt.
    dispatch::crash_suspect crash_suspect_;
    time_point began_at_;
    time_point arrived_at_; ///< Before it was read.
    time_point deadline_;
    /// How long the caller waits before it gives up.
    dispatch::caller_patience patience_;
    bool awaits_origin_ = false; ///< No run begins until the origin is heard.
    /// When the relay of the answer began: at the first event of a stream, or
    /// when another answer was complete or too long to collect.
    time_point first_byte_at_;
    dispatch::attempt_record attempts_;
    std::vector<std::string> tried_servers_;
    std::vector<std::string> tried_peers_; ///< Names of daemons.
    bool was_forwarded_ = false;           ///< A peer has got it, or may have.
    std::optional<send_state> current_send_;
    std::uint64_t send_count_ = 0;
    event_splitter splitter_;
    std::optional<std::uint64_t> last_event_id_;
    /// Hash of the id of the attempt that brought the first event of the
    /// stream; empty for a stream that is taken up without naming it.
    std::optional<std::uint64_t> stream_id_;
    /// The read of the list that had begun last when the stream was taken up.
    shared_read::number list_read_before_ = 0;
    bool waits_for_origin_ = false;
    /// Release that began the stream and must continue it.
    std::optional<dispatch::software_release> origin_;
    /// Of a stream that has begun in this answer.
    std::optional<first_send> first_send_;
    std::optional<held_failure> held_failure_;
    bool has_awaited_process_ = false;
    bool run_noted_ = false; ///< This daemon or a peer has counted the request.
    std::uint64_t relayed_events_ = 0;
    time_point last_event_at_;
    duration longest_pause_{0}; ///< Between two events of the stream.
    bool finished_ = false;
};

} // namespace medlarstall::gateway

#endif
