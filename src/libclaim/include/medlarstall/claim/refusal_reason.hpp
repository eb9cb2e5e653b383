#ifndef MEDLARSTALL_CLAIM_REFUSAL_REASON_HPP
#define MEDLARSTALL_CLAIM_REFUSAL_REASON_HPP

#include <string_view>

namespace medlarstall::claim {

/// Why a call was not run, or why it cannot be told whether it ran.
enum class refusal_reason
{
    none,
    malformed_key,     ///< The key is not a UUID in canonical form.
    wrong_key_version, ///< The key is a UUID, but not of version 7.
    key_expired,       ///< Older than the window in which keys are accepted.
    key_in_future,     ///< The time in the key is too far ahead of the log's.
    key_exhausted,     ///< The key was released too often without a run.
    log_unavailable,   ///< The log did not answer before the deadline.
    deadline_passed,   ///< The deadline passed before the claim was decided.
    too_many_pending,  ///< Too many calls wait for the log.
    in_progress        ///< Another attempt may be running.
};

/// \param reason reason of a refusal
/// \return its stable code for the bodies of error answers and for logs
[[nodiscard]] std::string_view code_of(refusal_reason reason);

} // namespace medlarstall::claim

#endif
