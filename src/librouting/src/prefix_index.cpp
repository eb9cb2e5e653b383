#include <medlarstall/routing/prefix_index.hpp>

#include <algorithm>
#include <bit>

namespace medlarstall::routing {

prefix_index::prefix_index(prefix_index_settings settings)
    : settings_{settings},
      buckets_(std::bit_ceil(std::max(settings.entries, ways) / ways))
{}

prefix_index::bucket& prefix_index::bucket_of(prefix_hash hash)
{
    return buckets_[hash & (buckets_.size() - 1)];
}

prefix_index::bucket const& prefix_index::bucket_of(prefix_hash hash) const
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
    auto& candidates = bucket_of(prefix);
    auto const same = [&](entry const& e) {
        return e.used && e.hash == prefix && e.server == server;
    };
    auto place = std::ranges::find_if(candidates, same);
    if (place == candidates.end()) {
        place = std::ranges::min_element(candidates, {}, [](entry const& e) {
            return e.used ? e.stored : time_point::min();
        });
    }
    *place = entry{prefix, server, true, now};
}

void prefix_index::remove(server_number server, prefix_hash prefix)
{
    for (auto& e : bucket_of(prefix)) {
        if (e.used && e.hash == prefix && e.server == server) {
            e = entry{};
        }
    }
}

void prefix_index::mark_gap(server_number server, time_point now)
{
    if (gaps_.size() <= server) {
        gaps_.resize(server + 1, time_point::min());
    }
    gaps_[server] = now;
}

void prefix_index::forget(server_number server)
{
    for (auto& candidates : buckets_) {
        for (auto& e : candidates) {
            if (e.used && e.server == server) {
                e = entry{};
            }
        }
    }
}

double prefix_index::credit_of(entry const& found) const
{
    bool const doubtful =
        found.server < gaps_.size() && found.stored <= gaps_[found.server];
    return doubtful ? settings_.doubtful_credit : 1.0;
}

std::size_t prefix_index::find(std::span<prefix_hash const> prefixes,
                               time_point now,
                               std::span<prefix_holder> holders) const
{
    std::size_t count = 0;
    for (std::size_t depth = prefixes.size(); depth > 0; --depth) {
        auto const prefix = prefixes[depth - 1];
        for (auto const& e : bucket_of(prefix)) {
            if (count == holders.size()) {
                return count;
            }
            bool const match = e.used && e.hash == prefix &&
                               now - e.stored < settings_.lifetime;
            auto const known = holders.first(count);
            if (!match ||
                std::ranges::find(known, e.server, &prefix_holder::server) !=
                    known.end()) {
                continue;
            }
            holders[count++] = prefix_holder{e.server, depth, credit_of(e)};
        }
    }
    return count;
}

std::size_t prefix_index::memory() const
{
    return buckets_.size() * sizeof(bucket) +
           gaps_.capacity() * sizeof(time_point);
}

} // namespace medlarstall::routing
