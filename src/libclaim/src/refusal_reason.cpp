#include <medlarstall/claim/refusal_reason.hpp>

namespace medlarstall::claim {

std::string_view code_of(refusal reason)
{
    switch (reason) {
    case refusal::none:
        return "none";
    case refusal::malformed_key:
        return "malformed_key";
    case refusal::wrong_key_version:
        return "wrong_key_version";
    case refusal::key_expired:
        return "key_expired";
    case refusal::key_in_future:
        return "key_in_future";
    case refusal::key_exhausted:
        return "key_exhausted";
    case refusal::log_unavailable:
        return "log_unavailable";
    case refusal::deadline:
        return "deadline";
    case refusal::too_many_pending:
        return "too_many_pending";
    case refusal::in_progress:
        return "in_progress";
    }
    return "none";
}

} // namespace medlarstall::claim
