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

struct node;

/// What a caller asks of a plain service. Plain data.
struct service_request
{
    std::string service;
    std::string method;
    std::string target; ///< Path and query at the service.
    std::string idempotency_key;
    bool repeatable = false;
};

/// What came of a call, for the record of its claim.
struct service_outcome
{
    bool ran_nothing = false; ///< It was not and will not be run.
    bool known = false;       ///< The whole answer came.
    int status = 0;
    std::string content_type;
    std::string body;
    bool whole = true; ///< False if the body was too large to be kept.
};

/// One call of a plain service at its entry daemon. Kept alive by the
/// handlers that it sets.
class service_call : public std::enable_shared_from_this<service_call>
{
public:
    /// Called once with what came of the call.
    using outcome_handler = std::function<void(service_outcome const&)>;

    /// \param shared parts of this daemon
    /// \param caller the caller's request and the answer to it
    /// \param asked what the caller asked for
    /// \param request the request as the scheduler sees it
    /// \param fingerprint of organisation and body
    /// \param on_outcome receives the outcome; may be empty
    service_call(node& shared, std::shared_ptr<entry::exchange> caller,
                 service_request asked, scheduling::request request,
                 std::uint64_t fingerprint, outcome_handler on_outcome);
    ~service_call();
    service_call(service_call const&) = delete;
    service_call& operator=(service_call const&) = delete;

    /// Sends the call.
    /// \param attempt identifier of the attempt; every retry uses it, too, if
    ///     the call is not repeatable
    void start(std::string attempt);

private:
    void send();
    void handle(work_event event);
    void on(work_dispatched const& event);
    void on(work_tokens const& event);
    void on(work_head const& event);
    void on(work_data const& event);
    void on(work_finished const& event);
    void on(work_refused const& event);
    void on(work_failed const& event);
    void link_lost();
    void follow(next_step step);
    void give_up(api_error const& problem);
    void end(std::string const& outcome);
    void abandon();
    void caller_left();
    void guard_deadline();
    void check_caller();
    [[nodiscard]] std::vector<std::pair<std::string, std::string>>
    passed_fields() const;

    node& node_;
    std::shared_ptr<entry::exchange> caller_;
    service_request asked_;
    call_routing routing_;
    outcome_handler on_outcome_;
    std::string attempt_;
    call_target target_;
    std::unique_ptr<order_link> link_;
    asio::steady_timer retry_timer_;
    asio::steady_timer deadline_timer_;
    service_outcome outcome_;
    bool dispatched_ = false;
    bool ended_ = false;
    bool caller_gone_ = false;
    bool reading_ = true;
};

} // namespace medlarstall::daemon

#endif
