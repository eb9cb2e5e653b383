#ifndef MEDLARSTALL_CHART_CHART_HPP
#define MEDLARSTALL_CHART_CHART_HPP

#include <cstdint>
#include <optional>
#include <vector>

namespace medlarstall::chart {

/// Position of a state, an event or an action in its list of names.
using chart_index = std::uint8_t;

/// What one event does in one state. Plain data.
struct chart_transition
{
    chart_index target = 0;
    std::vector<chart_index> actions; ///< In the order of the file.
};

/// One state of a chart. Plain data.
struct chart_state
{
    bool is_final = false;
    /// By event; empty where the event is not allowed.
    std::vector<std::optional<chart_transition>> transitions;
};

/// A flat state chart with its names resolved to indices. Plain data: made
/// by chart_reader, then shared unchanged by all its machines.
struct chart
{
    chart_index initial = 0;
    std::vector<chart_state> states;
};

} // namespace medlarstall::chart

#endif
