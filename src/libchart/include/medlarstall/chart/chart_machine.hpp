#ifndef MEDLARSTALL_CHART_CHART_MACHINE_HPP
#define MEDLARSTALL_CHART_CHART_MACHINE_HPP

#include <medlarstall/chart/chart.hpp>

#include <optional>
#include <span>

namespace medlarstall::chart {

/// One run through a chart, owned by what it describes. Allocates nothing.
class chart_machine
{
public:
    /// Starts in the initial state.
    /// \param definition a chart from chart_reader that outlives the machine
    explicit chart_machine(chart const& definition);

    /// \return the state that the machine is in
    [[nodiscard]] chart_index state() const { return state_; }

    /// \return true if no event is allowed any more
    [[nodiscard]] bool is_final() const;

    /// Takes the transition of an event, if the state has one.
    /// \param event index of the event
    /// \return the actions to carry out, valid as long as the chart; or
    ///         nothing if the event is not allowed: the state is unchanged
    [[nodiscard]] std::optional<std::span<chart_index const>>
    fire(chart_index event);

private:
    chart const* chart_;
    chart_index state_;
};

} // namespace medlarstall::chart

#endif
