#ifndef MEDLARSTALL_SCHEDULING_EVENTS_HPP
#define MEDLARSTALL_SCHEDULING_EVENTS_HPP

#include <medlarstall/scheduling/request.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarstall::scheduling {

/// What an owner is told of a backend server that it owns. Plain data.
struct backend_server_description
{
    std::string id;
    std::string group;
    std::string data_centre;
    std::vector<std::string> models; ///< Models loaded; empty: every one.
    bool demoted = false; ///< Slow or failing compared with its siblings.
};

/// What a backend server says of itself, some time after the fact. Plain
/// data.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::chrono::milliseconds age{0}; ///< How old the figures are.
};

/// What an organisation uses of one class at the other owners. Plain data.
struct remote_usage
{
    double tokens_per_second = 0;
    double requests_per_second = 0;
    std::uint32_t running = 0;
    std::uint64_t served_tokens = 0; ///< Total since any fixed start.
    std::uint32_t owners = 0;        ///< Other owners that serve it.
};

/// What an owner has done for one organisation in one class since it
/// started. Plain data.
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

/// A queued request that an owner gives up. Plain data.
struct released_request
{
    request value;
    std::uint64_t tokens = 0; ///< Tokens that the caller has already.
    bool started = false;     ///< If false, it has not run.
};

} // namespace medlarstall::scheduling

#endif
