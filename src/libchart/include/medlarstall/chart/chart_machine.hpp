#ifndef MEDLARSTALL_CHART_CHART_MACHINE_HPP
#define MEDLARSTALL_CHART_CHART_MACHINE_HPP

#include <medlarstall/chart/chart.hpp>

#include <optional>
#include <span>

namespace medlarstall::chart {

/// Tracks the state of one object that follows a chart. Does not allocate
/// memory.
class chart_machine
{
public:
    /// Starts in the initial state.
    /// \param definition chart made by chart_reader; has to outlive the machine
    explicit chart_machine(chart const& definition);

    /// \return index of the current state
    [[nodiscard]] chart_index state() const { return state_; }

    /// \return true if the current state is final: it allows no event
    [[nodiscard]] bool is_final() const;

    /// Takes the transition for an event in the current state.
    /// \param event index of the event
    /// \return the actions to execute, valid as long as the chart, or empty if
    ///         the current state does not allow the event; the state is
    ///         unchanged then
    [[nodiscard]] std::optional<std::span<chart_index const>>
    fire(chart_index event);

private:
    chart const* chart_;
    chart_index state_;
};

} // namespace medlarstall::chart

#endif
