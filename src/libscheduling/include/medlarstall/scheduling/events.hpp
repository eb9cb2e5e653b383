#ifndef MEDLARSTALL_SCHEDULING_EVENTS_HPP
#define MEDLARSTALL_SCHEDULING_EVENTS_HPP

#include <medlarstall/scheduling/request.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarstall::scheduling {

/// Describes a backend server to the daemon that owns it. Plain data.
struct backend_server_description
{
    std::string id;
    std::string group;
    std::string data_centre;
    std::vector<std::string> models; ///< Loaded models; empty means any.
    bool demoted = false; ///< Slow or failing compared with its group.
};

/// Load that a backend server reports about itself. It arrives some time after
/// it was measured. Plain data.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::chrono::milliseconds age{0}; ///< Time since it was measured.
};

/// What an organisation uses of one service class at all other owners. Plain
/// data.
struct remote_usage
{
    double tokens_per_second = 0;
    double requests_per_second = 0;
    std::uint32_t running = 0;
    std::uint64_t served_tokens = 0; ///< Running total; its start is arbitrary.
    std::uint32_t owners = 0; ///< Other owners that serve the organisation.
};

/// Counters of one organisation in one service class since the owner started.
/// Plain data.
struct organisation_usage
{
    std::string organisation;
    std::string service_class;
    std::uint64_t served_tokens = 0;
    std::uint64_t dispatched = 0; ///< Requests, each counted once.
    std::uint64_t refused = 0;
    std::uint64_t delayed = 0; ///< Dispatched after their first-token target.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
};

/// A queued request that a draining owner gives up. Plain data.
struct released_request
{
    request value;
    std::uint64_t tokens = 0; ///< Tokens that the caller already has.
    bool has_run = false;     ///< False if the request has never run.
};

} // namespace medlarstall::scheduling

#endif
