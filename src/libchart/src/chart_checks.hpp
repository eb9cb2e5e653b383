#ifndef MEDLARSTALL_CHART_CHART_CHECKS_HPP
#define MEDLARSTALL_CHART_CHART_CHECKS_HPP

#include <medlarstall/support/result.hpp>

#include <string>

namespace medlarstall::chart {

struct chart;
struct chart_alphabet;

/// Checks that each state can be reached and can reach a final state, and
/// that each event and action is used.
/// \param value a chart whose indices lie within \p alphabet
/// \param alphabet the names behind the indices
/// \param file name of the file, for errors
/// \return the first fault, or success
[[nodiscard]] status check_chart(chart const& value,
                                 chart_alphabet const& alphabet,
                                 std::string const& file);

} // namespace medlarstall::chart

#endif
