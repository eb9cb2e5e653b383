#ifndef MEDLARSTALL_ROUTING_PREFIX_INDEX_HPP
#define MEDLARSTALL_ROUTING_PREFIX_INDEX_HPP

#include <medlarstall/routing/prompt_prefix.hpp>
#include <medlarstall/support/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace medlarstall::routing {

/// Number that the router assigns to a backend server, starting from 0.
using server_number = std::uint32_t;

/// Size of a prefix index and lifetime of its entries.
struct prefix_index_settings
{
    std::size_t capacity = 16'384; ///< Entries; rounded up to a power of two.
    std::chrono::seconds entry_lifetime{600};
    /// Confidence in entries stored before cache events were lost.
    double confidence_after_gap = 0.5;
};

/// A backend server that probably has a prefix in its cache. Plain data.
struct prefix_holder
{
    server_number server = 0;
    std::size_t depth = 0;   ///< Matching hashes; see prefix_bytes().
    double confidence = 1.0; ///< Probability that the prefix is still cached.
};

/// Index of the backend servers that probably have a prompt prefix in their
/// cache. It is filled from the dispatches of the router and from cache
/// events, which may be late or lost. Its memory is fixed: it is a
/// set-associative table in which the oldest entry of a bucket is replaced.
/// Owned by the router.
class prefix_index
{
public:
    /// \param settings size and lifetime
    explicit prefix_index(prefix_index_settings settings = {});

    /// Stores prefixes that a backend server computes and therefore caches.
    /// \param server backend server that the prompt was sent to
    /// \param prefixes hashes of the prompt's prefixes
    /// \param now current time, from which the lifetime counts
    void store(server_number server, std::span<prefix_hash const> prefixes,
               time_point now);

    /// Removes a prefix that a backend server evicted from its cache.
    /// \param server backend server that evicted the prefix
    /// \param prefix hash of the prefix
    void remove(server_number server, prefix_hash prefix);

    /// Records that cache events of a backend server were lost, which lowers
    /// the confidence in all entries stored for it so far.
    /// \param server backend server that sent the events
    /// \param now current time
    void mark_gap(server_number server, time_point now);

    /// Removes all entries of a backend server.
    /// \param server number of the backend server
    void remove_server(server_number server);

    /// Finds the backend servers that have the longest prefixes in their cache.
    /// \param prefixes hashes of the prompt's prefixes, shortest first
    /// \param now current time, used to skip expired entries
    /// \param holders receives the results, longest prefix first; its size
    ///     limits their number
    /// \return number of results written to holders
    [[nodiscard]] std::size_t
    find_holders(std::span<prefix_hash const> prefixes, time_point now,
                 std::span<prefix_holder> holders) const;

    /// \return memory of the table in bytes
    [[nodiscard]] std::size_t memory_bytes() const;

private:
    static constexpr std::size_t ways = 8; ///< Entries in a bucket.

    struct entry
    {
        prefix_hash hash = 0;
        server_number server = 0;
        bool used = false;
        time_point stored_at;
    };
    using bucket = std::array<entry, ways>;

    bucket& bucket_for(prefix_hash hash);
    bucket const& bucket_for(prefix_hash hash) const;
    void store_one(server_number server, prefix_hash prefix, time_point now);
    double confidence_in(entry const& found) const;

    prefix_index_settings settings_;
    std::vector<bucket> buckets_;
    std::vector<time_point> last_gaps_; ///< Indexed by server number.
};

} // namespace medlarstall::routing

#endif
