#include <medlarstall/support/uuid.hpp>

#include <medlarstall/support/hex.hpp>

namespace medlarstall {

namespace {

constexpr std::size_t text_length = 36;

bool is_dash_position(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

} // namespace

result<uuid> parse_uuid(std::string_view text)
{
    if (text.size() != text_length) {
        return error{"uuid", "has " + std::to_string(text.size()) +
                                 " characters; must have 36"};
    }
    uuid id;
    std::size_t nibble_index = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (is_dash_position(i)) {
            if (text[i] != '-') {
                return error{"uuid",
                             "must have '-' at position " + std::to_string(i)};
            }
            continue;
        }
        int const value = hex_digit_value(text[i]);
        if (value < 0) {
            return error{"uuid", "must have a hexadecimal digit at position " +
                                     std::to_string(i)};
        }
        auto& byte = id.bytes[nibble_index / 2];
        byte = static_cast<std::uint8_t>((byte << 4U) | unsigned(value));
        ++nibble_index;
    }
    return id;
}

std::string to_string(uuid const& id)
{
    std::string text;
    text.reserve(text_length);
    for (auto const byte : id.bytes) {
        if (is_dash_position(text.size())) {
            text += '-';
        }
        append_hex(text, byte);
    }
    return text;
}

uuid make_uuid_v7(wall_time time, std::uint64_t random_high,
                  std::uint64_t random_low)
{
    uuid id;
    auto const ms = static_cast<std::uint64_t>(time.time_since_epoch().count());
    for (std::size_t i = 0; i < 6; ++i) {
        id.bytes[i] = static_cast<std::uint8_t>(ms >> (40 - 8 * i));
    }
    for (std::size_t i = 6; i < 8; ++i) {
        id.bytes[i] = static_cast<std::uint8_t>(random_high >> (8 * (i - 6)));
    }
    for (std::size_t i = 8; i < 16; ++i) {
        id.bytes[i] = static_cast<std::uint8_t>(random_low >> (8 * (i - 8)));
    }
    id.bytes[6] = static_cast<std::uint8_t>(0x70U | (id.bytes[6] & 0x0FU));
    id.bytes[8] = static_cast<std::uint8_t>(0x80U | (id.bytes[8] & 0x3FU));
    return id;
}

int version_of(uuid const& id)
{
    return id.bytes[6] >> 4U;
}

wall_time timestamp_of(uuid const& id)
{
    std::uint64_t ms = 0;
    for (std::size_t i = 0; i < 6; ++i) {
        ms = (ms << 8U) | id.bytes[i];
    }
    return wall_time{std::chrono::milliseconds{ms}};
}

} // namespace medlarstall
