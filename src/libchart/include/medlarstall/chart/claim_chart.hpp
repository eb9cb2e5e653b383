#ifndef MEDLARSTALL_CHART_CLAIM_CHART_HPP
#define MEDLARSTALL_CHART_CLAIM_CHART_HPP

#include <medlarstall/chart/chart_binding.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace medlarstall::chart {

/// States of a claim attempt; see charts/claim.scxml.
enum class claim_state : std::uint8_t
{
    claiming,  ///< The claim is being written to the log.
    abandoned, ///< No longer needed, but its record may still win.
    offered,   ///< Won; the attempt may be dispatched.
    dispatched,
    releasing, ///< The release is being written to the log.
    finishing, ///< The outcome is being written to the log.
    settled    ///< The log holds the end of the attempt, or never held it.
};

/// Events that concern a claim attempt; see charts/claim.scxml.
enum class claim_event : std::uint8_t
{
    won,
    won_unwanted, ///< Won, but the attempt is no longer needed.
    lost,
    abandoned,
    stream_restarted, ///< The log was reset; unsettled records are resubmitted.
    dropped,          ///< The claim was not appended and never will be.
    dispatched,
    not_dispatched,
    finished,
    withdrawn, ///< The backend server reports that it did not run.
    read_back  ///< The release or outcome was read from the log.
};

/// Actions that transitions require of the code that runs the chart; see
/// charts/claim.scxml.
enum class claim_action : std::uint8_t
{
    offer_dispatch,
    append_release,
    append_outcome
};

template<>
inline constexpr std::array chart_names<claim_state> =
    std::to_array<std::string_view>({"claiming", "abandoned", "offered",
                                     "dispatched", "releasing", "finishing",
                                     "settled"});

template<>
inline constexpr std::array chart_names<claim_event> =
    std::to_array<std::string_view>({"won", "won_unwanted", "lost", "abandoned",
                                     "stream_restarted", "dropped",
                                     "dispatched", "not_dispatched", "finished",
                                     "withdrawn", "read_back"});

template<>
inline constexpr std::array chart_names<claim_action> =
    std::to_array<std::string_view>(
        {"offer_dispatch", "append_release", "append_outcome"});

/// Life cycle of a claim attempt at the daemon that wrote it.
using claim_chart = chart_binding<claim_state, claim_event, claim_action>;

/// Parses the chart that is embedded in the program on the first call.
/// \return the chart, shared by all threads, or the error in its file
[[nodiscard]] result<claim_chart> const& shared_claim_chart();

} // namespace medlarstall::chart

#endif
