#ifndef MEDLARSTALL_CATALOGUE_ENTRIES_HPP
#define MEDLARSTALL_CATALOGUE_ENTRIES_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::catalogue {

/// Grows with each accepted change of an entry and is never used again: one
/// more than the offset of the change. 0 means that the entry does not exist.
using revision = std::uint64_t;

/// Latency that a class promises to 95 in 100 of its requests.
struct latency_targets
{
    std::chrono::milliseconds first_token{1800};
    std::chrono::milliseconds between_tokens{63};

    bool operator==(latency_targets const&) const = default;
};

/// A class of service. Tier 0 is the most important.
struct service_class
{
    std::string name;
    std::string owner;
    unsigned tier = 0;
    latency_targets targets;
    std::chrono::milliseconds deadline{60'000}; ///< Longest wait for a slot.
    double floor = 0.0; ///< Least part of freed slots, from 0 to 1.

    bool operator==(service_class const&) const = default;
};

/// Limits of an organisation; an absent limit is unlimited.
struct organisation_limits
{
    std::optional<double> requests_per_second;
    std::optional<double> tokens_per_second;
    std::optional<unsigned> concurrency; ///< Requests running at once.

    bool operator==(organisation_limits const&) const = default;
};

/// Limits of a model or a service, over all organisations.
using entry_limits = organisation_limits;

/// A member of the consortium.
struct organisation
{
    std::string name;
    std::string owner;
    double share = 1.0; ///< Weight of its entitlement against the others.
    organisation_limits limits;
    std::vector<std::string> classes;     ///< Classes that it may use.
    std::vector<std::string> key_digests; ///< SHA-256 of its keys, in hex.

    bool operator==(organisation const&) const = default;
};

/// What kind of backend servers a group holds.
enum class group_kind
{
    engine,
    service
};

/// A backend server that the catalogue itself names, for use without an
/// instance list.
struct static_backend_server
{
    std::string id;
    std::string address; ///< IP number.
    std::uint16_t port = 0;
    std::string data_centre;

    bool operator==(static_backend_server const&) const = default;
};

/// How many engines of a group have a role, such as prefill or decode.
struct role_target
{
    std::string role;
    unsigned backend_servers = 0;

    bool operator==(role_target const&) const = default;
};

/// Backend servers that serve the same models or services.
struct backend_server_group
{
    std::string name;
    std::string owner;
    group_kind kind = group_kind::engine;
    unsigned slots = 8; ///< Most requests running at once on a server.
    bool checks_fencing = true;
    std::vector<static_backend_server> backend_servers;
    std::vector<role_target> roles; ///< Empty: every engine has any role.

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
    unsigned replicas = 0;     ///< Backend servers to load it on; 0: all.
    std::string default_class; ///< For requests that name none; may be empty.
    entry_limits limits;

    bool operator==(model const&) const = default;
};

/// An operation of a plain service, chosen by method and path prefix.
struct service_operation
{
    std::string method; ///< "*" stands for any.
    std::string path_prefix;
    bool repeatable = true;

    bool operator==(service_operation const&) const = default;
};

/// A plain service, served by a group.
struct service
{
    std::string name;
    std::string owner;
    std::string group;
    bool repeatable = false; ///< For what no operation names.
    std::vector<service_operation> operations;
    std::chrono::milliseconds deadline{10'000};
    std::string default_class; ///< For calls that name none; may be empty.
    entry_limits limits;

    bool operator==(service const&) const = default;
};

/// A key that may publish changes and use the administration interface.
struct operator_key
{
    std::string name;
    std::string owner;
    std::string key_digest;  ///< SHA-256 of the key, in hex.
    bool consortium = false; ///< May change entries of every owner.

    bool operator==(operator_key const&) const = default;
};

} // namespace medlarstall::catalogue

#endif
