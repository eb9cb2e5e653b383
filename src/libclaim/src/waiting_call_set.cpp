#include <medlarstall/claim/waiting_call_set.hpp>

#include <algorithm>

namespace medlarstall::claim {

void waiting_call_set::add(waiting_call const& value)
{
    calls_.emplace(value.id, value);
    ids_by_key_[value.key].push_back(value.id);
    ids_by_deadline_.emplace(value.deadline, value.id);
}

std::optional<waiting_call> waiting_call_set::remove(call_id id)
{
    auto const found = calls_.find(id);
    if (found == calls_.end()) {
        return std::nullopt;
    }
    auto const value = found->second;
    calls_.erase(found);
    ids_by_deadline_.erase({value.deadline, id});
    auto const same_key = ids_by_key_.find(value.key);
    std::erase(same_key->second, id);
    if (same_key->second.empty()) {
        ids_by_key_.erase(same_key);
    }
    return value;
}

std::vector<waiting_call> waiting_call_set::with_key(uuid const& key) const
{
    std::vector<waiting_call> found;
    auto const same_key = ids_by_key_.find(key);
    if (same_key == ids_by_key_.end()) {
        return found;
    }
    found.reserve(same_key->second.size());
    for (auto const id : same_key->second) {
        found.push_back(calls_.at(id));
    }
    return found;
}

bool waiting_call_set::contains_key(uuid const& key) const
{
    return ids_by_key_.contains(key);
}

std::vector<waiting_call> waiting_call_set::expired(time_point now) const
{
    std::vector<waiting_call> found;
    for (auto const& [deadline, id] : ids_by_deadline_) {
        if (deadline > now) {
            break;
        }
        found.push_back(calls_.at(id));
    }
    return found;
}

std::vector<uuid> waiting_call_set::keys() const
{
    std::vector<uuid> found;
    found.reserve(ids_by_key_.size());
    for (auto const& [key, ids] : ids_by_key_) {
        found.push_back(key);
    }
    return found;
}

std::optional<time_point> waiting_call_set::next_deadline() const
{
    if (ids_by_deadline_.empty()) {
        return std::nullopt;
    }
    return ids_by_deadline_.begin()->first;
}

} // namespace medlarstall::claim
