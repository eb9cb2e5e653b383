#ifndef MEDLARSTALL_SUPPORT_DIGEST_HPP
#define MEDLARSTALL_SUPPORT_DIGEST_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace medlarstall {

/// Computes SHA-256.
/// \param data bytes to digest
/// \return 64 lower-case hexadecimal digits
[[nodiscard]] std::string sha256_hex(std::string_view data);

/// Computes a 64-bit non-cryptographic hash (XXH3).
/// \param data bytes to hash
/// \param seed selects one of many independent hash functions
/// \return the hash
[[nodiscard]] std::uint64_t hash64(std::string_view data,
                                   std::uint64_t seed = 0);

/// Compares two texts in time that depends on their lengths only.
/// \return true if they are equal
[[nodiscard]] bool equal_constant_time(std::string_view left,
                                       std::string_view right);

} // namespace medlarstall

#endif
