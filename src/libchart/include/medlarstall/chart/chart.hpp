#ifndef MEDLARSTALL_CHART_CHART_HPP
#define MEDLARSTALL_CHART_CHART_HPP

#include <cstdint>
#include <optional>
#include <vector>

namespace medlarstall::chart {

/// Position of a state, event or action in the list of names of its kind in
/// chart_vocabulary.
using chart_index = std::uint8_t;

/// The transition that one event causes in one state.
struct chart_transition
{
    chart_index target = 0;
    std::vector<chart_index> actions; ///< In document order.
};

/// A state with its outgoing transitions.
struct chart_state
{
    bool is_final = false;
    /// Indexed by event; empty for events that the state does not allow.
    std::vector<std::optional<chart_transition>> transitions;
};

/// A state machine without nested states, whose names are resolved to indices.
/// chart_reader creates it; all machines that run it share it unchanged.
struct chart
{
    chart_index initial = 0;
    std::vector<chart_state> states;
};

} // namespace medlarstall::chart

#endif
