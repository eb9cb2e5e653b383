#ifndef MEDLARSTALL_BENCH_EXPERIMENT_TABLES_HPP
#define MEDLARSTALL_BENCH_EXPERIMENT_TABLES_HPP

#include <medlarstall/emulator/figures.hpp>

#include <ostream>
#include <vector>

namespace medlarstall::bench {

/// Prints the figures of several runs side by side, then each run by class
/// and by organisation.
/// \param out where to
/// \param runs figures of the runs
void print_tables(std::ostream& out,
                  std::vector<emulator::run_figures> const& runs);

/// Writes the worth of each second, one column for each run.
/// \param out where to
/// \param runs figures of the runs
void write_seconds(std::ostream& out,
                   std::vector<emulator::run_figures> const& runs);

} // namespace medlarstall::bench

#endif
