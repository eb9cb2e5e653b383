#include <medlarstall/catalogue/verdict.hpp>

namespace medlarstall::catalogue {

std::string_view name_of(refusal reason)
{
    switch (reason) {
    case refusal::none:
        return "none";
    case refusal::unknown_author:
        return "unknown_author";
    case refusal::key_mismatch:
        return "key_mismatch";
    case refusal::not_owner:
        return "not_owner";
    case refusal::conflict:
        return "conflict";
    case refusal::invalid:
        return "invalid";
    case refusal::wrong_anchor:
        return "wrong_anchor";
    case refusal::malformed:
        return "malformed";
    }
    return "unknown";
}

} // namespace medlarstall::catalogue
