#ifndef MEDLARSTALL_CHART_CHART_CHECKS_HPP
#define MEDLARSTALL_CHART_CHART_CHECKS_HPP

#include <medlarstall/support/result.hpp>

#include <string>

namespace medlarstall::chart {

struct chart;
struct chart_vocabulary;

/// Checks that every state is reachable from the initial state and can reach a
/// final one, and that every event and action is used.
/// \param value chart whose indices are all valid in \p vocabulary
/// \param vocabulary names to which the indices refer
/// \param file name of the chart file for error messages
/// \return success, or the first error, whose field names the file and the
///         unused name
[[nodiscard]] status check_chart(chart const& value,
                                 chart_vocabulary const& vocabulary,
                                 std::string const& file);

} // namespace medlarstall::chart

#endif
