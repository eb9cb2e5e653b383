#ifndef MEDLARSTALL_DAEMON_SUMMARY_CODEC_HPP
#define MEDLARSTALL_DAEMON_SUMMARY_CODEC_HPP

#include <medlarstall/scheduling/summary.hpp>
#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

namespace medlarstall::daemon {

/// Writes a summary as a short list. Group, data centre and owner are left
/// out: the receiver knows them from its lists and from the sender.
/// \param summary a summary
/// \return its JSON form
[[nodiscard]] nlohmann::json
to_json(scheduling::backend_server_summary const& summary);

/// \param list what to_json() gave at the owner
/// \return the summary without group, data centre and owner, or an error
[[nodiscard]] result<scheduling::backend_server_summary>
parse_summary(nlohmann::json const& list);

} // namespace medlarstall::daemon

#endif
