#ifndef MEDLARSTALL_SUPPORT_DIGEST_HPP
#define MEDLARSTALL_SUPPORT_DIGEST_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace medlarstall {

/// Computes the SHA-256 digest of some bytes.
/// \param data bytes to digest
/// \return 64 lower-case hexadecimal digits
[[nodiscard]] std::string sha256_hex(std::string_view data);

/// Computes a 64-bit non-cryptographic hash (XXH3).
/// \param data bytes to hash
/// \param seed selects one of many independent hash functions
/// \return the hash; equal for equal data and seed on every platform
[[nodiscard]] std::uint64_t hash64(std::string_view data,
                                   std::uint64_t seed = 0);

/// Compares two secrets in a time that depends only on their lengths, so that
/// the time does not reveal how much of a guess is right.
/// \return true if \p left and \p right are equal
[[nodiscard]] bool equal_constant_time(std::string_view left,
                                       std::string_view right);

} // namespace medlarstall

#endif
