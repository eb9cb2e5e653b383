#include <medlarstall/dispatch/listed_servers.hpp>

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

bool listed_servers::is_older(backend_server_entry const& entry) const
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
    auto const buried = removed_.find(entry.id);
    return buried != removed_.end() &&
           older_than(buried->second.started_unix_ms, buried->second.sequence);
}

list_change listed_servers::apply(backend_server_entry const& entry,
                                  time_point now)
{
    if (is_older(entry)) {
        return list_change::none;
    }
    auto const [place, added] = servers_.try_emplace(entry.id);
    auto& known = place->second;
    auto before = known.entry;
    known = {entry, now, std::nullopt};
    removed_.erase(entry.id);
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
    return !reachable_ ||
           (returned_ != time_point::min() && now - returned_ < settings_.hold);
}

void listed_servers::bury(backend_server_entry const& entry, time_point now)
{
    removed_[entry.id] = {entry.started_unix_ms, entry.sequence, now};
}

list_change listed_servers::remove(std::string_view id, time_point now)
{
    auto const known = servers_.find(id);
    if (known == servers_.end()) {
        return list_change::none;
    }
    auto& belief = known->second;
    if (in_outage(now) && !belief.entry.draining) {
        if (!belief.lapses) {
            belief.lapses = (reachable_ ? returned_ : now) + settings_.hold;
        }
        return list_change::lapsed;
    }
    bury(belief.entry, now);
    servers_.erase(known);
    return list_change::removed;
}

void listed_servers::set_reachable(bool reachable, time_point now)
{
    if (reachable && !reachable_) {
        note_return(now);
    }
    reachable_ = reachable;
}

void listed_servers::note_return(time_point now)
{
    returned_ = now;
    for (auto& [id, belief] : servers_) {
        if (belief.lapses) {
            belief.lapses = now + settings_.hold;
        }
    }
}

void listed_servers::expire(
    time_point now, std::function<void(std::string const&)> const& dropped)
{
    std::erase_if(removed_, [&](auto const& item) {
        return now - item.second.removed > settings_.tombstone;
    });
    if (!reachable_) {
        return;
    }
    for (auto at = servers_.begin(); at != servers_.end();) {
        auto const& lapses = at->second.lapses;
        if (!lapses || now < *lapses) {
            ++at;
            continue;
        }
        bury(at->second.entry, now);
        dropped(at->first);
        at = servers_.erase(at);
    }
}

} // namespace medlarstall::dispatch
