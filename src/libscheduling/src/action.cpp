#include <medlarstall/scheduling/action.hpp>

namespace medlarstall::scheduling {

char const* to_string(refusal reason)
{
    switch (reason) {
    case refusal::queue_full:
        return "queue_full";
    case refusal::deadline:
        return "deadline";
    case refusal::organisation_limit:
        return "organisation_limit";
    case refusal::no_backend_server:
        return "no_backend_server";
    case refusal::draining:
        return "draining";
    }
    return "unknown";
}

} // namespace medlarstall::scheduling
