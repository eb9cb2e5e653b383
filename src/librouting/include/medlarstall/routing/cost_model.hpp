#ifndef MEDLARSTALL_ROUTING_COST_MODEL_HPP
#define MEDLARSTALL_ROUTING_COST_MODEL_HPP

#include <medlarstall/routing/fleet_view.hpp>
#include <medlarstall/routing/route.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace medlarstall::routing {

/// Inputs of the cost model that summaries of owners do not report.
struct cost_settings
{
    std::string data_centre; ///< Data centre of this daemon.
    /// One-way network latency to each data centre. Data centres that are not
    /// listed have default_one_way_latency.
    std::map<std::string, std::chrono::microseconds, std::less<>>
        one_way_latencies;
    std::chrono::microseconds default_one_way_latency{1500};
    /// Prefill speed of a backend server whose summary does not report one.
    std::uint32_t default_prefill_tokens_per_ms = 4;
    /// Upper bound of the output tokens that count towards the decode cost.
    std::uint32_t max_output_tokens = 8;
    /// Lower bound of the penalty for a demoted backend server.
    std::chrono::milliseconds min_demotion_cost{250};
    /// Age from which a summary counts as stale.
    std::chrono::milliseconds stale_after{2000};
    /// Penalty for a backend server whose summary is stale.
    std::chrono::milliseconds stale_cost{500};
};

/// Estimates the cost of running a request at a backend server, as time.
/// Performs no I/O.
class cost_model
{
public:
    /// \param settings latencies, defaults and penalties
    explicit cost_model(cost_settings settings);

    /// Sets how many daemons route to the same backend servers. It is used to
    /// estimate the requests that the others sent since the last summary.
    /// \param daemons number of live daemons including this one; 0 counts as 1
    void set_daemon_count(std::uint32_t daemons);

    /// Estimates the cost of a request at a backend server.
    /// \param server state of the backend server
    /// \param group group that the backend server belongs to
    /// \param query request to be placed
    /// \param cached_tokens prompt tokens that are probably in its cache
    /// \param now current time, used for the age of the summary
    /// \return the expected cost, split into its parts
    [[nodiscard]] route_cost cost(backend_server_view const& server,
                                  group_view const& group,
                                  route_query const& query,
                                  std::uint32_t cached_tokens,
                                  time_point now) const;

private:
    double unreported_by_others(backend_server_view const& server,
                                group_view const& group, time_point now) const;
    std::chrono::microseconds unreported_wait(backend_server_view const& server,
                                              group_view const& group,
                                              unsigned tier,
                                              double unreported) const;
    std::chrono::microseconds
    network_round_trip(std::string_view data_centre) const;
    std::chrono::microseconds health_penalty(backend_server_view const& server,
                                             route_cost const& cost,
                                             time_point now) const;

    cost_settings settings_;
    std::uint32_t daemon_count_ = 1;
};

} // namespace medlarstall::routing

#endif
