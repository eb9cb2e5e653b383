#ifndef MEDLARSTALL_CLAIM_RECORD_CODEC_HPP
#define MEDLARSTALL_CLAIM_RECORD_CODEC_HPP

#include <medlarstall/claim/record.hpp>
#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

namespace medlarstall::claim {

/// Writes a record in the form that the log and peers carry.
/// \param value a record
/// \return its JSON form; a body that is not UTF-8 is written in hexadecimal
[[nodiscard]] nlohmann::json to_json(record const& value);

/// Reads a record.
/// \param json what was read from the log or a peer
/// \return the record, or an error that names the field at fault
[[nodiscard]] result<record> parse_record(nlohmann::json const& json);

/// Reads a record of a claim stream, where an unreadable one counts as a mark:
/// every daemon skips it alike.
/// \param json what was read from the log
/// \return the record
[[nodiscard]] record record_or_mark(nlohmann::json const& json);

} // namespace medlarstall::claim

#endif
