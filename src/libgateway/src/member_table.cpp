#include <medlarstall/gateway/member_table.hpp>

#include <algorithm>
#include <tuple>

namespace medlarstall::gateway {

member_table::member_table(member_settings settings) : settings_{settings} {}

void member_table::add(std::string const& address, time_point now)
{
    auto const [place, added] = members_.try_emplace(address);
    place->second.listed = now;
    place->second.address = address;
    change_ += added ? 1 : 0;
}

void member_table::remove(std::string const& address)
{
    change_ += members_.erase(address);
}

bool member_table::knows(std::string const& address) const
{
    return members_.contains(address);
}

bool member_table::merge(std::string const& address, peer_news const& news,
                         time_point now)
{
    auto const [place, added] = members_.try_emplace(address);
    auto& known = place->second;
    known.address = address;
    change_ += added ? 1 : 0;
    auto const order = [](peer_news const& item) {
        return std::tuple{item.incarnation, item.sequence};
    };
    if (order(news) <= order(known.news)) {
        return false;
    }
    known.news = news;
    known.heard = now;
    return true;
}

bool member_table::is_live(member const& item, time_point now) const
{
    return item.heard != time_point::min() && now - item.heard < settings_.live;
}

bool member_table::hears(std::string const& address, time_point now) const
{
    auto const found = members_.find(address);
    return found != members_.end() && is_live(found->second, now);
}

std::vector<member_table::member const*>
member_table::live(time_point now) const
{
    std::vector<member const*> found;
    for (auto const& [address, item] : members_) {
        if (is_live(item, now)) {
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
    return now - std::max(found->second.heard, found->second.listed);
}

std::size_t member_table::sharing(std::vector<std::string> const& among,
                                  time_point now) const
{
    auto const counts = [&](std::string const& address) {
        return silence_of(address, now) < settings_.counted;
    };
    return 1 + static_cast<std::size_t>(std::ranges::count_if(among, counts));
}

std::vector<std::string>
member_table::lost(std::vector<std::string> const& among, time_point now) const
{
    std::vector<std::string> found;
    for (auto const& address : among) {
        if (members_.contains(address) &&
            silence_of(address, now) >= settings_.lost) {
            found.push_back(address);
        }
    }
    return found;
}

std::vector<std::string> member_table::entries(std::string const& own,
                                               std::size_t most,
                                               time_point now) const
{
    std::vector<std::string> found;
    if (!own.empty()) {
        found.push_back(own);
    }
    for (auto const* const item : live(now)) {
        if (item->news.ready && found.size() < most) {
            found.push_back(item->news.entry_address);
        }
    }
    return found;
}

} // namespace medlarstall::gateway
