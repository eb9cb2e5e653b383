#ifndef MEDLARSTALL_DAEMON_CLAIMED_CALL_HPP
#define MEDLARSTALL_DAEMON_CLAIMED_CALL_HPP

#include "claim_service.hpp"
#include "service_call.hpp"

#include <memory>

namespace medlarstall::daemon {

/// A call that may run at most once: claims its key first, then runs it as a
/// service_call or answers from the outcome of an earlier run. Kept alive by
/// the handlers that it sets.
class claimed_call : public std::enable_shared_from_this<claimed_call>
{
public:
    /// \param shared parts of this daemon
    /// \param claims claims of this daemon; outlives the call
    /// \param caller the caller's request and the answer to it
    /// \param asked what the caller asked for
    /// \param request the request as the scheduler sees it
    /// \param fingerprint of organisation and body
    claimed_call(node& shared, claim_service& claims,
                 std::shared_ptr<entry::exchange> caller, service_request asked,
                 scheduling::request request, std::uint64_t fingerprint);

    /// Asks for the claim.
    void start();

private:
    void run(uuid const& attempt);
    void answer(claim::answer_action const& decided);
    void answer_stored(claim::outcome const& stored);
    void record(uuid const& attempt, service_outcome const& outcome);

    node& node_;
    claim_service& claims_;
    std::shared_ptr<entry::exchange> caller_;
    service_request asked_;
    scheduling::request request_;
    std::uint64_t fingerprint_;
    claim::call_id id_ = 0;
};

} // namespace medlarstall::daemon

#endif
