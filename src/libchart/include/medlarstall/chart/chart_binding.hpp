#ifndef MEDLARSTALL_CHART_CHART_BINDING_HPP
#define MEDLARSTALL_CHART_CHART_BINDING_HPP

#include <medlarstall/chart/chart_machine.hpp>
#include <medlarstall/chart/chart_reader.hpp>
#include <medlarstall/chart/chart_vocabulary.hpp>
#include <medlarstall/support/result.hpp>

#include <array>
#include <cstddef>
#include <optional>
#include <ranges>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace medlarstall::chart {

/// Names of the enumerators of an enumeration in a chart file, in the order of
/// their values. Has to be specialised for each enumeration that chart_binding
/// uses.
template<class Enum>
inline constexpr std::array<std::string_view, 0> chart_names{};

/// \param value enumerator of an enumeration that specialises chart_names
/// \return the name of the enumerator in the chart file
template<class Enum>
[[nodiscard]] constexpr std::string_view name_of(Enum value)
{
    return chart_names<Enum>[static_cast<std::size_t>(value)];
}

/// A chart whose states, events and actions are C++ enumerations. Owns the
/// chart, to which its machines refer.
template<class State, class Event, class Action>
class chart_binding
{
    static_assert(!chart_names<State>.empty());
    static_assert(!chart_names<Event>.empty());
    static_assert(!chart_names<Action>.empty());

public:
    /// Converts the index of an action to its enumerator.
    struct to_action
    {
        Action operator()(chart_index index) const
        {
            return static_cast<Action>(index);
        }
    };

    /// The actions of one transition in the order of execution.
    using action_view =
        std::ranges::transform_view<std::span<chart_index const>, to_action>;

    /// Tracks the state of one object that follows the chart.
    class machine
    {
    public:
        /// Starts in the initial state.
        /// \param definition chart, which has to outlive the machine
        explicit machine(chart_binding const& definition)
            : machine_(definition.chart_)
        {}

        /// \return the current state
        [[nodiscard]] State state() const
        {
            return static_cast<State>(machine_.state());
        }

        /// \return true if the current state is final: it allows no event
        [[nodiscard]] bool is_final() const { return machine_.is_final(); }

        /// Takes the transition for an event in the current state.
        /// \param event event that occurred
        /// \return the actions to execute, or empty if the current state does
        ///         not allow the event; the state is unchanged then
        [[nodiscard]] std::optional<action_view> fire(Event event)
        {
            auto const actions = machine_.fire(static_cast<chart_index>(event));
            if (!actions) {
                return std::nullopt;
            }
            return action_view{*actions, to_action{}};
        }

    private:
        chart_machine machine_;
    };

    /// Parses a chart that uses exactly the names of the three enumerations.
    /// \param file name of the file for error messages
    /// \param text SCXML content of the file
    /// \return the chart, or the first error that chart_reader reports
    [[nodiscard]] static result<chart_binding> read(std::string file,
                                                    std::string_view text)
    {
        auto loaded = chart_reader{std::move(file)}.read(
            text,
            {chart_names<State>, chart_names<Event>, chart_names<Action>});
        if (failed(loaded)) {
            return error_of(loaded);
        }
        return chart_binding{std::move(value_of(loaded))};
    }

    /// \return a machine in the initial state, which this chart has to outlive
    [[nodiscard]] machine start() const { return machine{*this}; }

private:
    explicit chart_binding(chart value) : chart_(std::move(value)) {}

    chart chart_;
};

} // namespace medlarstall::chart

#endif
