#ifndef MEDLARSTALL_SUPPORT_JSON_TEXT_HPP
#define MEDLARSTALL_SUPPORT_JSON_TEXT_HPP

#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace medlarstall {

/// Limits on JSON text and CBOR data from untrusted sources.
struct json_limits
{
    std::size_t max_depth = 12; ///< Levels of nested objects and arrays.
    std::size_t max_bytes = 16U << 20U; ///< Length of the encoded input.
};

/// Parses JSON text strictly: rejects input that exceeds the limits, and
/// objects with duplicate keys.
/// \param text JSON text
/// \param limits maximum length and nesting depth
/// \return the value, or an error that tells the reason and, for malformed
///     text, the position of the byte
[[nodiscard]] result<nlohmann::json> parse_json(std::string_view text,
                                                json_limits limits = {});

/// Parses CBOR as strictly as parse_json() parses text. A length field that
/// exceeds the remaining input is rejected without allocating that much memory.
/// \param bytes CBOR encoding of one value
/// \param limits maximum length and nesting depth
/// \return the value, or an error that tells the reason and, for malformed
///     input, the position of the byte
[[nodiscard]] result<nlohmann::json> parse_cbor(std::string_view bytes,
                                                json_limits limits = {});

/// Serializes a value so that equal values always give equal text.
/// \param value JSON value
/// \return JSON text with sorted keys, without whitespace and with the shortest
///     form of each number; invalid UTF-8 is replaced
[[nodiscard]] std::string canonical_json(nlohmann::json const& value);

} // namespace medlarstall

#endif
