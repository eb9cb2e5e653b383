#ifndef MEDLARSTALL_EMULATOR_PLACEMENT_STRATEGY_HPP
#define MEDLARSTALL_EMULATOR_PLACEMENT_STRATEGY_HPP

#include <medlarstall/dispatch/dispatcher.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::emulator {

/// How an experiment places requests on backend servers. The strategies other
/// than product are baselines for comparison and exist only here.
enum class placement_strategy
{
    product,      ///< The dispatcher of the product, unchanged.
    least_loaded, ///< Fewest requests in flight; ignores cached prompts.
    affinity,     ///< Hash of the first prompt part; ignores the load.
    no_waiting    ///< As product, but refuses when all slots are taken.
};

/// \param strategy a placement strategy
/// \return the name by which the command line and the tables refer to it
[[nodiscard]] char const* name_of(placement_strategy strategy);

/// \param name name of a strategy, as name_of() returns it
/// \return the strategy, or empty if no strategy has this name
[[nodiscard]] std::optional<placement_strategy>
strategy_from_name(std::string_view name);

/// \return every placement strategy, product first
[[nodiscard]] std::vector<placement_strategy> all_strategies();

/// Chooses a backend server for a request.
/// \param strategy rule that makes the choice
/// \param dispatcher the daemon's view of the backend servers
/// \param request request to place
/// \param now current virtual time
/// \return the chosen server, or empty if the request has to wait or to be
///         refused
[[nodiscard]] std::optional<dispatch::placement>
choose_placement(placement_strategy strategy, dispatch::dispatcher& dispatcher,
                 dispatch::placement_request const& request, time_point now);

} // namespace medlarstall::emulator

#endif
