#ifndef MEDLARSTALL_CHART_DAEMON_CHART_HPP
#define MEDLARSTALL_CHART_DAEMON_CHART_HPP

#include <medlarstall/chart/chart_binding.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace medlarstall::chart {

/// States of a daemon; see charts/daemon.scxml.
enum class daemon_state : std::uint8_t
{
    starting,
    serving,
    leaving,      ///< Still serves, as callers may still use its address.
    handing_over, ///< Passes on its ownerships and ends its open work.
    stopped
};

/// Events that concern a daemon; see charts/daemon.scxml.
enum class daemon_event : std::uint8_t
{
    catalogue_ready,
    drain,
    unlisted,    ///< Callers have had time to notice that it is not listed.
    idle,        ///< No open work is left.
    bound_passed ///< The time limit of the drain has passed.
};

/// Actions that transitions require of the code that runs the chart; see
/// charts/daemon.scxml.
enum class daemon_action : std::uint8_t
{
    become_ready,
    stop,
    leave_listing,
    hand_over_ownership,
    report_cut_off
};

template<>
inline constexpr std::array chart_names<daemon_state> =
    std::to_array<std::string_view>(
        {"starting", "serving", "leaving", "handing_over", "stopped"});

template<>
inline constexpr std::array chart_names<daemon_event> =
    std::to_array<std::string_view>(
        {"catalogue_ready", "drain", "unlisted", "idle", "bound_passed"});

template<>
inline constexpr std::array chart_names<daemon_action> =
    std::to_array<std::string_view>({"become_ready", "stop", "leave_listing",
                                     "hand_over_ownership", "report_cut_off"});

/// Life cycle of a daemon from its start to its graceful shutdown.
using daemon_chart = chart_binding<daemon_state, daemon_event, daemon_action>;

/// Parses the chart that is embedded in the program on the first call.
/// \return the chart, shared by all threads, or the error in its file
[[nodiscard]] result<daemon_chart> const& shared_daemon_chart();

} // namespace medlarstall::chart

#endif
