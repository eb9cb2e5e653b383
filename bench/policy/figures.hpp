#ifndef MEDLARSTALL_BENCH_FIGURES_HPP
#define MEDLARSTALL_BENCH_FIGURES_HPP

#include "backend_pool.hpp"
#include "recorder.hpp"

#include <map>
#include <string>
#include <vector>

namespace medlarstall::bench {

/// Figures of one run by name, in the order in which they are printed.
using figures = std::map<std::string, double>;

/// Works out the figures of a run, leaving out the warm-up.
/// \param place installation
/// \param what case
/// \param arrivals requests
/// \param record what callers saw
/// \param pool backend servers after the run
/// \return the figures
[[nodiscard]] figures measure(site const& place, scenario const& what,
                              std::vector<arrival> const& arrivals,
                              recorder const& record, backend_pool const& pool);

/// \param name name of a figure
/// \return its unit
[[nodiscard]] char const* unit_of(std::string const& name);

} // namespace medlarstall::bench

#endif
