#ifndef MEDLARSTALL_ROUTING_COST_MODEL_HPP
#define MEDLARSTALL_ROUTING_COST_MODEL_HPP

#include <medlarstall/routing/fleet_view.hpp>
#include <medlarstall/routing/route.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace medlarstall::routing {

/// What costs are worked out from, besides what owners report.
struct cost_settings
{
    std::string data_centre; ///< Of this daemon.
    /// One way to a data centre; one that is not named costs far_distance.
    std::map<std::string, std::chrono::microseconds, std::less<>> distances;
    std::chrono::microseconds far_distance{1500};
    std::uint32_t prefill_tokens_per_ms = 4; ///< If not reported.
    std::uint32_t output_tokens = 8;         ///< Most that decode counts.
    std::chrono::milliseconds demotion{250}; ///< Least cost of demotion.
    std::chrono::milliseconds stale_after{2000};
    std::chrono::milliseconds stale_cost{500};
};

/// Works out what a request is expected to cost at a backend server. Pure.
class cost_model
{
public:
    /// \param settings distances and defaults
    explicit cost_model(cost_settings settings);

    /// Sets how many daemons route to the same backend servers, so that
    /// requests that the others sent since a summary are counted too.
    /// \param daemons live daemons, this one included
    void set_daemons(std::uint32_t daemons);

    /// \param server what is known of the backend server
    /// \param group its group
    /// \param query the request
    /// \param cached_tokens tokens of the prompt probably in its cache
    /// \param now current time
    /// \return the expected cost by parts
    [[nodiscard]] route_cost cost(backend_server_view const& server,
                                  group_view const& group,
                                  route_query const& query,
                                  std::uint32_t cached_tokens,
                                  time_point now) const;

private:
    double sent_by_others(backend_server_view const& server,
                          group_view const& group, time_point now) const;
    std::chrono::microseconds wait_for_sent(backend_server_view const& server,
                                            group_view const& group,
                                            unsigned tier, double sent) const;
    std::chrono::microseconds distance_to(std::string_view data_centre) const;
    std::chrono::microseconds health_cost(backend_server_view const& server,
                                          route_cost const& cost,
                                          time_point now) const;

    cost_settings settings_;
    std::uint32_t daemons_ = 1;
};

} // namespace medlarstall::routing

#endif
