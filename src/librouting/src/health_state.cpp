#include <medlarstall/routing/health_state.hpp>

namespace medlarstall::routing {

char const* name_of(health_state state)
{
    switch (state) {
    case health_state::healthy:
        return "healthy";
    case health_state::demoted:
        return "demoted";
    case health_state::ejected:
        return "ejected";
    case health_state::probing:
        return "probing";
    }
    return "unknown";
}

} // namespace medlarstall::routing
