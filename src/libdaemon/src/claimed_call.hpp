#ifndef MEDLARSTALL_DAEMON_CLAIMED_CALL_HPP
#define MEDLARSTALL_DAEMON_CLAIMED_CALL_HPP

#include "claim_service.hpp"
#include "service_call.hpp"

#include <memory>

namespace medlarstall::daemon {

/// Answers a service call that may run at most once. It first claims the
/// idempotency key; then it runs the call as a service_call or answers with the
/// stored outcome of an earlier run. Kept alive by the handlers that it sets.
class claimed_call : public std::enable_shared_from_this<claimed_call>
{
public:
    /// \param shared state that all parts of this daemon share; must outlive
    ///     this object
    /// \param claims claim service of this daemon; must outlive this object
    /// \param exchange HTTP exchange with the caller
    /// \param call_request parsed request of the caller
    /// \param request the request as the scheduler sees it
    /// \param fingerprint hash of organisation and body
    claimed_call(daemon_context& shared, claim_service& claims,
                 std::shared_ptr<entry::exchange> exchange,
                 service_request call_request, scheduling::request request,
                 std::uint64_t fingerprint);

    /// Requests the claim of the idempotency key.
    void start();

private:
    void run_service_call(uuid const& attempt);
    void respond(claim::answer_action const& decision);
    void respond_with_stored(claim::outcome const& stored);
    void record_outcome(uuid const& attempt, service_outcome const& outcome);

    daemon_context& node_;
    claim_service& claims_;
    std::shared_ptr<entry::exchange> exchange_;
    service_request service_request_;
    scheduling::request request_;
    std::uint64_t fingerprint_;
    claim::call_id claim_call_id_ = 0;
};

} // namespace medlarstall::daemon

#endif
