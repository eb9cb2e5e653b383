#ifndef MEDLARSTALL_DAEMON_WORK_ORDER_HPP
#define MEDLARSTALL_DAEMON_WORK_ORDER_HPP

#include <medlarstall/catalogue/entries.hpp>
#include <medlarstall/scheduling/request.hpp>
#include <medlarstall/support/result.hpp>
#include <medlarstall/support/time.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace medlarstall::daemon {

/// A request to run one attempt, which an entry daemon sends to the owner of a
/// backend server. Plain data.
struct work_order
{
    std::string attempt_id; ///< UUID; unique to this order.
    catalogue::group_kind group_kind = catalogue::group_kind::engine;
    scheduling::request request; ///< The owner sets the id.
    std::string method = "POST";
    std::string target; ///< Path and query at the backend server.
    std::vector<std::pair<std::string, std::string>> fields; ///< Header.
    std::string body;
    std::uint64_t fingerprint = 0; ///< Hash of organisation and body.
};

/// Converts an order to JSON. Points in time become durations relative to
/// \p now, since daemons do not share a clock.
/// \param order the order to send
/// \param now current time of this daemon
/// \return the JSON object that daemons exchange
[[nodiscard]] nlohmann::json to_json(work_order const& order, time_point now);

/// Converts an order from JSON.
/// \param object JSON object as to_json() makes it
/// \param now current time of this daemon
/// \return the order, or an error that names what is missing or invalid
[[nodiscard]] result<work_order> parse_work_order(nlohmann::json const& object,
                                                  time_point now);

} // namespace medlarstall::daemon

#endif
