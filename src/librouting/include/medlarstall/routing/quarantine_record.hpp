#ifndef MEDLARSTALL_ROUTING_QUARANTINE_RECORD_HPP
#define MEDLARSTALL_ROUTING_QUARANTINE_RECORD_HPP

#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace medlarstall::routing {

/// Identifies a request by its body and organisation, so that all repetitions
/// of a request have the same fingerprint.
using request_fingerprint = std::uint64_t;

/// Identifies one crash of a backend server.
using crash_id = std::uint64_t;

/// A backend server crashed while it ran some requests. Plain data.
struct crash_report
{
    crash_id id = 0;
    std::string backend_server;
    std::vector<request_fingerprint> running; ///< Without duplicates.
    /// Those of the running requests that were suspects when they began.
    std::vector<request_fingerprint> suspected;
    std::chrono::milliseconds age{0}; ///< When the record was written.
};

/// A request that ran during some crashes has since completed successfully.
/// Plain data.
struct clearance
{
    request_fingerprint fingerprint = 0;
    std::vector<crash_id> crash_ids;
    std::chrono::milliseconds age{0}; ///< Of the oldest crash.
};

/// Record that daemons exchange in messages or through the log. Records may
/// arrive repeatedly, late and in any order.
using quarantine_record = std::variant<crash_report, clearance>;

/// \param organisation organisation of the caller
/// \param body body of the request
/// \return the fingerprint, which is the same at every daemon
[[nodiscard]] request_fingerprint fingerprint_of(std::string_view organisation,
                                                 std::string_view body);

/// \param record crash report or clearance
/// \return its JSON form; 64-bit numbers are written as unsigned integers
[[nodiscard]] nlohmann::json to_json(quarantine_record const& record);

/// \param json JSON form of a record
/// \return the record, or an error that names the first invalid field
[[nodiscard]] result<quarantine_record>
parse_quarantine_record(nlohmann::json const& json);

} // namespace medlarstall::routing

#endif
