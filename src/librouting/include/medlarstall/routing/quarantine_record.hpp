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

/// Names a request by its body and organisation, however often it is sent.
using request_fingerprint = std::uint64_t;

/// Names one crash of a backend server.
using crash_id = std::uint64_t;

/// A backend server crashed while it ran some requests. Plain data.
struct crash_report
{
    crash_id crash = 0;
    std::string backend_server;
    std::vector<request_fingerprint> running;   ///< Without duplicates.
    std::vector<request_fingerprint> suspected; ///< Those of them that were
                                                ///< suspects when they began.
    std::chrono::milliseconds age{0};           ///< When it was written.
};

/// A request that ran during some crashes has since ended well. Plain data.
struct clearance
{
    request_fingerprint fingerprint = 0;
    std::vector<crash_id> crashes;
    std::chrono::milliseconds age{0}; ///< Of the oldest crash.
};

/// What daemons tell each other, by message or by log. Records may come
/// twice, late and in any order.
using quarantine_record = std::variant<crash_report, clearance>;

/// \param organisation organisation of the caller
/// \param body body of the request
/// \return the fingerprint, the same at every daemon
[[nodiscard]] request_fingerprint fingerprint_of(std::string_view organisation,
                                                 std::string_view body);

/// \param record a record
/// \return its JSON form; 64-bit numbers are written as unsigned integers
[[nodiscard]] nlohmann::json to_json(quarantine_record const& record);

/// \param json JSON form of a record
/// \return the record, or an error that names the field at fault
[[nodiscard]] result<quarantine_record>
parse_quarantine_record(nlohmann::json const& json);

} // namespace medlarstall::routing

#endif
