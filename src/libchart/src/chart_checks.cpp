#include "chart_checks.hpp"

#include <medlarstall/chart/chart.hpp>
#include <medlarstall/chart/chart_vocabulary.hpp>

#include <algorithm>
#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace medlarstall::chart {

namespace {

using flag_list = std::vector<bool>;

/// Calls \p visit with the source state, the event and the chart_transition of
/// each transition.
template<class Visit>
void for_each_transition(chart const& value, Visit visit)
{
    for (std::size_t from = 0; from < value.states.size(); ++from) {
        auto const& transitions = value.states[from].transitions;
        for (std::size_t event = 0; event < transitions.size(); ++event) {
            if (transitions[event]) {
                visit(from, event, *transitions[event]);
            }
        }
    }
}

/// \return a flag for each state, set if it is reachable from the initial one;
///         no path is longer than the number of states
flag_list find_reachable_states(chart const& value)
{
    flag_list reached(value.states.size());
    reached[value.initial] = true;
    for (std::size_t pass = 0; pass < reached.size(); ++pass) {
        for_each_transition(value,
                            [&](auto from, auto, auto const& transition) {
                                reached[transition.target] =
                                    reached[transition.target] || reached[from];
                            });
    }
    return reached;
}

/// \return a flag for each state, set if it is final or can reach a final one
flag_list find_terminating_states(chart const& value)
{
    flag_list can_end(value.states.size());
    for (std::size_t state = 0; state < can_end.size(); ++state) {
        can_end[state] = value.states[state].is_final;
    }
    for (std::size_t pass = 0; pass < can_end.size(); ++pass) {
        for_each_transition(
            value, [&](auto from, auto, auto const& transition) {
                can_end[from] = can_end[from] || can_end[transition.target];
            });
    }
    return can_end;
}

/// \return success, or an error for the first flag that is not set, whose field
///         consists of the element and the name at the same index
status expect_all_set(flag_list const& flags,
                      std::span<std::string_view const> names,
                      std::string const& element, std::string const& message)
{
    auto const missing = std::ranges::find(flags, false);
    if (missing == flags.end()) {
        return success();
    }
    auto const index = static_cast<std::size_t>(missing - flags.begin());
    return error{.field = element + " " + std::string{names[index]},
                 .message = message};
}

} // namespace

status check_chart(chart const& value, chart_vocabulary const& vocabulary,
                   std::string const& file)
{
    flag_list used_events(vocabulary.events.size());
    flag_list used_actions(vocabulary.actions.size());
    for_each_transition(value, [&](auto, auto event, auto const& transition) {
        used_events[event] = true;
        for (auto const action : transition.actions) {
            used_actions[action] = true;
        }
    });
    auto const state = file + ": <state>";
    for (auto const& check_result :
         {expect_all_set(find_reachable_states(value), vocabulary.states, state,
                         "cannot be reached from the initial state"),
          expect_all_set(find_terminating_states(value), vocabulary.states,
                         state, "has no way to a final state"),
          expect_all_set(used_events, vocabulary.events,
                         file + ": <transition>", "the event is never used"),
          expect_all_set(used_actions, vocabulary.actions, file + ": <send>",
                         "the action is never used")}) {
        if (failed(check_result)) {
            return check_result;
        }
    }
    return success();
}

} // namespace medlarstall::chart
