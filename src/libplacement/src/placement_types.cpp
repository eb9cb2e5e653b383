#include <medlarstall/placement/placement_types.hpp>

namespace medlarstall::placement {

std::string_view name_of(order_kind kind)
{
    switch (kind) {
    case order_kind::load_model:
        return "load_model";
    case order_kind::load_version:
        return "load_version";
    case order_kind::load_adapter:
        return "load_adapter";
    case order_kind::set_role:
        return "set_role";
    }
    return "unknown";
}

} // namespace medlarstall::placement
