#include <medlarstall/support/hex.hpp>

namespace medlarstall {

int hex_digit_value(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    if (digit >= 'A' && digit <= 'F') {
        return digit - 'A' + 10;
    }
    return -1;
}

void append_hex(std::string& text, std::uint8_t byte)
{
    static constexpr char digits[] = "0123456789abcdef";
    text += digits[byte >> 4U];
    text += digits[byte & 0xFU];
}

std::string to_hex(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size() * 2);
    for (auto const byte : bytes) {
        append_hex(text, static_cast<std::uint8_t>(byte));
    }
    return text;
}

std::optional<std::string> from_hex(std::string_view text)
{
    if (text.size() % 2 != 0) {
        return std::nullopt;
    }
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (std::size_t i = 0; i < text.size(); i += 2) {
        int const high = hex_digit_value(text[i]);
        int const low = hex_digit_value(text[i + 1]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        bytes += static_cast<char>(high << 4 | low);
    }
    return bytes;
}

} // namespace medlarstall
