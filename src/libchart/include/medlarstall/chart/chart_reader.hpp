#ifndef MEDLARSTALL_CHART_CHART_READER_HPP
#define MEDLARSTALL_CHART_CHART_READER_HPP

#include <medlarstall/chart/chart.hpp>
#include <medlarstall/support/result.hpp>

#include <string>
#include <string_view>

namespace medlarstall::chart {

struct chart_alphabet;

/// Reads charts from a subset of SCXML: <scxml initial>, <state id>,
/// <final id>, <transition event target> and <send event>, whose event is
/// the name of an action. Everything else is an error.
class chart_reader
{
public:
    /// \param file name of the file, for errors
    explicit chart_reader(std::string file);

    /// Reads a chart and checks it against the names that the code knows.
    /// \param text the content of the file
    /// \param alphabet all names of states, events and actions, at most 255
    ///        of each
    /// \return the chart, or the first fault: its field names the file and
    ///         the element
    [[nodiscard]] result<chart> read(std::string_view text,
                                     chart_alphabet const& alphabet) const;

private:
    std::string file_;
};

} // namespace medlarstall::chart

#endif
