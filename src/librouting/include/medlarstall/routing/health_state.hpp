#ifndef MEDLARSTALL_ROUTING_HEALTH_STATE_HPP
#define MEDLARSTALL_ROUTING_HEALTH_STATE_HPP

namespace medlarstall::routing {

/// Health of a backend server compared with its siblings, which are the other
/// backend servers of its group.
enum class health_state
{
    healthy,
    demoted, ///< Slow: gets requests only when the others cost more.
    ejected, ///< Failing: gets no requests.
    probing  ///< Was ejected: gets one request at a time as a probe.
};

/// \param state health of a backend server
/// \return its name as written to log entries and API responses
[[nodiscard]] char const* name_of(health_state state);

} // namespace medlarstall::routing

#endif
