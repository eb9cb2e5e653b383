#ifndef MEDLARSTALL_CHART_REQUEST_CHART_HPP
#define MEDLARSTALL_CHART_REQUEST_CHART_HPP

#include <medlarstall/chart/chart_binding.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace medlarstall::chart {

/// States of a request; see charts/request.scxml.
enum class request_state : std::uint8_t
{
    received,
    queued,
    dispatched,
    streaming,
    suspended,
    finished,
    refused, ///< Not run; only reached while no attempt has started.
    failed,
    cancelled
};

/// Events that concern a request; see charts/request.scxml.
enum class request_event : std::uint8_t
{
    admitted,
    dispatched,
    first_token, ///< Also after a resume, if preempted before it.
    preempted,
    resumed,
    finished,
    refused,
    failed,
    caller_left, ///< The caller closed its connection.
    bounced      ///< The other end reports that the attempt did not run.
};

/// Actions that transitions require of the code that runs the chart; see
/// charts/request.scxml.
enum class request_action : std::uint8_t
{
    enqueue,
    answer_not_run,
    start_attempt,
    leave_queue,
    suspend_attempt,
    answer_end,
    answer_failure,
    cancel_attempt,
    resume_attempt
};

template<>
inline constexpr std::array chart_names<request_state> =
    std::to_array<std::string_view>({"received", "queued", "dispatched",
                                     "streaming", "suspended", "finished",
                                     "refused", "failed", "cancelled"});

template<>
inline constexpr std::array chart_names<request_event> =
    std::to_array<std::string_view>(
        {"admitted", "dispatched", "first_token", "preempted", "resumed",
         "finished", "refused", "failed", "caller_left", "bounced"});

template<>
inline constexpr std::array chart_names<request_action> =
    std::to_array<std::string_view>(
        {"enqueue", "answer_not_run", "start_attempt", "leave_queue",
         "suspend_attempt", "answer_end", "answer_failure", "cancel_attempt",
         "resume_attempt"});

/// Life cycle of a request at the daemon that answers the caller.
using request_chart =
    chart_binding<request_state, request_event, request_action>;

/// Parses the chart that is embedded in the program on the first call.
/// \return the chart, shared by all threads, or the error in its file
[[nodiscard]] result<request_chart> const& shared_request_chart();

} // namespace medlarstall::chart

#endif
