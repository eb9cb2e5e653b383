#ifndef MEDLARSTALL_CATALOGUE_LOG_RECORD_HPP
#define MEDLARSTALL_CATALOGUE_LOG_RECORD_HPP

#include <medlarstall/support/result.hpp>
#include <medlarstall/support/uuid.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace medlarstall::catalogue {

/// A record read from the platform's log. Plain data.
struct log_record
{
    std::uint64_t offset = 0;
    wall_time written_at; ///< Time at which the platform stored it.
    nlohmann::json value; ///< Content of the record, not yet checked.
};

/// A record as daemons relay it to each other. Plain data.
struct relayed_record
{
    std::uint64_t offset = 0;
    wall_time written_at; ///< Time at which the platform stored it.
    std::string digest;   ///< SHA-256 of the record's canonical text, in hex.
    nlohmann::json value; ///< Null if the record is not a change.
};

/// \param record record to send to a peer
/// \return its JSON form, which can also be encoded as CBOR
[[nodiscard]] nlohmann::json to_json(relayed_record const& record);

/// \param object JSON form of a record, as returned by to_json()
/// \return the record, or an error with the JSON path of the invalid value. The
///     digest is not compared with the value.
[[nodiscard]] result<relayed_record>
parse_relayed_record(nlohmann::json const& object);

} // namespace medlarstall::catalogue

#endif
