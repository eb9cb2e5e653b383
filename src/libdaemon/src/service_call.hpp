#ifndef MEDLARSTALL_DAEMON_SERVICE_CALL_HPP
#define MEDLARSTALL_DAEMON_SERVICE_CALL_HPP

#include "call_routing.hpp"
#include "order_link.hpp"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace medlarstall::entry {
class exchange;
}

namespace medlarstall::daemon {

struct daemon_context;

/// A caller's request to a plain service. Plain data.
struct service_request
{
    std::string service; ///< Name in the catalogue.
    std::string method;
    std::string target;          ///< Path and query at the service.
    std::string idempotency_key; ///< Empty if the caller sent none.
    bool repeatable = false;     ///< May be run again after a failure.
};

/// Outcome of a call, for the record of its claim. Plain data.
struct service_outcome
{
    bool not_executed = false;    ///< Did not run and will not run.
    bool answer_complete = false; ///< The whole answer came.
    int status = 0;
    std::string content_type;
    std::string body;
    bool body_kept = true; ///< False if the body was too large.
};

/// Answers one call to a plain service at its entry daemon. Kept alive by the
/// handlers that it sets.
class service_call : public std::enable_shared_from_this<service_call>
{
public:
    /// Called once, with the outcome of the call.
    using outcome_handler = std::function<void(service_outcome const&)>;

    /// \param shared state that all parts of this daemon share; must outlive
    ///     this object
    /// \param exchange HTTP exchange with the caller
    /// \param call_request parsed request of the caller
    /// \param request the request as the scheduler sees it
    /// \param fingerprint hash of organisation and body
    /// \param on_outcome receives the outcome; may be empty
    service_call(daemon_context& shared,
                 std::shared_ptr<entry::exchange> exchange,
                 service_request call_request, scheduling::request request,
                 std::uint64_t fingerprint, outcome_handler on_outcome);
    ~service_call();
    service_call(service_call const&) = delete;
    service_call& operator=(service_call const&) = delete;

    /// Starts the deadline timer and sends the first attempt.
    /// \param attempt_id identifier of the attempt; retries use the same one
    void start(std::string attempt_id);

private:
    void send_attempt();
    void handle_event(work_event event);
    void on_event(work_dispatched const& event);
    void on_event(work_tokens const& event);
    void on_event(work_response_head const& event);
    void on_event(work_response_data const& event);
    void on_event(work_finished const& event);
    void on_event(work_refused const& event);
    void on_event(work_failed const& event);
    void on_link_lost();
    void apply_step(next_step step);
    void answer_with_error(api_error const& problem);
    void finish(std::string const& outcome);
    void abort();
    void on_caller_left();
    void start_deadline_timer();
    void update_reading();
    [[nodiscard]] std::vector<std::pair<std::string, std::string>>
    forwarded_request_fields() const;

    daemon_context& node_;
    std::shared_ptr<entry::exchange> exchange_;
    service_request service_request_;
    call_routing routing_;
    outcome_handler on_outcome_;
    std::string attempt_id_;
    call_target target_;
    std::unique_ptr<order_link> link_;
    asio::steady_timer retry_timer_;
    asio::steady_timer deadline_timer_;
    service_outcome outcome_;
    bool dispatched_ = false;
    bool ended_ = false;
    bool caller_disconnected_ = false;
    bool reading_ = true;
};

} // namespace medlarstall::daemon

#endif
