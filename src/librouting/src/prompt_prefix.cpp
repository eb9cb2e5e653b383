#include <medlarstall/routing/prompt_prefix.hpp>

#include <medlarstall/support/digest.hpp>

namespace medlarstall::routing {

std::vector<prefix_hash> hash_prefixes(std::string_view prompt)
{
    std::vector<prefix_hash> hashes;
    for (auto size = min_prefix_bytes; size <= prompt.size(); size *= 2) {
        hashes.push_back(hash64(prompt.substr(0, size)));
    }
    return hashes;
}

std::size_t prefix_bytes(std::size_t depth)
{
    return depth == 0 ? 0 : min_prefix_bytes << (depth - 1);
}

} // namespace medlarstall::routing
