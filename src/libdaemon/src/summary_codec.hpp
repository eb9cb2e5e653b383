#ifndef MEDLARSTALL_DAEMON_SUMMARY_CODEC_HPP
#define MEDLARSTALL_DAEMON_SUMMARY_CODEC_HPP

#include <medlarstall/scheduling/summary.hpp>
#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

namespace medlarstall::daemon {

/// Encodes a load summary as a compact JSON list. Group, data centre and owner
/// are omitted: the receiver knows the first two from its list of backend
/// servers, and the owner is the sender.
/// \param summary load of one backend server
/// \return the list, to be read by parse_summary()
[[nodiscard]] nlohmann::json
to_json(scheduling::backend_server_summary const& summary);

/// Decodes a load summary.
/// \param list what to_json() returned at the owner
/// \return the summary without group, data centre and owner, or an error if
///     the list is malformed
[[nodiscard]] result<scheduling::backend_server_summary>
parse_summary(nlohmann::json const& list);

} // namespace medlarstall::daemon

#endif
