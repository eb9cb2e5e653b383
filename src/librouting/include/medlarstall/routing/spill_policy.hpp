#ifndef MEDLARSTALL_ROUTING_SPILL_POLICY_HPP
#define MEDLARSTALL_ROUTING_SPILL_POLICY_HPP

#include <medlarstall/routing/fleet_view.hpp>
#include <medlarstall/routing/route.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace medlarstall::routing {

/// Limits for offering a refused request to other owners.
struct spill_settings
{
    /// Refusals by different owners after which there is a pause.
    std::uint32_t max_consecutive_offers = 6;
    std::chrono::milliseconds pause{100}; ///< Length of that pause.
};

/// What to do with a request that an owner refused because it is full.
enum class spill_action
{
    offer, ///< Offer it to the owner in the decision.
    pause, ///< Decide again after the delay, with no owner excluded.
    shed   ///< Drop it: no owner has a free slot or work of a lower tier.
};

/// Decision on a refused request. Plain data.
struct spill_decision
{
    spill_action action = spill_action::shed;
    std::string owner;                  ///< Only set for an offer.
    std::string backend_server;         ///< Only set for an offer.
    std::chrono::milliseconds delay{0}; ///< Only set for a pause.
};

/// Searches the whole fleet for capacity before a request is shed. The request
/// is offered to owners whose summaries show a free slot or work of a lower
/// tier, queued or running. No request is therefore shed while work of a lower
/// tier is known anywhere. Performs no I/O; uses the fleet view of the
/// router.
class spill_policy
{
public:
    /// \param settings number of offers and pause
    explicit spill_policy(spill_settings settings = {});

    /// Decides what to do with a refused request.
    /// \param view state of the backend servers
    /// \param query the request; the owners that refused it are excluded
    /// \param random 64 random bits, so that daemons do not all choose the
    ///     same owner
    /// \return offer, pause or shed
    [[nodiscard]] spill_decision decide(fleet_view const& view,
                                        route_query const& query,
                                        std::uint64_t random) const;

private:
    spill_settings settings_;
};

} // namespace medlarstall::routing

#endif
