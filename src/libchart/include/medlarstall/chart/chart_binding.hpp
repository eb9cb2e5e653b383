#ifndef MEDLARSTALL_CHART_CHART_BINDING_HPP
#define MEDLARSTALL_CHART_CHART_BINDING_HPP

#include <medlarstall/chart/chart_alphabet.hpp>
#include <medlarstall/chart/chart_machine.hpp>
#include <medlarstall/chart/chart_reader.hpp>
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

/// The names of an enumeration in a chart file, in the order of its values.
/// Each enumeration used with chart_binding specialises it.
template<class Enum>
inline constexpr std::array<std::string_view, 0> chart_names{};

/// \param value a value of an enumeration with chart_names
/// \return its name in the chart file
template<class Enum>
[[nodiscard]] constexpr std::string_view name_of(Enum value)
{
    return chart_names<Enum>[static_cast<std::size_t>(value)];
}

/// A chart whose states, events and actions are enumerations of the code.
/// Owns the chart; its machines refer to it.
template<class State, class Event, class Action>
class chart_binding
{
    static_assert(!chart_names<State>.empty());
    static_assert(!chart_names<Event>.empty());
    static_assert(!chart_names<Action>.empty());

public:
    /// Turns the index of an action into its enumeration value.
    struct to_action
    {
        Action operator()(chart_index index) const
        {
            return static_cast<Action>(index);
        }
    };

    /// The actions of one transition, in order.
    using action_view =
        std::ranges::transform_view<std::span<chart_index const>, to_action>;

    /// One run through the chart.
    class machine
    {
    public:
        /// \param definition the chart, which has to outlive the machine
        explicit machine(chart_binding const& definition)
            : machine_(definition.chart_)
        {}

        /// \return the state that the machine is in
        [[nodiscard]] State state() const
        {
            return static_cast<State>(machine_.state());
        }

        /// \return true if no event is allowed any more
        [[nodiscard]] bool is_final() const { return machine_.is_final(); }

        /// \param event what happened
        /// \return the actions to carry out, or nothing if the event is not
        ///         allowed in this state, which is then unchanged
        [[nodiscard]] std::optional<action_view> fire(Event event)
        {
            auto const taken = machine_.fire(static_cast<chart_index>(event));
            if (!taken) {
                return std::nullopt;
            }
            return action_view{*taken, to_action{}};
        }

    private:
        chart_machine machine_;
    };

    /// Reads a chart that uses exactly the names of the enumerations.
    /// \param file name of the file, for errors
    /// \param text the content of the file
    /// \return the chart, or the first fault as chart_reader gives it
    [[nodiscard]] static result<chart_binding> read(std::string file,
                                                    std::string_view text)
    {
        auto outcome = chart_reader{std::move(file)}.read(
            text,
            {chart_names<State>, chart_names<Event>, chart_names<Action>});
        if (failed(outcome)) {
            return error_of(outcome);
        }
        return chart_binding{std::move(value_of(outcome))};
    }

    /// \return a machine in the initial state; the chart has to outlive it
    [[nodiscard]] machine start() const { return machine{*this}; }

private:
    explicit chart_binding(chart value) : chart_(std::move(value)) {}

    chart chart_;
};

} // namespace medlarstall::chart

#endif
