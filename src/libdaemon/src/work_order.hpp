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

/// What an entry daemon asks the owner of a backend server to run. Plain
/// data.
struct work_order
{
    std::string attempt; ///< UUID; unique to this order.
    catalogue::group_kind kind = catalogue::group_kind::engine;
    scheduling::request request; ///< Its id is the owner's to set.
    std::string method = "POST";
    std::string target; ///< Path and query at the backend server.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    std::uint64_t fingerprint = 0; ///< Of organisation and body.
};

/// Writes an order; times become spans from \p now on.
/// \param order order
/// \param now current time of this daemon
/// \return its JSON form
[[nodiscard]] nlohmann::json to_json(work_order const& order, time_point now);

/// Reads an order.
/// \param object JSON form
/// \param now current time of this daemon
/// \return the order, or the field that is missing or wrong
[[nodiscard]] result<work_order> parse_work_order(nlohmann::json const& object,
                                                  time_point now);

} // namespace medlarstall::daemon

#endif
