#ifndef MEDLARSTALL_ROUTING_SPILL_POLICY_HPP
#define MEDLARSTALL_ROUTING_SPILL_POLICY_HPP

#include <medlarstall/routing/fleet_view.hpp>
#include <medlarstall/routing/route.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace medlarstall::routing {

/// How far a refused request is offered around.
struct spill_settings
{
    std::uint32_t hops = 6; ///< Owners that are asked without a pause.
    std::chrono::milliseconds pause{100}; ///< After that many.
};

/// What to do with a request that an owner refused as full.
enum class spill_action
{
    offer, ///< Offer it to the owner named.
    pause, ///< Decide again after the pause, with no owner excluded.
    shed   ///< No owner has room or anything of a lower tier.
};

/// Decision on a refused request. Plain data.
struct spill_decision
{
    spill_action action = spill_action::shed;
    std::string owner;
    std::string backend_server;
    std::chrono::milliseconds delay{0}; ///< Of a pause.
};

/// Looks through the fleet before a request is shed: offers it to owners
/// whose summaries show a free slot or work of a lower tier, queued or
/// running. So no request is shed while one of a lower tier is known anywhere.
/// Pure; works on the router's view.
class spill_policy
{
public:
    /// \param settings bounds
    explicit spill_policy(spill_settings settings = {});

    /// \param view what the router knows
    /// \param query the request; the owners that refused it are excluded
    /// \param random 64 random bits; daemons must not all pick the same owner
    /// \return what to do
    [[nodiscard]] spill_decision decide(fleet_view const& view,
                                        route_query const& query,
                                        std::uint64_t random) const;

private:
    spill_settings settings_;
};

} // namespace medlarstall::routing

#endif
