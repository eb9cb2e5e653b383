#ifndef MEDLARSTALL_CATALOGUE_ENTRIES_HPP
#define MEDLARSTALL_CATALOGUE_ENTRIES_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::catalogue {

// Every entry has a name, which is unique among the entries of its kind, and an
// owner, whose operators may change it.

/// Revision of an entry: one more than the log offset of the change that last
/// set the entry. It grows with each accepted change and is never reused. 0
/// means that the entry does not exist.
using revision = std::uint64_t;

/// Latencies that a class promises at the 95th percentile of its requests.
struct latency_targets
{
    std::chrono::milliseconds first_token{1800};
    std::chrono::milliseconds between_tokens{63};

    bool operator==(latency_targets const&) const = default;
};

/// A service class, which sets priority and latency targets of requests.
struct service_class
{
    std::string name;
    std::string owner;
    unsigned tier = 0; ///< Priority; 0 is the highest.
    latency_targets targets;
    std::chrono::milliseconds deadline{60'000}; ///< Maximum wait for a slot.
    double floor = 0.0; ///< Minimum share of freed slots, from 0 to 1.

    bool operator==(service_class const&) const = default;
};

/// Limits on the use by an organisation. There is no limit where a value is
/// absent.
struct organisation_limits
{
    std::optional<double> requests_per_second;
    std::optional<double> tokens_per_second;
    std::optional<unsigned> concurrency; ///< Maximum concurrent requests.

    bool operator==(organisation_limits const&) const = default;
};

/// Limits on the use of a model or a service by all organisations together.
using entry_limits = organisation_limits;

/// A member of the consortium.
struct organisation
{
    std::string name;
    std::string owner;
    double share = 1.0; ///< Weight of its share of the capacity.
    organisation_limits limits;
    std::vector<std::string> classes;     ///< Names of classes it may use.
    std::vector<std::string> key_digests; ///< SHA-256 of its keys, in hex.

    bool operator==(organisation const&) const = default;
};

/// Kind of the backend servers in a group.
enum class group_kind
{
    engine, ///< Inference engines, which serve models.
    service ///< Servers of plain HTTP services.
};

/// A backend server that is listed in the catalogue itself, for installations
/// without an instance list.
struct static_backend_server
{
    std::string id;
    std::string address; ///< IP address.
    std::uint16_t port = 0;
    std::string data_centre;

    bool operator==(static_backend_server const&) const = default;
};

/// Number of engines in a group that take a role, such as prefill or decode.
struct role_target
{
    std::string role;
    unsigned backend_server_count = 0;

    bool operator==(role_target const&) const = default;
};

/// A group of backend servers that serve the same models or services.
struct backend_server_group
{
    std::string name;
    std::string owner;
    group_kind kind = group_kind::engine;
    unsigned slots = 8; ///< Maximum concurrent requests per server.
    bool checks_fencing = true;
    std::vector<static_backend_server> backend_servers;
    std::vector<role_target> roles; ///< If empty, engines take any role.

    bool operator==(backend_server_group const&) const = default;
};

/// A model, served by a group of engines.
struct model
{
    std::string name;
    std::string owner;
    std::string version;
    std::vector<std::string> adapters;
    std::string group;
    unsigned replicas = 0;     ///< Number of backend servers to load; 0 is all.
    std::string default_class; ///< For requests without a class; may be empty.
    entry_limits limits;

    bool operator==(model const&) const = default;
};

/// An operation of a plain service, selected by method and path prefix.
struct service_operation
{
    std::string method; ///< "*" matches any method.
    std::string path_prefix;
    bool repeatable = true; ///< Whether a call may run twice.

    bool operator==(service_operation const&) const = default;
};

/// A plain service, served by the backend servers of a group.
struct service
{
    std::string name;
    std::string owner;
    std::string group;
    bool repeatable = false; ///< For calls that match none of the operations.
    std::vector<service_operation> operations;
    std::chrono::milliseconds deadline{10'000}; ///< From a call's arrival.
    std::string default_class; ///< For calls without a class; may be empty.
    entry_limits limits;

    bool operator==(service const&) const = default;
};

/// A key that authorises its holder to publish changes and to use the
/// administration interface.
struct operator_key
{
    std::string name;
    std::string owner;
    std::string key_digest;  ///< SHA-256 of the key, in hex.
    bool consortium = false; ///< Whether it may change entries of every owner.

    bool operator==(operator_key const&) const = default;
};

} // namespace medlarstall::catalogue

#endif
