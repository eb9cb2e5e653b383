#include <medlarstall/dispatch/part_cache.hpp>

#include <algorithm>

namespace medlarstall::dispatch {

namespace {

/// Bound on the memory of the estimate itself.
constexpr std::size_t most_parts = 4096;

} // namespace

void part_cache::note(prompt const& sent, time_point ready, time_point now)
{
    for (auto const& part : sent.parts) {
        auto const [place, added] =
            parts_.try_emplace(part.id, kept_part{part.tokens, now, ready});
        place->second.used = now;
        tokens_ += added ? part.tokens : 0;
    }
    make_room();
}

std::uint32_t part_cache::cached_tokens(prompt const& wanted) const
{
    std::uint32_t tokens = 0;
    for (auto const& part : wanted.parts) {
        if (!parts_.contains(part.id)) {
            break;
        }
        tokens += part.tokens;
    }
    return std::min(tokens, wanted.tokens);
}

std::uint32_t part_cache::ready_tokens(prompt const& wanted,
                                       time_point now) const
{
    std::uint32_t tokens = 0;
    for (auto const& part : wanted.parts) {
        auto const found = parts_.find(part.id);
        if (found == parts_.end() || found->second.ready > now) {
            break;
        }
        tokens += part.tokens;
    }
    return std::min(tokens, wanted.tokens);
}

std::vector<prompt_part> part_cache::used_since(time_point since) const
{
    std::vector<prompt_part> found;
    for (auto const& [id, part] : parts_) {
        if (part.used > since) {
            found.push_back({id, part.tokens});
        }
    }
    return found;
}

void part_cache::make_room()
{
    while (!parts_.empty() && ((capacity_ > 0 && tokens_ > capacity_) ||
                               parts_.size() > most_parts)) {
        auto const oldest = std::ranges::min_element(
            parts_, {}, [](auto const& item) { return item.second.used; });
        tokens_ -= oldest->second.tokens;
        parts_.erase(oldest);
    }
}

} // namespace medlarstall::dispatch
