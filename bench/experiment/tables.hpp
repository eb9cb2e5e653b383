#ifndef MEDLARSTALL_BENCH_EXPERIMENT_TABLES_HPP
#define MEDLARSTALL_BENCH_EXPERIMENT_TABLES_HPP

#include <medlarstall/emulator/run_metrics.hpp>

#include <ostream>
#include <vector>

namespace medlarstall::bench {

/// Prints a table that compares several runs, and then for each run a table of
/// its classes and one of its organisations.
/// \param out stream that receives the text
/// \param runs metrics of the runs, one for each placement strategy
void print_tables(std::ostream& out,
                  std::vector<emulator::run_metrics> const& runs);

/// Writes the worth share of each second as CSV, with one column for each run.
/// \param out stream that receives the text
/// \param runs metrics of the runs, one for each placement strategy
void write_seconds_csv(std::ostream& out,
                       std::vector<emulator::run_metrics> const& runs);

} // namespace medlarstall::bench

#endif
