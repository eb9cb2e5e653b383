#ifndef MEDLARSTALL_BENCH_MEMBERSHIP_PRINT_HPP
#define MEDLARSTALL_BENCH_MEMBERSHIP_PRINT_HPP

#include <cstdio>
#include <string>
#include <utility>
#include <vector>

namespace medlarstall::bench {

/// Prints one figure on a line of its own.
/// \param where fields that name the case, for example "daemons=5"
inline void print(std::string const& where, std::string const& metric,
                  double value, char const* unit, char const* target = "-")
{
    std::printf("%s metric=%s value=%.4g unit=%s target=%s\n", where.c_str(),
                metric.c_str(), value, unit, target);
}

/// \return processor time used so far, which other programs do not disturb
double processor_seconds();

/// A figure at growing sizes.
using series = std::vector<std::pair<double, double>>;

/// Fits a line by least squares and prints it with its largest residual.
void print_slope(std::string const& metric, series const& points,
                 char const* unit);

/// Measures bytes, processor time and detection against the daemons.
void measure_fleets();

/// Compares ways to pass catalogue changes on under loss and failures.
void measure_upstreams();

/// Measures ownership, subsets and the tree at growing sizes.
void measure_assignments();

} // namespace medlarstall::bench

#endif
