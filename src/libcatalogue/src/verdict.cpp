#include <medlarstall/catalogue/verdict.hpp>

namespace medlarstall::catalogue {

std::string_view name_of(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::none:
        return "none";
    case refusal_reason::unknown_author:
        return "unknown_author";
    case refusal_reason::key_mismatch:
        return "key_mismatch";
    case refusal_reason::not_owner:
        return "not_owner";
    case refusal_reason::conflict:
        return "conflict";
    case refusal_reason::invalid:
        return "invalid";
    case refusal_reason::wrong_anchor:
        return "wrong_anchor";
    case refusal_reason::malformed:
        return "malformed";
    }
    return "unknown";
}

} // namespace medlarstall::catalogue
