#ifndef MEDLARSTALL_ROUTING_ROUTE_HPP
#define MEDLARSTALL_ROUTING_ROUTE_HPP

#include <medlarstall/routing/prompt_prefix.hpp>
#include <medlarstall/scheduling/request.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace medlarstall::routing {

/// What the router needs to place one request. Plain data that refers to
/// objects of the caller.
struct route_query
{
    scheduling::request const& request;
    std::span<prefix_hash const> prefixes; ///< Of the prompt, or empty.
    std::size_t prompt_bytes = 0;
    std::span<std::string const> excluded_backend_servers;
    std::span<std::string const> excluded_owners;
    std::uint64_t fingerprint = 0; ///< Used if the request is isolated.
};

/// Parts of the expected cost of a request at a backend server. Plain data.
struct route_cost
{
    std::chrono::microseconds wait{0};     ///< Reported, for the tier.
    std::chrono::microseconds sent{0};     ///< For requests sent since.
    std::chrono::microseconds prefill{0};  ///< Of what is not in cache.
    std::chrono::microseconds decode{0};   ///< Of the expected output.
    std::chrono::microseconds distance{0}; ///< There and back.
    std::chrono::microseconds health{0};   ///< For demotion or stale data.

    /// \return the sum of all parts
    [[nodiscard]] std::chrono::microseconds total() const
    {
        return wait + sent + prefill + decode + distance + health;
    }
};

/// A backend server that was weighed for a request. Plain data.
struct route_candidate
{
    std::string backend_server;
    std::string owner;
    bool affine = false; ///< Weighed because it probably holds the prompt.
    std::uint32_t cached_tokens = 0; ///< Probably in its cache.
    route_cost cost;
};

/// Why a backend server was chosen, or why none was.
enum class route_reason
{
    least_cost,     ///< Cheapest of the sample.
    affinity,       ///< Cheapest, and it holds a prefix of the prompt.
    only_candidate, ///< No other could run the request.
    probe,          ///< Tries out a backend server that was ejected.
    isolation,      ///< Fixed by the fingerprint of a suspected request.
    last_resort,    ///< Every backend server is ejected.
    none            ///< No backend server can run the request.
};

/// \param reason a reason
/// \return its name for log lines
[[nodiscard]] char const* name_of(route_reason reason);

/// Where a request should go. Plain data for the dispatch and the log line.
struct route
{
    std::vector<route_candidate> candidates;
    std::optional<std::size_t> choice; ///< Position in candidates.
    route_reason reason = route_reason::none;

    /// \return the candidate chosen, or null
    [[nodiscard]] route_candidate const* chosen() const
    {
        return choice ? &candidates[*choice] : nullptr;
    }
};

} // namespace medlarstall::routing

#endif
