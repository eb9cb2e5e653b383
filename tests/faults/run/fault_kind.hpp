#ifndef MEDLARSTALL_TESTS_FAULTS_FAULT_KIND_HPP
#define MEDLARSTALL_TESTS_FAULTS_FAULT_KIND_HPP

#include <array>
#include <string_view>

namespace medlarstall::faults {

/// Faults that a run injects.
enum class fault_kind
{
    daemon_dropped,
    daemon_paused,
    append_reply_lost,
    append_late,
    log_outage,
    log_slow,
    records_expired,
    engine_killed,
    service_killed,
    service_broken,   ///< Dies before or after the run, refuses, cuts, stalls.
    frames_disturbed, ///< Late, crossed, repeated and lost frames.
    engine_slow,
    connections_silent
};

/// Every kind, in the order of their declaration.
inline constexpr std::array all_fault_kinds{
    fault_kind::daemon_dropped,    fault_kind::daemon_paused,
    fault_kind::append_reply_lost, fault_kind::append_late,
    fault_kind::log_outage,        fault_kind::log_slow,
    fault_kind::records_expired,   fault_kind::engine_killed,
    fault_kind::service_killed,    fault_kind::service_broken,
    fault_kind::frames_disturbed,  fault_kind::engine_slow,
    fault_kind::connections_silent};

/// \param kind a kind of fault
/// \return its name
[[nodiscard]] std::string_view name_of(fault_kind kind);

} // namespace medlarstall::faults

#endif
