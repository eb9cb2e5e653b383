#ifndef MEDLARSTALL_PLACEMENT_PLACEMENT_TYPES_HPP
#define MEDLARSTALL_PLACEMENT_PLACEMENT_TYPES_HPP

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace medlarstall::placement {

/// What an order asks of an engine.
enum class order_kind
{
    load_model,
    load_version,
    load_adapter,
    set_role
};

/// \param kind kind of order
/// \return its name in the interface of engines, for example "load_model"
[[nodiscard]] std::string_view name_of(order_kind kind);

/// Something that an engine should have. Plain data.
struct placement_item
{
    order_kind kind = order_kind::load_model;
    std::string model;   ///< Empty for a role.
    std::string variant; ///< Version, adapter or role; empty for a model.

    auto operator<=>(placement_item const&) const = default;
};

/// What an engine reports of itself. Plain data.
struct engine_report
{
    std::set<std::string> models; ///< Names; versions as "model@version" and
                                  ///< adapters as "model+adapter" if it tells.
    std::string role;
};

/// An order to send to an engine. Plain data.
struct engine_order
{
    std::string backend_server;
    std::string order_id; ///< The same if the order is sent again.
    std::uint64_t fencing = 0;
    placement_item item;

    bool operator==(engine_order const&) const = default;
};

/// Why something was ordered, or was not. Written as one log line. Plain data.
struct placement_decision
{
    std::string backend_server;
    placement_item item;
    std::string_view action; ///< For example "order" or "wait".
    std::string reason;
    std::uint64_t fencing = 0;
};

} // namespace medlarstall::placement

#endif
