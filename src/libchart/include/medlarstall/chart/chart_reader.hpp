#ifndef MEDLARSTALL_CHART_CHART_READER_HPP
#define MEDLARSTALL_CHART_CHART_READER_HPP

#include <medlarstall/chart/chart.hpp>
#include <medlarstall/support/result.hpp>

#include <string>
#include <string_view>

namespace medlarstall::chart {

struct chart_vocabulary;

/// Parses charts in a subset of SCXML: <scxml initial>, <state id>, <final id>,
/// <transition event target> and <send event>. The event attribute of <send>
/// names an action. Other elements and attributes, except xmlns and version of
/// <scxml>, are errors.
class chart_reader
{
public:
    /// \param file name of the chart file for error messages
    explicit chart_reader(std::string file);

    /// Parses a chart and checks that it uses exactly the supported names, that
    /// every state is reachable, and that every state can reach a final one.
    /// \param text SCXML content of the file
    /// \param vocabulary all names of states, events and actions, at most 255
    ///        of each
    /// \return the chart, or the first error, whose field names the file and
    ///         the element
    [[nodiscard]] result<chart> read(std::string_view text,
                                     chart_vocabulary const& vocabulary) const;

private:
    std::string file_;
};

} // namespace medlarstall::chart

#endif
