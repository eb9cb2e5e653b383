#include "fault_kind.hpp"

namespace medlarstall::faults {

std::string_view name_of(fault_kind kind)
{
    static constexpr std::array<std::string_view, all_fault_kinds.size()> names{
        "daemon_dropped",    "daemon_paused",    "append_reply_lost",
        "append_late",       "log_outage",       "log_slow",
        "records_expired",   "engine_killed",    "service_killed",
        "service_broken",    "frames_disturbed", "engine_slow",
        "connections_silent"};
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace medlarstall::faults
