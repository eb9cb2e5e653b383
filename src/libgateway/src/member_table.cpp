#include <medlarstall/gateway/member_table.hpp>

#include <algorithm>
#include <tuple>

namespace medlarstall::gateway {

member_table::member_table(member_timeouts timeouts) : timeouts_{timeouts} {}

void member_table::add(std::string const& address, time_point now)
{
    auto const [entry, added] = members_.try_emplace(address);
    entry->second.last_added_at = now;
    entry->second.address = address;
    revision_ += added ? 1 : 0;
}

void member_table::remove(std::string const& address)
{
    revision_ += members_.erase(address);
}

member_table::member const* member_table::find(std::string const& address) const
{
    auto const found = members_.find(address);
    return found != members_.end() ? &found->second : nullptr;
}

bool member_table::contains(std::string const& address) const
{
    return members_.contains(address);
}

bool member_table::merge(std::string const& address, peer_update const& update,
                         time_point now)
{
    auto const [entry, added] = members_.try_emplace(address);
    auto& known = entry->second;
    known.address = address;
    revision_ += added ? 1 : 0;
    auto const order = [](peer_update const& item) {
        return std::tuple{item.incarnation, item.sequence};
    };
    if (order(update) <= order(known.update)) {
        return false;
    }
    if (update.incarnation > known.update.incarnation) {
        start_heard_at_ = now;
    }
    known.update = update;
    known.last_heard = now;
    return true;
}

bool member_table::heard_recently(member const& item, time_point now) const
{
    return item.last_heard != time_point::min() &&
           now - item.last_heard < timeouts_.live;
}

bool member_table::is_live(std::string const& address, time_point now) const
{
    auto const found = members_.find(address);
    return found != members_.end() && heard_recently(found->second, now);
}

std::vector<member_table::member const*>
member_table::live_members(time_point now) const
{
    std::vector<member const*> found;
    for (auto const& [address, item] : members_) {
        if (heard_recently(item, now)) {
            found.push_back(&item);
        }
    }
    return found;
}

std::vector<std::string> member_table::addresses() const
{
    std::vector<std::string> found;
    found.reserve(members_.size());
    for (auto const& [address, item] : members_) {
        found.push_back(address);
    }
    return found;
}

duration member_table::silence_of(std::string const& address,
                                  time_point now) const
{
    auto const found = members_.find(address);
    if (found == members_.end()) {
        return duration::max();
    }
    return now -
           std::max(found->second.last_heard, found->second.last_added_at);
}

std::vector<std::string> member_table::limit_sharers(time_point now) const
{
    std::vector<std::string> heard;
    for (auto const& [address, item] : members_) {
        if (silence_of(address, now) < timeouts_.budget_share) {
            heard.push_back(address);
        }
    }
    auto const fleet_size = members_.size() + 1;
    auto const hears_most = 2 * (heard.size() + 1) > fleet_size;
    return hears_most ? heard : addresses();
}

std::vector<std::string>
member_table::lost_members(std::vector<std::string> const& peers,
                           time_point now) const
{
    std::vector<std::string> found;
    for (auto const& address : peers) {
        if (members_.contains(address) &&
            silence_of(address, now) >= timeouts_.removal) {
            found.push_back(address);
        }
    }
    return found;
}

std::vector<entry_candidate>
member_table::entry_candidates(time_point now) const
{
    std::vector<entry_candidate> found;
    for (auto const* const item : live_members(now)) {
        if (item->update.ready) {
            found.push_back(
                {item->update.entry_address, item->update.entry_capacity});
        }
    }
    return found;
}

} // namespace medlarstall::gateway
