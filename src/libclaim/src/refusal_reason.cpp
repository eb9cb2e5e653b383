#include <medlarstall/claim/refusal_reason.hpp>

namespace medlarstall::claim {

std::string_view code_of(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::none:
        return "none";
    case refusal_reason::malformed_key:
        return "malformed_key";
    case refusal_reason::wrong_key_version:
        return "wrong_key_version";
    case refusal_reason::key_expired:
        return "key_expired";
    case refusal_reason::key_in_future:
        return "key_in_future";
    case refusal_reason::key_exhausted:
        return "key_exhausted";
    case refusal_reason::log_unavailable:
        return "log_unavailable";
    case refusal_reason::deadline_passed:
        return "deadline";
    case refusal_reason::too_many_pending:
        return "too_many_pending";
    case refusal_reason::in_progress:
        return "in_progress";
    }
    return "none";
}

} // namespace medlarstall::claim
