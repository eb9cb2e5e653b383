#ifndef MEDLARSTALL_CLAIM_REFUSAL_HPP
#define MEDLARSTALL_CLAIM_REFUSAL_HPP

#include <string_view>

namespace medlarstall::claim {

/// Why a call was not run, or why its fate cannot be told.
enum class refusal
{
    none,
    malformed_key,     ///< Not a UUID in canonical form.
    wrong_key_version, ///< A UUID, but not of version 7.
    key_expired,       ///< Older than the window in which keys are accepted.
    key_in_future,     ///< Its time lies too far ahead of the log's clock.
    key_exhausted,     ///< Released too often without a run.
    log_unavailable,   ///< The log did not answer before the deadline.
    deadline,          ///< The deadline passed before the claim was decided.
    too_many_pending,  ///< Too many calls wait for the log.
    in_progress        ///< Another attempt may be running.
};

/// \param reason a refusal
/// \return its stable code for error bodies and logs
[[nodiscard]] std::string_view code_of(refusal reason);

} // namespace medlarstall::claim

#endif
