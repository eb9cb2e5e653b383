#ifndef MEDLARSTALL_CHART_BACKEND_SERVER_CHART_HPP
#define MEDLARSTALL_CHART_BACKEND_SERVER_CHART_HPP

#include <medlarstall/chart/chart_binding.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace medlarstall::chart {

/// States of a backend server; see charts/backend_server.scxml.
enum class backend_server_state : std::uint8_t
{
    live,
    leaving, ///< Gets no new work. Never live again: the instance list lags.
    gone
};

/// Events that concern a backend server; see charts/backend_server.scxml.
enum class backend_server_event : std::uint8_t
{
    leave_seen, ///< The server has begun to leave.
    lost,       ///< The server is gone together with its attempts.
    emptied     ///< The last attempt on a leaving server has ended.
};

/// Actions that transitions require of the code that runs the chart; see
/// charts/backend_server.scxml.
enum class backend_server_action : std::uint8_t
{
    stop_new_work,
    end_attempts
};

template<>
inline constexpr std::array chart_names<backend_server_state> =
    std::to_array<std::string_view>({"live", "leaving", "gone"});

template<>
inline constexpr std::array chart_names<backend_server_event> =
    std::to_array<std::string_view>({"leave_seen", "lost", "emptied"});

template<>
inline constexpr std::array chart_names<backend_server_action> =
    std::to_array<std::string_view>({"stop_new_work", "end_attempts"});

/// Life cycle of a backend server as its owner observes it.
using backend_server_chart =
    chart_binding<backend_server_state, backend_server_event,
                  backend_server_action>;

/// Parses the chart that is embedded in the program on the first call.
/// \return the chart, shared by all threads, or the error in its file
[[nodiscard]] result<backend_server_chart> const& shared_backend_server_chart();

} // namespace medlarstall::chart

#endif
