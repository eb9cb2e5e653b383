#ifndef MEDLARSTALL_GATEWAY_FORWARDED_REQUEST_HPP
#define MEDLARSTALL_GATEWAY_FORWARDED_REQUEST_HPP

#include <medlarstall/dispatch/admission_policy.hpp>
#include <medlarstall/dispatch/attempt_policy.hpp>
#include <medlarstall/dispatch/dispatcher.hpp>
#include <medlarstall/gateway/connection_pool.hpp>
#include <medlarstall/gateway/decision_log.hpp>
#include <medlarstall/gateway/event_splitter.hpp>
#include <medlarstall/gateway/gateway_metrics.hpp>
#include <medlarstall/gateway/peer_news.hpp>
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

/// What all requests of a gateway share. Owned by the gateway.
struct request_context
{
    asio::io_context& loop;
    dispatch::dispatcher& dispatcher;
    connection_pool& pool;
    decision_log& log;
    gateway_metrics& metrics;
    wire_protocol const& protocol;
    /// Number of daemons that share budgets.
    std::function<std::size_t()> daemons;
    /// Position up to which the list of backend servers is known.
    std::function<store_position()> list_position;
    /// Tells the other daemons of a prompt that was sent, at once if its
    /// shared parts are new to that backend server.
    std::function<void(prompt_note, bool)> tell_prompt;
    /// Notes that a backend server could not be reached.
    std::function<void(std::string const&)> note_unreachable;
    /// Takes in what a backend server says of itself along with an answer.
    std::function<void(std::string const&, answer_facts const&)>
        note_server_facts;
};

/// A request with the route and the configuration that it began under.
struct admitted_request
{
    request_facts facts;
    std::shared_ptr<routes::route_table const> table;
    routes::route const* route = nullptr;
    routes::organisation const* organisation = nullptr; ///< Or nullptr.
};

/// One request of a caller, from its admission to its final answer: chooses
/// backend servers, sends, relays the answer, sends again where that is
/// allowed, and ends at the time limit. Owned by the gateway until it is over.
class forwarded_request : public std::enable_shared_from_this<forwarded_request>
{
public:
    /// \param shared what all requests share
    /// \param request the request and its route
    /// \param caller where the answer goes
    /// \param over told once when the request is over
    forwarded_request(request_context& shared, admitted_request request,
                      std::unique_ptr<http::exchange> caller,
                      std::function<void(forwarded_request*)> over);

    /// Begins to look for a backend server.
    void start();

    /// Moves the request elsewhere if its backend server went silent.
    /// \param now current time
    void check(time_point now);

    /// Accounts for time in which this daemon did not run: its silence is not
    /// that of the backend server.
    /// \param asleep time that the clock of deadlines did not count
    /// \param now current time
    void note_pause(duration asleep, time_point now);

    /// Ends the request at once, when the daemon must stop.
    void stop();

private:
    /// How the body of the current answer is passed on.
    enum class relay_mode
    {
        undecided,
        whole,  ///< Collected, and delivered at its end.
        pieces, ///< Passed on as it comes.
        events, ///< Passed on event by event.
        discarded
    };

    /// One send to a backend server.
    struct send
    {
        std::uint64_t number = 0;
        connection_pool::connection connection;
        dispatch::placement where;
        dispatch::ticket held;
        http::response_head head;
        std::string body;
        relay_mode mode = relay_mode::undecided;
        time_point last_progress; ///< Head, bytes of a body, whole event.
        bool turned_away = false; ///< The backend server did not run it.
    };

    void arm_deadline();
    void look_for_server();
    void look_again_after(duration pause);
    void send_or_refuse(dispatch::placement const& where, time_point now);
    dispatch::admission_facts admission(dispatch::placement const& where,
                                        time_point now) const;
    void send_to(dispatch::placement const& where);
    std::uint32_t urgency() const;
    std::string request_text(dispatch::placement const& where) const;
    http::call_events events_of_send(std::uint64_t number);
    bool belongs(http::response_head const& head) const;
    void on_interim(http::response_head const& head);
    void on_head(http::response_head& head);
    void on_body(std::string const& bytes);
    void on_complete();
    void on_failed(http::call_failure failure);
    void on_turned_away();
    void relay_events(std::string const& bytes);
    bool relay_event(stream_event const& event, std::string& text);
    void begin_relay();
    void deliver_whole();
    void note_first_piece();
    void after_failure(dispatch::send_failure failure, char const* reason);
    bool has_budget(dispatch::send_failure failure);
    bool can_go_on() const;
    bool may_run_elsewhere() const;
    bool may_try_elsewhere();
    void log_failed_send(char const* reason, dispatch::next_step step);
    void end_send(dispatch::send_outcome outcome);
    void refuse(char const* code, std::chrono::milliseconds retry_after);
    void give_up(int status, char const* code);
    void answer_own(int status, char const* code,
                    std::optional<std::chrono::milliseconds> retry_after);
    void break_off(char const* reason);
    void on_deadline();
    void on_caller_left();
    char const* lateness() const;
    void finish(int status, char const* reason, line_kind kind);
    dispatch::work work_to_place() const;
    std::chrono::milliseconds time_left(time_point now) const;
    std::chrono::milliseconds patience() const;
    std::chrono::milliseconds longest_silence() const;
    std::chrono::milliseconds
    return_after(std::chrono::milliseconds base) const;
    std::chrono::milliseconds
    return_when_wanted(std::chrono::milliseconds least) const;
    std::uint64_t make_fingerprint() const;

    request_context& shared_;
    admitted_request request_;
    std::unique_ptr<http::exchange> caller_;
    std::function<void(forwarded_request*)> over_;
    asio::steady_timer deadline_timer_;
    asio::steady_timer wait_timer_;
    std::string service_;
    std::uint64_t hash_ = 0;
    dispatch::fingerprint fingerprint_ = 0;
    time_point began_;
    time_point deadline_;
    time_point first_piece_;
    dispatch::attempt_record attempts_;
    std::vector<std::string> tried_;
    std::optional<send> send_;
    std::uint64_t sends_ = 0;
    event_splitter splitter_;
    std::optional<std::uint64_t> last_event_;
    std::uint64_t relayed_events_ = 0;
    time_point last_event_at_;
    duration longest_pause_{0};
    bool over_told_ = false;
};

} // namespace medlarstall::gateway

#endif
