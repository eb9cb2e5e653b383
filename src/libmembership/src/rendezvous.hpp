#ifndef MEDLARSTALL_MEMBERSHIP_RENDEZVOUS_HPP
#define MEDLARSTALL_MEMBERSHIP_RENDEZVOUS_HPP

#include <medlarstall/support/digest.hpp>

#include <cmath>
#include <cstdint>

namespace medlarstall::membership {

/// Combines two hashes into one with the finaliser of SplitMix64.
inline std::uint64_t mix_hashes(std::uint64_t left, std::uint64_t right)
{
    auto value = left + 0x9E3779B97F4A7C15ULL * (right | 1U);
    value ^= right;
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31U);
}

/// Computes a score for weighted rendezvous hashing: the probability that a
/// candidate has the greatest score is proportional to its weight.
/// \param chooser hash of the object that chooses a candidate
/// \param candidate hash of the candidate
/// \param weight weight of the candidate, greater than 0
/// \return the score, greater than 0
inline double rendezvous_score(std::uint64_t chooser, std::uint64_t candidate,
                               double weight)
{
    constexpr double scale = 1.0 / 9007199254740993.0; // 2^53 + 1
    auto const bits = mix_hashes(chooser, candidate) >> 11U;
    auto const uniform = (static_cast<double>(bits) + 1.0) * scale;
    return -weight / std::log(uniform);
}

} // namespace medlarstall::membership

#endif
