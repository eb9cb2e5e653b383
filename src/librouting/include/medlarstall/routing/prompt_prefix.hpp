#ifndef MEDLARSTALL_ROUTING_PROMPT_PREFIX_HPP
#define MEDLARSTALL_ROUTING_PROMPT_PREFIX_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace medlarstall::routing {

/// Length in bytes of the shortest prompt prefix that engines report in cache
/// events.
inline constexpr std::size_t min_prefix_bytes = 256;

/// Hash that identifies a prefix of a prompt.
using prefix_hash = std::uint64_t;

/// Hashes the first 256, 512, 1,024 ... bytes of a prompt.
/// \param prompt text of the prompt
/// \return XXH3 hashes from the shortest prefix to the longest that fits;
///     empty if the prompt is shorter than min_prefix_bytes
[[nodiscard]] std::vector<prefix_hash> hash_prefixes(std::string_view prompt);

/// \param depth number of hashes that match, counted from the shortest prefix
/// \return length in bytes of the longest prefix among them; 0 for depth 0
[[nodiscard]] std::size_t prefix_bytes(std::size_t depth);

} // namespace medlarstall::routing

#endif
