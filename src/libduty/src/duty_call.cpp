#include <medlarstall/duty/duty_call.hpp>

namespace medlarstall::duty {

char const* name_of(call_outcome outcome)
{
    switch (outcome) {
    case call_outcome::accepted:
        return "accepted";
    case call_outcome::fenced:
        return "fenced";
    case call_outcome::rejected:
        return "rejected";
    case call_outcome::unavailable:
        return "unavailable";
    case call_outcome::unknown:
        return "unknown";
    }
    return "";
}

} // namespace medlarstall::duty
