#ifndef MEDLARSTALL_MEMBERSHIP_RENDEZVOUS_HPP
#define MEDLARSTALL_MEMBERSHIP_RENDEZVOUS_HPP

#include <medlarstall/support/digest.hpp>

#include <cmath>
#include <cstdint>

namespace medlarstall::membership {

/// Mixes two hashes into one (the finaliser of SplitMix64).
inline std::uint64_t mix_hashes(std::uint64_t left, std::uint64_t right)
{
    auto value = left + 0x9E3779B97F4A7C15ULL * (right | 1U);
    value ^= right;
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31U);
}

/// Weighted rendezvous hashing: the chance to have the greatest score is
/// proportional to the weight.
/// \param left hash of the one that chooses
/// \param right hash of a candidate
/// \param weight weight of the candidate, above 0
/// \return score above 0
inline double rendezvous_score(std::uint64_t left, std::uint64_t right,
                               double weight)
{
    constexpr double scale = 1.0 / 9007199254740993.0; // 2^53 + 1
    auto const bits = mix_hashes(left, right) >> 11U;
    auto const uniform = (static_cast<double>(bits) + 1.0) * scale;
    return -weight / std::log(uniform);
}

} // namespace medlarstall::membership

#endif
