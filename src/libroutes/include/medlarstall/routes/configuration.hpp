#ifndef MEDLARSTALL_ROUTES_CONFIGURATION_HPP
#define MEDLARSTALL_ROUTES_CONFIGURATION_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::routes {

/// How often a request of a route may run on backend servers.
enum class route_kind
{
    idempotent,   ///< Any number of times.
    at_most_once, ///< At most once for each attempt of a caller.
    /// A stream of events; at most once unless the stream is resumable.
    stream
};

/// \param kind kind of a route
/// \return its name in log records: repeatable, once or stream
[[nodiscard]] char const* name_of(route_kind kind);

/// A service that receives a share of the requests of a route.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1; ///< Relative to the sum over the route.
};

/// Requests with the same host and path prefix, and how they are handled.
struct route
{
    std::string name;
    std::string host; ///< In lower case.
    std::string path_prefix;
    route_kind kind = route_kind::idempotent;
    /// From the request to the end of the response.
    std::chrono::milliseconds time_limit{30000};
    /// Latency objective: to the response, or to the first event of a stream.
    std::chrono::milliseconds objective{1000};
    /// Objective for the time between events of a stream; 0 for none.
    std::chrono::milliseconds pause_objective{0};
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::vector<weighted_service> services;
    /// Number of backend servers that one request may be sent to.
    std::uint32_t max_attempts = 1;
    bool is_public = false; ///< Callers need no key.
    /// Whether a broken stream may be continued on another backend server.
    bool resumable = false;

    /// \return true if a request may be sent again although it may have run
    [[nodiscard]] bool may_run_again() const
    {
        return kind == route_kind::idempotent ||
               (kind == route_kind::stream && resumable);
    }
};

/// Properties of the inference engine of a service with a language model. They
/// are the same for all backend servers of the service.
struct engine
{
    std::uint32_t slots = 1; ///< Requests that run at the same time in a batch.
    /// Capacity of the KV cache for running and cached prompts, in tokens.
    std::uint64_t memory_tokens = 0;
    std::uint32_t tokens_per_event = 1; ///< Of a stream.
    /// Size of one token in the KV cache; 0 if the cache cannot be copied.
    double bytes_per_token = 0;
    double link_mbps = 0; ///< Bandwidth between two backend servers.
};

/// How many backend servers of a service may be ordered, and what they cost.
struct autoscaling
{
    /// Limits for each data centre, for both kinds of server together.
    std::uint32_t min_servers = 0;
    std::uint32_t max_servers = 0;
    /// From the order of a server until it serves requests.
    std::chrono::milliseconds boot_time{0};
    /// Price of a server that may be reclaimed, relative to one that may not;
    /// empty if there are none.
    std::optional<double> reclaimable_price;
    /// Price of a server for each second, by data centre. Servers are ordered
    /// only in these data centres.
    std::map<std::string, double> prices;

    bool operator==(autoscaling const&) const = default;
};

/// A group of backend servers that run the same program.
struct service
{
    std::string name;
    std::string health_path;     ///< Path of the health check.
    std::optional<engine> model; ///< Empty without a language model.
    /// Empty if the number of its backend servers is not to be changed.
    std::optional<autoscaling> scaling;
};

/// An organisation and the keys of its callers.
struct organisation
{
    std::string name;
    std::vector<std::string> keys;
    /// 0 is the most urgent. Takes precedence over that of the route; if it is
    /// empty, only the route decides.
    std::optional<std::uint32_t> priority;
};

/// Largest request that callers may send, and the timeouts of connections.
struct request_limits
{
    std::uint64_t max_head_bytes = 16384;
    std::uint64_t max_body_bytes = 4194304;
    std::chrono::milliseconds head_timeout{3000};  ///< To read the head.
    std::chrono::milliseconds idle_timeout{15000}; ///< Without any byte.
};

/// One version of the complete configuration that operators maintain.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<organisation> organisations;
    /// Whether callers need a key, except for public routes.
    bool needs_keys = false;
    request_limits limits;
};

} // namespace medlarstall::routes

#endif
