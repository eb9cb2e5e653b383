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

struct daemon_context;

/// Destination of one attempt. Plain data.
struct call_target
{
    std::string backend_server; ///< Id of the backend server that runs it.
    std::string owner; ///< Id of the daemon that owns the backend server.
};

/// Send another attempt after a delay, which may be zero. Plain data.
struct retry_step
{
    std::chrono::milliseconds delay{0};
};

/// What to do after an attempt failed: retry, or answer with an error.
using next_step = std::variant<retry_step, api_error>;

/// Makes the routing decisions of one request at its entry daemon, for the
/// first attempt and every retry. Keeps the excluded backend servers and
/// owners and the retry history of the request. Owned by the call.
class call_routing
{
public:
    /// \param shared state that all parts of this daemon share; must outlive
    ///     this object
    /// \param request the request as the scheduler sees it
    /// \param prefixes hashes of the prompt prefixes; empty for a plain service
    /// \param prompt_bytes length of the prompt; 0 for a plain service
    /// \param fingerprint hash of organisation and body
    call_routing(daemon_context& shared, scheduling::request request,
                 std::vector<routing::prefix_hash> prefixes,
                 std::size_t prompt_bytes, std::uint64_t fingerprint);

    /// Checks whether the request is suspected of crashing backend servers.
    /// Called before every attempt, because an earlier attempt or another
    /// daemon may have reported a crash meanwhile. Excludes the backend servers
    /// that crashed while they ran the request.
    /// \return the error if the request is quarantined, or nothing
    [[nodiscard]] std::optional<api_error> check_quarantine();

    /// Chooses a backend server and records that the request is sent there.
    /// \param attempt identifier of the attempt, for the log
    /// \return destination of the attempt, or nothing if no backend server can
    ///     run it now
    [[nodiscard]] std::optional<call_target>
    choose_target(std::string const& attempt);

    /// Chooses a second backend server for a hedged attempt.
    /// \param attempt identifier of the hedged attempt, for the log
    /// \param first backend server of the first attempt, which is excluded
    /// \param waited time since the first attempt was sent
    /// \return destination of the hedged attempt, or nothing if none should be
    ///     sent
    [[nodiscard]] std::optional<call_target>
    choose_hedge_target(std::string const& attempt, std::string const& first,
                        std::chrono::microseconds waited);

    /// Decides what to do after choose_target() found no backend server.
    /// \return a retry, or the error for the caller
    [[nodiscard]] next_step after_no_target();

    /// Decides what to do after an attempt was refused before it ran.
    /// \param target where the attempt was sent
    /// \param refusal reason that the owner gave
    /// \return a retry, or the error for the caller
    [[nodiscard]] next_step after_refusal(call_target const& target,
                                          work_refused const& refusal);

    /// Decides what to do after the failure of an attempt that may have run.
    /// \param target where the attempt was sent
    /// \param code machine-readable code of the failure
    /// \param message explanation for people
    /// \param ran whether the attempt ran
    /// \return a retry, or the error for the caller
    [[nodiscard]] next_step after_failure(call_target const& target,
                                          std::string const& code,
                                          std::string const& message,
                                          run_state ran);

    /// \return the request; its preferred backend server is the one that was
    ///     chosen last
    [[nodiscard]] scheduling::request const& request() const
    {
        return request_;
    }

    /// Replaces the run state of the last attempt with that of all attempts: a
    /// request counts as not run only if no attempt may have run.
    /// \param problem error of the last attempt
    /// \return the error for the caller
    [[nodiscard]] api_error with_combined_run_state(api_error problem) const;

    [[nodiscard]] std::uint64_t fingerprint() const { return fingerprint_; }

private:
    [[nodiscard]] routing::route_query query() const;
    [[nodiscard]] next_step decide_retry(run_state ran, api_error problem);
    [[nodiscard]] next_step spill_or_reject(work_refused const& refusal);
    void exclude_owner(std::string const& owner);
    void exclude_backend_server(std::string const& backend_server);
    void log_route(routing::route const& route,
                   std::string const& attempt) const;

    daemon_context& node_;
    scheduling::request request_;
    std::vector<routing::prefix_hash> prefixes_;
    std::size_t prompt_bytes_;
    std::uint64_t fingerprint_;
    std::vector<std::string> excluded_backend_servers_;
    std::vector<std::string> excluded_owners_;
    std::optional<call_target> spill_target_; ///< Chosen by the spill policy.
    routing::retry_history retry_history_;
    run_state combined_run_state_ = run_state::not_run; ///< Of failed attempts.
};

} // namespace medlarstall::daemon

#endif
