#ifndef MEDLARSTALL_SUPPORT_HEX_HPP
#define MEDLARSTALL_SUPPORT_HEX_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace medlarstall {

/// \param digit a character
/// \return its value as a hexadecimal digit in any case, or -1
[[nodiscard]] int hex_digit_value(char digit);

/// Appends two lower-case hexadecimal digits.
/// \param to text to extend
/// \param byte value to write
void append_hex(std::string& to, std::uint8_t byte);

/// \param bytes any bytes
/// \return two lower-case hexadecimal digits for each
[[nodiscard]] std::string to_hex(std::string_view bytes);

/// \param text hexadecimal digits in any case
/// \return the bytes, or nothing if \p text is not pairs of digits
[[nodiscard]] std::optional<std::string> from_hex(std::string_view text);

} // namespace medlarstall

#endif
