#ifndef MEDLARSTALL_DUTY_SCALING_SAMPLE_HPP
#define MEDLARSTALL_DUTY_SCALING_SAMPLE_HPP

#include <medlarstall/routes/configuration.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace medlarstall::duty {

/// Load of all backend servers of a service, and what each of them can hold.
struct service_load
{
    double in_flight = 0;      ///< Requests at backend servers.
    double prefill_tokens = 0; ///< Of prompts without a first event yet.
    double memory_tokens = 0;  ///< Memory of prompts and answers in flight.
    double slots = 1;          ///< Of one backend server, on average.
    double memory_capacity_tokens = 0; ///< Of one; 0 if unknown.
    double prefill_tokens_per_ms = 0;  ///< Of one; 0 without a model.
    /// Longest latency objective of the routes to the service; 0 if unknown.
    std::chrono::milliseconds objective{0};
};

/// \param load load of a service
/// \return number of backend servers that it would use up completely, by
///     whichever of slots, prefill and memory is the scarcest
[[nodiscard]] double demand_of(service_load const& load);

/// Backend servers of one kind of a service in a data centre.
struct server_counts
{
    std::uint32_t up = 0;       ///< Neither draining nor found failing.
    std::uint32_t failing = 0;  ///< Listed, and suspect or down.
    std::uint32_t draining = 0; ///< Leaving in order.
    /// Draining with a stated time left: reclaimed by the platform.
    std::uint32_t reclaimed = 0;

    /// \return those that are not on their way out
    [[nodiscard]] std::uint32_t staying() const { return up + failing; }
};

/// Backend servers of a service in a data centre.
struct data_centre_sample
{
    server_counts regular;
    server_counts reclaimable;
};

/// What is known of a service whose backend servers are ordered.
struct service_sample
{
    std::string service;
    routes::autoscaling scaling;
    double demand = 0; ///< As from demand_of().
    std::map<std::string, data_centre_sample> data_centres;
};

/// What a daemon knows of all services whose backend servers are ordered.
struct scaling_sample
{
    std::vector<service_sample> services;
    /// Age of the list of backend servers.
    duration list_age{0};
    /// Whether the list was read completely and can still be read.
    bool list_is_known = false;
    /// Whether the daemons are heard whose requests make up the load. Without
    /// them, the load looks smaller than it is.
    bool load_is_known = false;
};

} // namespace medlarstall::duty

#endif
