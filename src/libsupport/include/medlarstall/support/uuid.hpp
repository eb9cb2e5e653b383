#ifndef MEDLARSTALL_SUPPORT_UUID_HPP
#define MEDLARSTALL_SUPPORT_UUID_HPP

#include <medlarstall/support/result.hpp>

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace medlarstall {

/// Wall-clock time with the resolution of a version 7 UUID.
using wall_time = std::chrono::time_point<std::chrono::system_clock,
                                          std::chrono::milliseconds>;

/// A 128-bit identifier (RFC 9562).
struct uuid
{
    std::array<std::uint8_t, 16> bytes{};

    auto operator<=>(uuid const&) const = default;
};

/// Reads the canonical form of 36 characters.
/// \param text identifier as text
/// \return the identifier, or an error that names what is wrong
[[nodiscard]] result<uuid> parse_uuid(std::string_view text);

/// \param id identifier
/// \return its canonical form of 36 lower-case characters
[[nodiscard]] std::string to_string(uuid const& id);

/// Makes a version 7 identifier.
/// \param time wall-clock time kept in the first 48 bits
/// \param random_high 64 random bits
/// \param random_low 64 random bits
/// \return the identifier
[[nodiscard]] uuid make_uuid_v7(wall_time time, std::uint64_t random_high,
                                std::uint64_t random_low);

/// \param id identifier
/// \return the version, from 0 to 15
[[nodiscard]] int version_of(uuid const& id);

/// \param id a version 7 identifier
/// \return the wall-clock time kept in it
[[nodiscard]] wall_time time_of(uuid const& id);

} // namespace medlarstall

#endif
