#include <medlarstall/emulator/kv_cache.hpp>

#include <algorithm>

namespace medlarstall::emulator {

bool kv_cache::evict_until_fits(std::uint64_t tokens)
{
    while (prompt_tokens_ + answer_tokens_ + tokens > capacity_) {
        auto oldest = parts_.end();
        for (auto part = parts_.begin(); part != parts_.end(); ++part) {
            if (part->second.active_requests == 0 &&
                (oldest == parts_.end() ||
                 part->second.last_use < oldest->second.last_use)) {
                oldest = part;
            }
        }
        if (oldest == parts_.end()) {
            return false;
        }
        prompt_tokens_ -= oldest->second.tokens;
        parts_.erase(oldest);
    }
    return true;
}

bool kv_cache::try_acquire(prompt_parts const& prompt)
{
    for (std::size_t at = 0; at < prompt.size(); ++at) {
        auto const& part = prompt[at];
        auto found = parts_.find(part.id);
        if (found == parts_.end()) {
            if (!evict_until_fits(part.tokens)) {
                release({prompt.begin(),
                         prompt.begin() + static_cast<std::ptrdiff_t>(at)});
                return false;
            }
            found = parts_.try_emplace(part.id).first;
            found->second.tokens = part.tokens;
            prompt_tokens_ += part.tokens;
        }
        ++found->second.active_requests;
        found->second.last_use = ++use_count_;
    }
    return true;
}

void kv_cache::release(prompt_parts const& prompt)
{
    for (auto const& part : prompt) {
        auto const found = parts_.find(part.id);
        if (found == parts_.end()) {
            continue;
        }
        --found->second.active_requests;
        found->second.last_use = ++use_count_;
        if (found->second.active_requests == 0 && !found->second.computed) {
            prompt_tokens_ -= found->second.tokens;
            parts_.erase(found);
        }
    }
}

void kv_cache::mark_computed(prompt_parts const& prompt)
{
    for (auto const& part : prompt) {
        auto const found = parts_.find(part.id);
        if (found != parts_.end()) {
            found->second.computed = true;
        }
    }
}

bool kv_cache::try_reserve_token()
{
    if (!evict_until_fits(1)) {
        return false;
    }
    ++answer_tokens_;
    return true;
}

std::uint32_t kv_cache::cached_prefix_tokens(prompt_parts const& prompt) const
{
    std::uint32_t tokens = 0;
    for (auto const& part : prompt) {
        auto const found = parts_.find(part.id);
        if (found == parts_.end() || !found->second.computed) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

void kv_cache::clear()
{
    parts_.clear();
    prompt_tokens_ = 0;
    answer_tokens_ = 0;
}

} // namespace medlarstall::emulator
