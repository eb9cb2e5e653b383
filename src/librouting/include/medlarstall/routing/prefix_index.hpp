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

/// Number that the router gives to a backend server that it knows.
using server_number = std::uint32_t;

/// How much a prefix index keeps and for how long.
struct prefix_index_settings
{
    std::size_t entries = 16'384; ///< Rounded up to a power of two.
    std::chrono::seconds lifetime{600};
    double doubtful_credit = 0.5; ///< For what was learnt before a gap.
};

/// A backend server that probably holds a prefix. Plain data.
struct prefix_holder
{
    server_number server = 0;
    std::size_t depth = 0; ///< Hashes that match; see prefix_bytes().
    double credit = 1.0;   ///< Chance that the prefix is still held.
};

/// Tells which backend servers probably hold which prompt prefixes, from the
/// router's own history and from cache events that come late and with gaps.
/// Owned by the router. Its memory is fixed: a set-associative table in which
/// the entry used longest ago gives way.
class prefix_index
{
public:
    /// \param settings size and lifetime
    explicit prefix_index(prefix_index_settings settings = {});

    /// Notes that a backend server computes, and so caches, some prefixes.
    /// \param server backend server that was sent the prompt
    /// \param prefixes hashes of the prompt's prefixes
    /// \param now current time
    void store(server_number server, std::span<prefix_hash const> prefixes,
               time_point now);

    /// Notes that a backend server dropped a prefix.
    /// \param server backend server
    /// \param prefix hash of the prefix
    void remove(server_number server, prefix_hash prefix);

    /// Notes that cache events of a backend server were lost, so that what
    /// was learnt about it before is doubtful.
    /// \param server backend server
    /// \param now current time
    void mark_gap(server_number server, time_point now);

    /// Drops everything known of a backend server.
    /// \param server backend server
    void forget(server_number server);

    /// Finds the backend servers that hold the longest prefixes.
    /// \param prefixes hashes of the prompt's prefixes
    /// \param now current time
    /// \param holders filled with at most its size, longest prefix first
    /// \return number of holders filled in
    [[nodiscard]] std::size_t find(std::span<prefix_hash const> prefixes,
                                   time_point now,
                                   std::span<prefix_holder> holders) const;

    /// \return bytes of memory that the table takes
    [[nodiscard]] std::size_t memory() const;

private:
    static constexpr std::size_t ways = 8;

    struct entry
    {
        prefix_hash hash = 0;
        server_number server = 0;
        bool used = false;
        time_point stored;
    };
    using bucket = std::array<entry, ways>;

    bucket& bucket_of(prefix_hash hash);
    bucket const& bucket_of(prefix_hash hash) const;
    void store_one(server_number server, prefix_hash prefix, time_point now);
    double credit_of(entry const& found) const;

    prefix_index_settings settings_;
    std::vector<bucket> buckets_;
    std::vector<time_point> gaps_; ///< By server: the last gap.
};

} // namespace medlarstall::routing

#endif
