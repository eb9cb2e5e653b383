#ifndef MEDLARSTALL_ROUTES_CONFIGURATION_HPP
#define MEDLARSTALL_ROUTES_CONFIGURATION_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::routes {

/// What may be done with the requests of a route.
enum class route_kind
{
    repeatable, ///< May run more than once.
    once,       ///< May run at most once for each attempt of a caller.
    stream      ///< A stream of events; at most once unless it may be resumed.
};

/// \param kind kind of a route
/// \return its name for log lines
[[nodiscard]] char const* name_of(route_kind kind);

/// A service that gets a part of the requests of a route.
struct service_share
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Requests with the same host and path prefix, and how to treat them.
struct route
{
    std::string name;
    std::string host; ///< In lower case.
    std::string path_prefix;
    route_kind kind = route_kind::repeatable;
    std::chrono::milliseconds time_limit{30000};  ///< To the final answer.
    std::chrono::milliseconds objective{1000};    ///< To the (first) answer.
    std::chrono::milliseconds pause_objective{0}; ///< Between events.
    std::uint32_t priority = 0;                   ///< 0 is the most urgent.
    std::vector<service_share> services;
    std::uint32_t attempts = 1; ///< Backend servers tried at most.
    bool is_public = false;     ///< Needs no key.
    bool resumable = false;

    /// \return true if a request may be sent again after it may have run
    [[nodiscard]] bool may_run_again() const
    {
        return kind == route_kind::repeatable ||
               (kind == route_kind::stream && resumable);
    }
};

/// What all backend servers of a service with a language model share.
struct engine
{
    std::uint32_t slots = 1;         ///< Requests in a batch.
    std::uint64_t memory_tokens = 0; ///< For running and cached prompts.
    std::uint32_t tokens_per_event = 1;
    double bytes_per_token = 0; ///< In memory; 0: cannot be copied.
    double link_mbps = 0;       ///< Between backend servers.
};

/// A group of backend servers that run the same program.
struct service
{
    std::string name;
    std::string health_path;
    std::optional<engine> model;
};

/// An organisation and the keys of its callers.
struct organisation
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Goes before that of the route.
};

/// What a caller may send and how long it may take.
struct request_limits
{
    std::uint64_t head_bytes = 16384;
    std::uint64_t body_bytes = 4194304;
    std::chrono::milliseconds head_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

/// One version of all that operators configure.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<organisation> organisations;
    bool needs_keys = false; ///< Callers of other than public routes.
    request_limits limits;
};

} // namespace medlarstall::routes

#endif
