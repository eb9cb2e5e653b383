#include <medlarstall/emulator/prompt_memory.hpp>

#include <algorithm>

namespace medlarstall::emulator {

bool prompt_memory::make_room(std::uint64_t tokens)
{
    while (kept_ + answers_ + tokens > capacity_) {
        auto oldest = parts_.end();
        for (auto at = parts_.begin(); at != parts_.end(); ++at) {
            if (at->second.users == 0 &&
                (oldest == parts_.end() ||
                 at->second.used < oldest->second.used)) {
                oldest = at;
            }
        }
        if (oldest == parts_.end()) {
            return false;
        }
        kept_ -= oldest->second.tokens;
        parts_.erase(oldest);
    }
    return true;
}

bool prompt_memory::take(parts const& prompt)
{
    for (std::size_t at = 0; at < prompt.size(); ++at) {
        auto const& part = prompt[at];
        auto found = parts_.find(part.id);
        if (found == parts_.end()) {
            if (!make_room(part.tokens)) {
                release({prompt.begin(),
                         prompt.begin() + static_cast<std::ptrdiff_t>(at)});
                return false;
            }
            found = parts_.try_emplace(part.id).first;
            found->second.tokens = part.tokens;
            kept_ += part.tokens;
        }
        ++found->second.users;
        found->second.used = ++uses_;
    }
    return true;
}

void prompt_memory::release(parts const& prompt)
{
    for (auto const& part : prompt) {
        auto const found = parts_.find(part.id);
        if (found == parts_.end()) {
            continue;
        }
        --found->second.users;
        found->second.used = ++uses_;
        if (found->second.users == 0 && !found->second.read) {
            kept_ -= found->second.tokens;
            parts_.erase(found);
        }
    }
}

void prompt_memory::note_read(parts const& prompt)
{
    for (auto const& part : prompt) {
        auto const found = parts_.find(part.id);
        if (found != parts_.end()) {
            found->second.read = true;
        }
    }
}

bool prompt_memory::take_token()
{
    if (!make_room(1)) {
        return false;
    }
    ++answers_;
    return true;
}

std::uint32_t prompt_memory::kept_tokens(parts const& prompt) const
{
    std::uint32_t tokens = 0;
    for (auto const& part : prompt) {
        auto const found = parts_.find(part.id);
        if (found == parts_.end() || !found->second.read) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

void prompt_memory::clear()
{
    parts_.clear();
    kept_ = 0;
    answers_ = 0;
}

} // namespace medlarstall::emulator
