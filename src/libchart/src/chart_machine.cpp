#include <medlarstall/chart/chart_machine.hpp>

namespace medlarstall::chart {

chart_machine::chart_machine(chart const& definition)
    : chart_(&definition), state_(definition.initial)
{}

bool chart_machine::is_final() const
{
    return chart_->states[state_].is_final;
}

std::optional<std::span<chart_index const>>
chart_machine::fire(chart_index event)
{
    auto const& transitions = chart_->states[state_].transitions;
    if (event >= transitions.size() || !transitions[event]) {
        return std::nullopt;
    }
    state_ = transitions[event]->target;
    return std::span<chart_index const>{transitions[event]->actions};
}

} // namespace medlarstall::chart
