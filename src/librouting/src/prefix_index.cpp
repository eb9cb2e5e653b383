#include <medlarstall/routing/prefix_index.hpp>

#include <algorithm>
#include <bit>

namespace medlarstall::routing {

prefix_index::prefix_index(prefix_index_settings settings)
    : settings_{settings},
      buckets_(std::bit_ceil(std::max(settings.capacity, ways) / ways))
{}

prefix_index::bucket& prefix_index::bucket_for(prefix_hash hash)
{
    return buckets_[hash & (buckets_.size() - 1)];
}

prefix_index::bucket const& prefix_index::bucket_for(prefix_hash hash) const
{
    return buckets_[hash & (buckets_.size() - 1)];
}

void prefix_index::store(server_number server,
                         std::span<prefix_hash const> prefixes, time_point now)
{
    for (auto const prefix : prefixes) {
        store_one(server, prefix, now);
    }
}

void prefix_index::store_one(server_number server, prefix_hash prefix,
                             time_point now)
{
    auto& entries = bucket_for(prefix);
    auto const matches = [&](entry const& e) {
        return e.used && e.hash == prefix && e.server == server;
    };
    auto position = std::ranges::find_if(entries, matches);
    if (position == entries.end()) {
        position = std::ranges::min_element(entries, {}, [](entry const& e) {
            return e.used ? e.stored_at : time_point::min();
        });
    }
    *position = entry{prefix, server, true, now};
}

void prefix_index::remove(server_number server, prefix_hash prefix)
{
    for (auto& e : bucket_for(prefix)) {
        if (e.used && e.hash == prefix && e.server == server) {
            e = entry{};
        }
    }
}

void prefix_index::mark_gap(server_number server, time_point now)
{
    if (last_gaps_.size() <= server) {
        last_gaps_.resize(server + 1, time_point::min());
    }
    last_gaps_[server] = now;
}

void prefix_index::remove_server(server_number server)
{
    for (auto& entries : buckets_) {
        for (auto& e : entries) {
            if (e.used && e.server == server) {
                e = entry{};
            }
        }
    }
}

double prefix_index::confidence_in(entry const& found) const
{
    bool const stored_before_gap = found.server < last_gaps_.size() &&
                                   found.stored_at <= last_gaps_[found.server];
    return stored_before_gap ? settings_.confidence_after_gap : 1.0;
}

std::size_t prefix_index::find_holders(std::span<prefix_hash const> prefixes,
                                       time_point now,
                                       std::span<prefix_holder> holders) const
{
    std::size_t count = 0;
    for (std::size_t depth = prefixes.size(); depth > 0; --depth) {
        auto const prefix = prefixes[depth - 1];
        for (auto const& e : bucket_for(prefix)) {
            if (count == holders.size()) {
                return count;
            }
            bool const is_match = e.used && e.hash == prefix &&
                                  now - e.stored_at < settings_.entry_lifetime;
            auto const written = holders.first(count);
            if (!is_match ||
                std::ranges::find(written, e.server, &prefix_holder::server) !=
                    written.end()) {
                continue;
            }
            holders[count++] = prefix_holder{e.server, depth, confidence_in(e)};
        }
    }
    return count;
}

std::size_t prefix_index::memory_bytes() const
{
    return buckets_.size() * sizeof(bucket) +
           last_gaps_.capacity() * sizeof(time_point);
}

} // namespace medlarstall::routing
