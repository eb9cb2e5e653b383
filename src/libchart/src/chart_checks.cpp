#include "chart_checks.hpp"

#include <medlarstall/chart/chart.hpp>
#include <medlarstall/chart/chart_alphabet.hpp>

#include <algorithm>
#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace medlarstall::chart {

namespace {

using marks = std::vector<bool>;

/// Calls \p visit with source, event and transition for each transition.
template<class Visit>
void each_transition(chart const& value, Visit visit)
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

marks reachable(chart const& value)
{
    marks seen(value.states.size());
    seen[value.initial] = true;
    for (std::size_t round = 0; round < seen.size(); ++round) {
        each_transition(value, [&](auto from, auto, auto const& taken) {
            seen[taken.target] = seen[taken.target] || seen[from];
        });
    }
    return seen;
}

marks can_end(chart const& value)
{
    marks ends(value.states.size());
    for (std::size_t state = 0; state < ends.size(); ++state) {
        ends[state] = value.states[state].is_final;
    }
    for (std::size_t round = 0; round < ends.size(); ++round) {
        each_transition(value, [&](auto from, auto, auto const& taken) {
            ends[from] = ends[from] || ends[taken.target];
        });
    }
    return ends;
}

status expect_all(marks const& found, std::span<std::string_view const> names,
                  std::string const& element, std::string const& fault)
{
    auto const missing = std::ranges::find(found, false);
    if (missing == found.end()) {
        return success();
    }
    auto const index = static_cast<std::size_t>(missing - found.begin());
    return error{.field = element + " " + std::string{names[index]},
                 .message = fault};
}

} // namespace

status check_chart(chart const& value, chart_alphabet const& alphabet,
                   std::string const& file)
{
    marks events(alphabet.events.size());
    marks actions(alphabet.actions.size());
    each_transition(value, [&](auto, auto event, auto const& taken) {
        events[event] = true;
        for (auto const action : taken.actions) {
            actions[action] = true;
        }
    });
    auto const state = file + ": <state>";
    for (auto const& checked :
         {expect_all(reachable(value), alphabet.states, state,
                     "cannot be reached from the initial state"),
          expect_all(can_end(value), alphabet.states, state,
                     "has no way to a final state"),
          expect_all(events, alphabet.events, file + ": <transition>",
                     "the event is never used"),
          expect_all(actions, alphabet.actions, file + ": <send>",
                     "the action is never used")}) {
        if (failed(checked)) {
            return checked;
        }
    }
    return success();
}

} // namespace medlarstall::chart
