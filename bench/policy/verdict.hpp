#ifndef MEDLARSTALL_BENCH_VERDICT_HPP
#define MEDLARSTALL_BENCH_VERDICT_HPP

#include "figures.hpp"

#include <string>
#include <utility>
#include <vector>

namespace medlarstall::bench {

/// Figures by policy, ours first.
using case_figures = std::vector<std::pair<std::string, figures>>;

/// \param what a case with stragglers
/// \return the load that gives the same work without any
[[nodiscard]] double straggler_free_load(scenario const& what);

/// Adds the figures that compare a case with one without its disturbance.
/// \param what case
/// \param results figures of the case; added to
/// \param steady figures of the steady case
/// \param no_stragglers figures of the same work without stragglers
void add_ratios(scenario const& what, case_figures& results,
                case_figures const& steady, case_figures const& no_stragglers);

/// Prints the figures, one a line, with target and verdict.
/// \param place installation
/// \param what case
/// \param results figures by policy
/// \return true if ours meet all targets
bool print_case(site const& place, scenario const& what,
                case_figures const& results);

} // namespace medlarstall::bench

#endif
