#ifndef MEDLARSTALL_EMULATOR_RUN_EXPERIMENT_HPP
#define MEDLARSTALL_EMULATOR_RUN_EXPERIMENT_HPP

#include <medlarstall/emulator/experiment.hpp>
#include <medlarstall/emulator/placement_strategy.hpp>
#include <medlarstall/emulator/run_metrics.hpp>

#include <cstdint>

namespace medlarstall::emulator {

/// Runs an experiment in virtual time. The result is deterministic: the same
/// arguments give the same metrics.
/// \param spec experiment to run
/// \param strategy how daemons place requests on backend servers
/// \param seed seed of all random number generators of the run
/// \return metrics of the requests and the backend servers
[[nodiscard]] run_metrics run_experiment(experiment const& spec,
                                         placement_strategy strategy,
                                         std::uint64_t seed);

} // namespace medlarstall::emulator

#endif
