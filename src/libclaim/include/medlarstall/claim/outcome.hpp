#ifndef MEDLARSTALL_CLAIM_OUTCOME_HPP
#define MEDLARSTALL_CLAIM_OUTCOME_HPP

#include <memory>
#include <string>

namespace medlarstall::claim {

/// Outcome of an attempt that was dispatched. Plain data.
struct outcome
{
    bool known = false; ///< False if the call may or may not have run.
    int status = 0;     ///< HTTP status of the backend server's answer.
    std::string content_type;
    std::string body;
    bool body_kept = true; ///< False if the body was too large to be kept.

    bool operator==(outcome const&) const = default;
};

/// An immutable outcome, shared because several calls may be answered with it.
using shared_outcome = std::shared_ptr<outcome const>;

} // namespace medlarstall::claim

#endif
