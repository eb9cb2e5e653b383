#ifndef MEDLARSTALL_SCHEDULING_REQUEST_HPP
#define MEDLARSTALL_SCHEDULING_REQUEST_HPP

#include <medlarstall/catalogue/entries.hpp>
#include <medlarstall/support/time.hpp>

#include <cstdint>
#include <string>

namespace medlarstall::scheduling {

/// Identifies a request at its owner; unique for the lifetime of the owner.
using request_id = std::uint64_t;

/// What the owner of a backend server knows about a request. Plain data.
struct request
{
    request_id id = 0;
    std::string organisation;
    std::string service_class;
    unsigned tier = 0; ///< 0 is the most important.
    std::string group; ///< Backend server group that can run it.
    std::string model; ///< Empty for a service without models.
    /// Backend server that holds a matching prefix cache, or empty.
    std::string preferred_backend_server;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t expected_output_tokens = 0; ///< Estimate; 0 if unknown.
    time_point arrived;  ///< When the entry daemon received it.
    time_point deadline; ///< Latest time at which starting it is useful.
    catalogue::latency_targets targets;
    bool repeatable = true; ///< May be run again after a failure.
    bool resumable = true;  ///< May be preempted and resumed later.
    /// Suspected of crashing backend servers: never runs on the same one as
    /// another suspected request.
    bool isolated = false;
};

} // namespace medlarstall::scheduling

#endif
