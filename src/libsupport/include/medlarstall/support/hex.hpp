#ifndef MEDLARSTALL_SUPPORT_HEX_HPP
#define MEDLARSTALL_SUPPORT_HEX_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace medlarstall {

/// Converts a hexadecimal digit in upper or lower case to its value.
/// \param digit character to convert
/// \return the value from 0 to 15, or -1 if \p digit is not a hexadecimal digit
[[nodiscard]] int hex_digit_value(char digit);

/// Appends a byte as two lower-case hexadecimal digits.
/// \param text text that is extended
/// \param byte value to append
void append_hex(std::string& text, std::uint8_t byte);

/// Encodes bytes as hexadecimal text.
/// \param bytes bytes to encode; any value is allowed
/// \return two lower-case hexadecimal digits for each byte
[[nodiscard]] std::string to_hex(std::string_view bytes);

/// Decodes hexadecimal text.
/// \param text hexadecimal digits in upper or lower case
/// \return the bytes, or std::nullopt if \p text has an odd length or contains
///     a character that is not a hexadecimal digit
[[nodiscard]] std::optional<std::string> from_hex(std::string_view text);

} // namespace medlarstall

#endif
