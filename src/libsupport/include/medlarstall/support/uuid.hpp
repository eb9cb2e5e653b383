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

/// Wall-clock time in milliseconds, the resolution of a version 7 UUID.
using wall_time = std::chrono::time_point<std::chrono::system_clock,
                                          std::chrono::milliseconds>;

/// A universally unique identifier of 128 bits (RFC 9562).
struct uuid
{
    std::array<std::uint8_t, 16> bytes{};

    auto operator<=>(uuid const&) const = default;
};

/// Parses the canonical text form of 36 characters; hexadecimal digits may be
/// in upper or lower case.
/// \param text identifier as text
/// \return the identifier, or an error that gives the wrong length or the
///     position of the wrong character
[[nodiscard]] result<uuid> parse_uuid(std::string_view text);

/// Formats an identifier in its canonical text form.
/// \param id identifier of any version
/// \return 36 lower-case characters
[[nodiscard]] std::string to_string(uuid const& id);

/// Builds a version 7 identifier.
/// \param time wall-clock time that is stored in the first 48 bits
/// \param random_high 64 random bits, of which 12 are used
/// \param random_low 64 random bits, of which 62 are used
/// \return an identifier with the version and variant bits set
[[nodiscard]] uuid make_uuid_v7(wall_time time, std::uint64_t random_high,
                                std::uint64_t random_low);

/// Makes a time-ordered UUID with drawn random bits.
/// \param time time of day that the UUID contains
/// \param random called twice; returns 64 random bits
/// \return a UUID of version 7; the same for the same draws on any machine
template<class Random>
[[nodiscard]] uuid make_random_uuid_v7(wall_time time, Random&& random)
{
    // As arguments of one call, the draws would be made in either order.
    std::uint64_t const random_low = random();
    std::uint64_t const random_high = random();
    return make_uuid_v7(time, random_high, random_low);
}

/// Returns the version number that an identifier states.
/// \param id identifier of any version
/// \return the version, from 0 to 15
[[nodiscard]] int version_of(uuid const& id);

/// Returns the time at which a version 7 identifier was created.
/// \param id identifier of version 7
/// \return the wall-clock time stored in its first 48 bits
[[nodiscard]] wall_time timestamp_of(uuid const& id);

} // namespace medlarstall

#endif
