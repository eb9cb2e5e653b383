#include <medlarstall/dispatch/prompt_cache_estimate.hpp>

#include <algorithm>

namespace medlarstall::dispatch {

namespace {

/// Bound on the memory that the estimate itself uses.
constexpr std::size_t max_parts = 4096;

} // namespace

void prompt_cache_estimate::add(prompt const& sent, time_point ready,
                                time_point now)
{
    for (auto const& part : sent.parts) {
        auto const [entry, added] =
            parts_.try_emplace(part.id, cached_part{part.tokens, now, ready});
        entry->second.used_at = now;
        tokens_ += added ? part.tokens : 0;
    }
    evict_excess();
}

std::uint32_t prompt_cache_estimate::cached_tokens(prompt const& wanted) const
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

std::uint32_t prompt_cache_estimate::ready_tokens(prompt const& wanted,
                                                  time_point now) const
{
    std::uint32_t tokens = 0;
    for (auto const& part : wanted.parts) {
        auto const found = parts_.find(part.id);
        if (found == parts_.end() || found->second.ready_at > now) {
            break;
        }
        tokens += part.tokens;
    }
    return std::min(tokens, wanted.tokens);
}

std::vector<prompt_part>
prompt_cache_estimate::parts_used_since(time_point since) const
{
    std::vector<prompt_part> found;
    for (auto const& [id, part] : parts_) {
        if (part.used_at > since) {
            found.push_back({id, part.tokens});
        }
    }
    return found;
}

void prompt_cache_estimate::evict_excess()
{
    while (!parts_.empty() && ((capacity_ > 0 && tokens_ > capacity_) ||
                               parts_.size() > max_parts)) {
        auto const least_recent = std::ranges::min_element(
            parts_, {}, [](auto const& item) { return item.second.used_at; });
        tokens_ -= least_recent->second.tokens;
        parts_.erase(least_recent);
    }
}

} // namespace medlarstall::dispatch
