#ifndef MEDLARSTALL_MEMBERSHIP_GOSSIP_TABLE_HPP
#define MEDLARSTALL_MEMBERSHIP_GOSSIP_TABLE_HPP

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace medlarstall::membership {

/// Something that spreads over links: it has a key, and a later item of the
/// same key replaces an earlier one.
template<class Item>
concept gossip_item = requires(Item const& item) {
    { item.key() } -> std::convertible_to<std::string const&>;
    { item.newer_than(item) } -> std::convertible_to<bool>;
};

/// The newest item of each key, and which of them each link still has to be
/// told. An item is told once on each link, and not on the one that it came
/// from; a new link is told everything.
template<gossip_item Item>
class gossip_table
{
public:
    /// Sets the links to tell. Those that are kept go on where they were.
    /// \param links ids of the daemons at their other ends
    void set_links(std::vector<std::string> const& links)
    {
        std::map<std::string, std::set<std::string>> kept;
        for (auto const& link : links) {
            auto const found = pending_.find(link);
            kept[link] =
                found != pending_.end() ? std::move(found->second) : all_keys();
        }
        pending_ = std::move(kept);
    }

    /// Starts a link again: the other end is told everything.
    /// \param link id of the daemon at the other end
    void reset_link(std::string const& link)
    {
        auto const found = pending_.find(link);
        if (found != pending_.end()) {
            found->second = all_keys();
        }
    }

    /// Takes an item, unless the table has the same or a newer one.
    /// \param item the item
    /// \param from link that it came from; empty if it was made here
    /// \return true if the table changed
    bool merge(Item item, std::string const& from)
    {
        std::string const key = item.key();
        auto const found = items_.find(key);
        if (found != items_.end() && !item.newer_than(found->second)) {
            return false;
        }
        items_.insert_or_assign(key, std::move(item));
        for (auto& [link, keys] : pending_) {
            if (link == from) {
                keys.erase(key);
            } else {
                keys.insert(key);
            }
        }
        return true;
    }

    /// Takes what a link has still to be told.
    /// \param link id of the daemon at the other end
    /// \param most items to take at most
    /// \return the items, which count as told from now on
    std::vector<Item> take(std::string const& link, std::size_t most)
    {
        std::vector<Item> taken;
        auto const found = pending_.find(link);
        if (found == pending_.end()) {
            return taken;
        }
        auto& keys = found->second;
        while (!keys.empty() && taken.size() < most) {
            auto const first = keys.begin();
            auto const item = items_.find(*first);
            if (item != items_.end()) {
                taken.push_back(item->second);
            }
            keys.erase(first);
        }
        return taken;
    }

    /// \param link id of the daemon at the other end
    /// \return true if the link has something to be told
    [[nodiscard]] bool has_pending(std::string const& link) const
    {
        auto const found = pending_.find(link);
        return found != pending_.end() && !found->second.empty();
    }

    /// Forgets the items for which \p predicate holds.
    template<class Predicate>
    void erase_if(Predicate predicate)
    {
        std::erase_if(items_, [&predicate](auto const& item) {
            return predicate(item.second);
        });
    }

    /// \param key key of an item
    /// \return the item, or null if there is none
    [[nodiscard]] Item const* find(std::string const& key) const
    {
        auto const found = items_.find(key);
        return found == items_.end() ? nullptr : &found->second;
    }

    /// \return the newest item of each key
    [[nodiscard]] std::map<std::string, Item> const& items() const
    {
        return items_;
    }

private:
    [[nodiscard]] std::set<std::string> all_keys() const
    {
        std::set<std::string> keys;
        for (auto const& [key, item] : items_) {
            keys.insert(key);
        }
        return keys;
    }

    std::map<std::string, Item> items_;
    std::map<std::string, std::set<std::string>> pending_; ///< By link.
};

} // namespace medlarstall::membership

#endif
