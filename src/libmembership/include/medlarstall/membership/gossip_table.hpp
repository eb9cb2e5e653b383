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

/// An item that gossip_table can spread: it has a key, and a newer item
/// replaces an older one with the same key.
template<class Item>
concept gossip_item = requires(Item const& item) {
    { item.key() } -> std::convertible_to<std::string const&>;
    { item.newer_than(item) } -> std::convertible_to<bool>;
};

/// Holds the newest item of each key and tracks which items are still to be
/// sent on each link. An item is sent once on each link, except on the one it
/// was received from. A new link gets all items.
template<gossip_item Item>
class gossip_table
{
public:
    /// Sets the links on which items are sent. Links that existed before keep
    /// their pending items, and new links get all items.
    /// \param links ids of the daemons at the other ends
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

    /// Marks all items as pending on a link, for example after the other end
    /// restarted. Does nothing for an unknown link.
    /// \param link id of the daemon at the other end
    void reset_link(std::string const& link)
    {
        auto const found = pending_.find(link);
        if (found != pending_.end()) {
            found->second = all_keys();
        }
    }

    /// Stores an item unless the table holds the same or a newer one, and
    /// marks it as pending on all other links.
    /// \param item the item
    /// \param from link the item was received from; empty for a local item
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

    /// Removes pending items from a link in order to send them.
    /// \param link id of the daemon at the other end
    /// \param max_items upper limit for the number of items
    /// \return the items; the table counts them as sent
    std::vector<Item> take_pending(std::string const& link,
                                   std::size_t max_items)
    {
        std::vector<Item> taken;
        auto const found = pending_.find(link);
        if (found == pending_.end()) {
            return taken;
        }
        auto& keys = found->second;
        while (!keys.empty() && taken.size() < max_items) {
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
    /// \return true if items are still to be sent on the link
    [[nodiscard]] bool has_pending(std::string const& link) const
    {
        auto const found = pending_.find(link);
        return found != pending_.end() && !found->second.empty();
    }

    /// Removes the items for which \p predicate returns true.
    template<class Predicate>
    void erase_if(Predicate predicate)
    {
        std::erase_if(items_, [&predicate](auto const& item) {
            return predicate(item.second);
        });
    }

    /// \param key key of an item
    /// \return the newest item with this key, or null if there is none
    [[nodiscard]] Item const* find(std::string const& key) const
    {
        auto const found = items_.find(key);
        return found == items_.end() ? nullptr : &found->second;
    }

    /// \return the newest item of each key, by key
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
    std::map<std::string, std::set<std::string>> pending_; ///< Keys, by link.
};

} // namespace medlarstall::membership

#endif
