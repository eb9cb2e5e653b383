#ifndef MEDLARSTALL_DAEMON_CALL_ROUTING_HPP
#define MEDLARSTALL_DAEMON_CALL_ROUTING_HPP

#include "api_error.hpp"
#include "work_event.hpp"
#include "work_order.hpp"

#include <medlarstall/routing/retry_policy.hpp>
#include <medlarstall/routing/route.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace medlarstall::daemon {

struct node;

/// Where an attempt goes.
struct call_target
{
    std::string backend_server;
    std::string owner;
};

/// Send another attempt after a pause, which may be zero.
struct try_again
{
    std::chrono::milliseconds delay{0};
};

/// What to do after an attempt failed: try again, or answer with an error.
using next_step = std::variant<try_again, api_error>;

/// The routing decisions of one request at its entry daemon, from the first
/// choice over every retry: what it must avoid, and what is left of its
/// budgets. Owned by the call.
class call_routing
{
public:
    /// \param shared parts of this daemon
    /// \param request the request
    /// \param prefixes hashes of the prompt, or empty
    /// \param prompt_bytes length of the prompt
    /// \param fingerprint of organisation and body
    call_routing(node& shared, scheduling::request request,
                 std::vector<routing::prefix_hash> prefixes,
                 std::size_t prompt_bytes, std::uint64_t fingerprint);

    /// Judges again whether the request crashes backend servers, since other
    /// daemons or an earlier attempt may have told of it.
    /// \return why it may not be sent, or nothing
    [[nodiscard]] std::optional<api_error> quarantined();

    /// Chooses a backend server and notes that the request is sent there.
    /// \param attempt identifier for the log line
    /// \return where to send the attempt, or nothing if none can run it now
    [[nodiscard]] std::optional<call_target> choose(std::string const& attempt);

    /// Chooses a second backend server for a hedge.
    /// \param attempt identifier for the log line
    /// \param first backend server of the first attempt
    /// \param waited time since the first attempt was sent
    /// \return nothing if no hedge should start
    [[nodiscard]] std::optional<call_target>
    choose_hedge(std::string const& attempt, std::string const& first,
                 std::chrono::microseconds waited);

    /// Decides after choose() found nothing.
    [[nodiscard]] next_step after_no_choice();

    /// Decides after an attempt was refused before it ran.
    /// \param target where it was sent
    /// \param refusal the owner's words
    [[nodiscard]] next_step after_refusal(call_target const& target,
                                          work_refused const& refusal);

    /// Decides after an attempt failed that may have run.
    /// \param target where it was sent
    /// \param code stable code of the failure
    /// \param message what was seen
    /// \param ran whether it ran
    [[nodiscard]] next_step after_failure(call_target const& target,
                                          std::string const& code,
                                          std::string const& message,
                                          run_state ran);

    /// \return the request; its preferred backend server is the last choice
    [[nodiscard]] scheduling::request const& request() const
    {
        return request_;
    }

    /// Makes an error say what is known of all attempts, not just the last: a
    /// request is "not run" only if no attempt may have run.
    /// \param problem what the last attempt ended with
    /// \return the error for the caller
    [[nodiscard]] api_error about_all_attempts(api_error problem) const;

    [[nodiscard]] std::uint64_t fingerprint() const { return fingerprint_; }

private:
    [[nodiscard]] routing::route_query query() const;
    [[nodiscard]] next_step retry(run_state ran, api_error problem);
    [[nodiscard]] next_step spill(work_refused const& refusal);
    void exclude_owner(std::string const& owner);
    void exclude_backend_server(std::string const& backend_server);
    void log_route(routing::route const& made,
                   std::string const& attempt) const;

    node& node_;
    scheduling::request request_;
    std::vector<routing::prefix_hash> prefixes_;
    std::size_t prompt_bytes_;
    std::uint64_t fingerprint_;
    std::vector<std::string> excluded_backend_servers_;
    std::vector<std::string> excluded_owners_;
    std::optional<call_target> offered_; ///< By the spill policy.
    routing::retry_history history_;
    run_state ran_ = run_state::not_run; ///< Of the attempts that failed.
};

} // namespace medlarstall::daemon

#endif
