#ifndef MEDLARSTALL_SUPPORT_JSON_TEXT_HPP
#define MEDLARSTALL_SUPPORT_JSON_TEXT_HPP

#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace medlarstall {

/// Bounds on JSON text and CBOR that come from outside.
struct json_bounds
{
    std::size_t depth = 12;         ///< Nested objects and arrays.
    std::size_t bytes = 16U << 20U; ///< Length of the text.
};

/// Parses JSON text strictly: refuses text that is too long or too deep, and
/// objects in which a key stands twice.
/// \param text JSON text
/// \param bounds what is refused
/// \return the value, or an error with its place
[[nodiscard]] result<nlohmann::json> parse_json(std::string_view text,
                                                json_bounds bounds = {});

/// Parses CBOR strictly, with the same refusals. Lengths that the bytes claim
/// are believed only as far as the bytes go.
/// \param bytes encoded value
/// \param bounds what is refused
/// \return the value, or an error with its place
[[nodiscard]] result<nlohmann::json> parse_cbor(std::string_view bytes,
                                                json_bounds bounds = {});

/// \param value JSON value
/// \return its canonical text: sorted keys, no spaces, shortest numbers
[[nodiscard]] std::string canonical_text(nlohmann::json const& value);

} // namespace medlarstall

#endif
