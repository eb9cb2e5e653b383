#ifndef MEDLARSTALL_ROUTING_PROMPT_PREFIX_HPP
#define MEDLARSTALL_ROUTING_PROMPT_PREFIX_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace medlarstall::routing {

/// Shortest prefix of a prompt that engines name in cache events, in bytes.
inline constexpr std::size_t shortest_prefix = 256;

/// Hash that names a prefix of a prompt.
using prefix_hash = std::uint64_t;

/// Hashes the first 256, 512, 1,024 ... bytes of a prompt.
/// \param prompt text of the prompt
/// \return XXH3 hashes from the shortest prefix to the longest that fits;
///     empty for a prompt under shortest_prefix
[[nodiscard]] std::vector<prefix_hash> hash_prefixes(std::string_view prompt);

/// \param depth number of hashes that match, from the shortest on
/// \return bytes that the longest of them covers; 0 for depth 0
[[nodiscard]] std::size_t prefix_bytes(std::size_t depth);

} // namespace medlarstall::routing

#endif
