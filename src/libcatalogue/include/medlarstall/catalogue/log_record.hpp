#ifndef MEDLARSTALL_CATALOGUE_LOG_RECORD_HPP
#define MEDLARSTALL_CATALOGUE_LOG_RECORD_HPP

#include <medlarstall/support/result.hpp>
#include <medlarstall/support/uuid.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace medlarstall::catalogue {

/// A record as it was read from the platform's log. Plain data.
struct log_record
{
    std::uint64_t offset = 0;
    wall_time written; ///< When the platform kept it.
    nlohmann::json value;
};

/// A record as daemons pass it on to each other. Plain data.
struct relayed_record
{
    std::uint64_t offset = 0;
    wall_time written;
    std::string digest;   ///< SHA-256 of the record's canonical text, in hex.
    nlohmann::json value; ///< Null for records that hold no change.
};

/// \param record a record to send
/// \return its JSON form, which also fits CBOR
[[nodiscard]] nlohmann::json to_json(relayed_record const& record);

/// \param object what to_json() gave
/// \return the record, or an error with the path of the value at fault
[[nodiscard]] result<relayed_record>
parse_relayed_record(nlohmann::json const& object);

} // namespace medlarstall::catalogue

#endif
