#include <medlarstall/dispatch/listed_servers.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::dispatch {

char const* name_of(list_change change)
{
    switch (change) {
    case list_change::none:
        return "none";
    case list_change::added:
        return "added";
    case list_change::restarted:
        return "restarted";
    case list_change::updated:
        return "updated";
    case list_change::repeated:
        return "repeated";
    case list_change::draining:
        return "draining";
    case list_change::lapsed:
        return "lapsed";
    case list_change::removed:
        return "removed";
    }
    return "unknown";
}

listed_servers::listed_servers(lapse_settings settings) : settings_{settings} {}

bool listed_servers::is_outdated(backend_server_entry const& entry) const
{
    auto const older_than = [&entry](std::int64_t started,
                                     std::uint64_t sequence) {
        if (entry.started_unix_ms != started) {
            return entry.started_unix_ms < started;
        }
        return entry.sequence <= sequence;
    };
    auto const known = servers_.find(entry.id);
    if (known != servers_.end()) {
        auto const& last = known->second.entry;
        auto const same = entry.started_unix_ms == last.started_unix_ms &&
                          entry.sequence == last.sequence;
        return !same && older_than(last.started_unix_ms, last.sequence);
    }
    auto const tombstone_of_id = tombstones_.find(entry.id);
    return tombstone_of_id != tombstones_.end() &&
           older_than(tombstone_of_id->second.started_unix_ms,
                      tombstone_of_id->second.sequence);
}

list_change listed_servers::apply(backend_server_entry const& entry,
                                  time_point now)
{
    if (is_outdated(entry)) {
        return list_change::none;
    }
    auto const [position, added] = servers_.try_emplace(entry.id);
    auto& known = position->second;
    auto before = known.entry;
    known = {entry, now, std::nullopt};
    tombstones_.erase(entry.id);
    if (added) {
        return list_change::added;
    }
    if (before.started_unix_ms != entry.started_unix_ms ||
        before.address != entry.address || before.service != entry.service) {
        return list_change::restarted;
    }
    if (entry.draining && !before.draining) {
        return list_change::draining;
    }
    before.sequence = entry.sequence;
    return before == entry ? list_change::repeated : list_change::updated;
}

bool listed_servers::in_outage(time_point now) const
{
    return !reachable_ || (reachable_since_ != time_point::min() &&
                           now - reachable_since_ < settings_.hold_time);
}

void listed_servers::add_tombstone(backend_server_entry const& entry,
                                   time_point now)
{
    tombstones_[entry.id] = {entry.started_unix_ms, entry.sequence, now};
}

list_change listed_servers::remove(std::string_view id, time_point now)
{
    auto const known = servers_.find(id);
    if (known == servers_.end()) {
        return list_change::none;
    }
    auto& listing = known->second;
    if (in_outage(now) && !listing.entry.draining) {
        if (!listing.expires_at) {
            listing.expires_at =
                (reachable_ ? reachable_since_ : now) + settings_.hold_time;
        }
        return list_change::lapsed;
    }
    add_tombstone(listing.entry, now);
    servers_.erase(known);
    return list_change::removed;
}

void listed_servers::set_reachable(bool reachable, time_point returned_at)
{
    auto const was_reachable = std::exchange(reachable_, reachable);
    auto const since = std::max(returned_at, restored_at_);
    if (reachable && (!was_reachable || since != reachable_since_)) {
        hold_lapsed_since(since);
    }
}

void listed_servers::on_restored(time_point now)
{
    restored_at_ = now;
    hold_lapsed_since(now);
}

void listed_servers::hold_lapsed_since(time_point returned_at)
{
    reachable_since_ = returned_at;
    for (auto& [id, listing] : servers_) {
        if (listing.expires_at) {
            listing.expires_at = returned_at + settings_.hold_time;
        }
    }
}

void listed_servers::expire(
    time_point now, std::function<void(std::string const&)> const& dropped)
{
    std::erase_if(tombstones_, [&](auto const& item) {
        return now - item.second.removed_at > settings_.tombstone_lifetime;
    });
    if (!reachable_) {
        return;
    }
    for (auto server = servers_.begin(); server != servers_.end();) {
        auto const& expires_at = server->second.expires_at;
        if (!expires_at || now < *expires_at) {
            ++server;
            continue;
        }
        add_tombstone(server->second.entry, now);
        dropped(server->first);
        server = servers_.erase(server);
    }
}

} // namespace medlarstall::dispatch
