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

/// Input of the router for one request. Plain data that refers to objects of
/// the caller.
struct route_query
{
    scheduling::request const& request;
    std::span<prefix_hash const> prefixes; ///< From hash_prefixes(), or empty.
    std::size_t prompt_bytes = 0;          ///< Length of the prompt.
    std::span<std::string const> excluded_backend_servers;
    std::span<std::string const> excluded_owners;
    std::uint64_t fingerprint = 0; ///< Only used for isolated requests.
};

/// Expected cost of a request at a backend server, split into its parts. Plain
/// data.
struct route_cost
{
    /// Queueing time that the owner reported for the tier.
    std::chrono::microseconds reported_wait{0};
    /// Estimated queueing time for requests sent since that report.
    std::chrono::microseconds unreported_wait{0};
    std::chrono::microseconds prefill{0}; ///< For the tokens not in its cache.
    std::chrono::microseconds decode{0};  ///< For the expected output tokens.
    std::chrono::microseconds network{0}; ///< Round trip to its data centre.
    /// Penalty for being demoted or for a stale summary.
    std::chrono::microseconds health_penalty{0};

    /// \return the sum of all parts
    [[nodiscard]] std::chrono::microseconds total() const
    {
        return reported_wait + unreported_wait + prefill + decode + network +
               health_penalty;
    }
};

/// A backend server that was evaluated for a request. Plain data.
struct route_candidate
{
    std::string backend_server;
    std::string owner;
    bool has_cached_prefix = false;  ///< Found through the prefix index.
    std::uint32_t cached_tokens = 0; ///< Prompt tokens probably in its cache.
    route_cost cost;
};

/// Why a backend server was chosen, or that none was.
enum class route_reason
{
    least_cost,     ///< It has the lowest cost of the candidates.
    affinity,       ///< As least_cost, and it has a prefix in its cache.
    only_candidate, ///< No other candidate was found.
    probe,          ///< It was ejected and is probed with this request.
    isolation,      ///< Determined by the fingerprint of a suspected request.
    last_resort,    ///< No usable one was found; ejected ones were considered.
    none            ///< No backend server can run the request.
};

/// \param reason reason of a choice
/// \return its name as written to log entries
[[nodiscard]] char const* name_of(route_reason reason);

/// Result of routing one request, for its dispatch and the log. Plain data.
struct route
{
    std::vector<route_candidate> candidates;
    std::optional<std::size_t> chosen_index; ///< Index into candidates.
    route_reason reason = route_reason::none;

    /// \return the chosen candidate, or null if there is none
    [[nodiscard]] route_candidate const* chosen() const
    {
        return chosen_index ? &candidates[*chosen_index] : nullptr;
    }
};

} // namespace medlarstall::routing

#endif
