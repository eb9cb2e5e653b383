#ifndef MEDLARSTALL_CLAIM_RECORD_CODEC_HPP
#define MEDLARSTALL_CLAIM_RECORD_CODEC_HPP

#include <medlarstall/claim/record.hpp>
#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

namespace medlarstall::claim {

/// Converts a record to the JSON that is stored in the log and sent to peers.
/// \param value record to convert
/// \return an object; a body that is not valid UTF-8 is encoded in hexadecimal
[[nodiscard]] nlohmann::json to_json(record const& value);

/// Parses a record.
/// \param json JSON from the log or from a peer
/// \return the record, or an error that names the field at fault
[[nodiscard]] result<record> parse_record(nlohmann::json const& json);

/// Parses a record of a claim stream. A record that cannot be parsed is treated
/// as a mark, so that every daemon skips it in the same way.
/// \param json JSON from the log
/// \return the record, or a mark if it cannot be parsed
[[nodiscard]] record parse_record_or_mark(nlohmann::json const& json);

} // namespace medlarstall::claim

#endif
