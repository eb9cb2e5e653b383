#ifndef MEDLARSTALL_EMULATOR_RUN_HPP
#define MEDLARSTALL_EMULATOR_RUN_HPP

#include <medlarstall/emulator/experiment.hpp>
#include <medlarstall/emulator/figures.hpp>
#include <medlarstall/emulator/placement_strategy.hpp>

#include <cstdint>

namespace medlarstall::emulator {

/// Plays an experiment in virtual time. The same arguments give the same
/// figures.
/// \param what the experiment
/// \param strategy how requests are placed
/// \param seed seed of all random choices
/// \return its figures
[[nodiscard]] run_figures run(experiment const& what,
                              placement_strategy strategy, std::uint64_t seed);

} // namespace medlarstall::emulator

#endif
