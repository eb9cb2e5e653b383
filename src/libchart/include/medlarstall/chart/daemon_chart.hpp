#ifndef MEDLARSTALL_CHART_DAEMON_CHART_HPP
#define MEDLARSTALL_CHART_DAEMON_CHART_HPP

#include <medlarstall/chart/chart_binding.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace medlarstall::chart {

/// Where it stands; see charts/daemon.scxml.
enum class daemon_state : std::uint8_t
{
    starting,
    serving,
    leaving,
    handing_over,
    stopped
};

/// What can happen to it; see charts/daemon.scxml.
enum class daemon_event : std::uint8_t
{
    catalogue_ready,
    drain,
    unlisted,
    idle,
    bound_passed
};

/// What a transition asks of its owner; see charts/daemon.scxml.
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

/// The life of one daemon from its start to its graceful shutdown.
using daemon_chart = chart_binding<daemon_state, daemon_event, daemon_action>;

/// Reads the chart built into the program, once.
/// \return the chart, shared by all threads, or the fault in its file
[[nodiscard]] result<daemon_chart> const& shared_daemon_chart();

} // namespace medlarstall::chart

#endif
