#ifndef MEDLARSTALL_DAEMON_ENGINE_BODY_HPP
#define MEDLARSTALL_DAEMON_ENGINE_BODY_HPP

#include <string>

namespace medlarstall::daemon {

/// Makes the body of a request to an engine. The document is copied as it is
/// parsed and never held as values, which take many times its text in memory.
/// \param body JSON object that the caller has sent
/// \param priority tier of the request, 0 is served first
/// \return the object with "stream" true and "priority" set; the body itself if
///     it is not a JSON object
[[nodiscard]] std::string make_engine_body(std::string const& body,
                                           unsigned priority);

} // namespace medlarstall::daemon

#endif
