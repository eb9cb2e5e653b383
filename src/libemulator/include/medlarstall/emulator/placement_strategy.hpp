#ifndef MEDLARSTALL_EMULATOR_PLACEMENT_STRATEGY_HPP
#define MEDLARSTALL_EMULATOR_PLACEMENT_STRATEGY_HPP

#include <medlarstall/dispatch/dispatcher.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::emulator {

/// How an experiment places requests: as the product does, or in a simpler
/// way to compare with. Only experiments know the simpler ways.
enum class placement_strategy
{
    product,
    least_loaded, ///< Fewest requests in flight, wherever the prompt is kept.
    affinity,     ///< By the prompt alone, whatever the load.
    no_waiting    ///< As the product, but refused if all slots are taken.
};

/// \param strategy a strategy
/// \return its name
[[nodiscard]] char const* name_of(placement_strategy strategy);

/// \param name name of a strategy
/// \return the strategy, or nothing
[[nodiscard]] std::optional<placement_strategy>
strategy_named(std::string_view name);

/// \return all strategies
[[nodiscard]] std::vector<placement_strategy> all_strategies();

/// Chooses a backend server by a strategy.
/// \param strategy the strategy
/// \param from the dispatcher with all beliefs
/// \param wanted request to place
/// \param now virtual time
/// \return the choice, or nothing if the request has to wait or be refused
[[nodiscard]] std::optional<dispatch::placement>
choose(placement_strategy strategy, dispatch::dispatcher& from,
       dispatch::work const& wanted, time_point now);

} // namespace medlarstall::emulator

#endif
