#ifndef MEDLARSTALL_ROUTING_HEALTH_STATE_HPP
#define MEDLARSTALL_ROUTING_HEALTH_STATE_HPP

namespace medlarstall::routing {

/// What a comparison with its siblings says of a backend server.
enum class health_state
{
    healthy,
    demoted, ///< Slow: used when the others are dearer.
    ejected, ///< Failing: gets nothing.
    probing  ///< Ejected earlier: gets one request at a time.
};

/// \param state a state
/// \return its name for log lines
[[nodiscard]] char const* name_of(health_state state);

} // namespace medlarstall::routing

#endif
