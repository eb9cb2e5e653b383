#ifndef MEDLARSTALL_TESTS_LIBROUTING_FLEET_HPP
#define MEDLARSTALL_TESTS_LIBROUTING_FLEET_HPP

#include <medlarstall/routing/router.hpp>

#include <string>

namespace medlarstall::routing {

/// Returns a time point the given number of milliseconds after a fixed start.
inline time_point at_ms(std::int64_t ms)
{
    return time_point{} + std::chrono::hours{1} + std::chrono::milliseconds{ms};
}

/// Returns the summary of an idle backend server of group "g" in data centre
/// "a".
inline scheduling::backend_server_summary
idle_server(std::string const& id, std::string const& owner = "d0",
            std::uint64_t sequence = 1)
{
    scheduling::backend_server_summary summary;
    summary.backend_server = id;
    summary.group = "g";
    summary.owner = owner;
    summary.data_centre = "a";
    summary.sequence = sequence;
    summary.limit = 4;
    summary.between_tokens = std::chrono::milliseconds{30};
    return summary;
}

/// Returns a request for group "g" with 1,000 prompt tokens and a deadline of
/// one minute.
inline scheduling::request plain_request(unsigned tier = 0)
{
    scheduling::request request;
    request.group = "g";
    request.tier = tier;
    request.prompt_tokens = 1000;
    request.deadline = at_ms(60'000);
    return request;
}

/// Returns a router in data centre "a".
inline router make_router(std::uint64_t seed = 1)
{
    router_settings settings;
    settings.cost.data_centre = "a";
    settings.seed = seed;
    return router{settings};
}

} // namespace medlarstall::routing

#endif
