#include <medlarstall/claim/call_book.hpp>

#include <algorithm>

namespace medlarstall::claim {

void call_book::add(waiting_call const& value)
{
    calls_.emplace(value.id, value);
    by_key_[value.key].push_back(value.id);
    by_deadline_.emplace(value.deadline, value.id);
}

std::optional<waiting_call> call_book::remove(call_id id)
{
    auto const found = calls_.find(id);
    if (found == calls_.end()) {
        return std::nullopt;
    }
    auto const value = found->second;
    calls_.erase(found);
    by_deadline_.erase({value.deadline, id});
    auto const same_key = by_key_.find(value.key);
    std::erase(same_key->second, id);
    if (same_key->second.empty()) {
        by_key_.erase(same_key);
    }
    return value;
}

std::vector<waiting_call> call_book::of(uuid const& key) const
{
    std::vector<waiting_call> found;
    auto const same_key = by_key_.find(key);
    if (same_key == by_key_.end()) {
        return found;
    }
    found.reserve(same_key->second.size());
    for (auto const id : same_key->second) {
        found.push_back(calls_.at(id));
    }
    return found;
}

bool call_book::waits_for(uuid const& key) const
{
    return by_key_.contains(key);
}

std::vector<waiting_call> call_book::expired(time_point now) const
{
    std::vector<waiting_call> found;
    for (auto const& [deadline, id] : by_deadline_) {
        if (deadline > now) {
            break;
        }
        found.push_back(calls_.at(id));
    }
    return found;
}

std::vector<uuid> call_book::keys() const
{
    std::vector<uuid> found;
    found.reserve(by_key_.size());
    for (auto const& [key, ids] : by_key_) {
        found.push_back(key);
    }
    return found;
}

std::optional<time_point> call_book::next_deadline() const
{
    if (by_deadline_.empty()) {
        return std::nullopt;
    }
    return by_deadline_.begin()->first;
}

} // namespace medlarstall::claim
