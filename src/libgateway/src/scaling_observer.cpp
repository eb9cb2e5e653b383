#include <medlarstall/gateway/scaling_observer.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::gateway {

namespace {

/// \return longest latency objective of the routes to a service, which is that
///     of the long prompts that make up most of what waits to be read; zero if
///     it has none
std::chrono::milliseconds
objective_of(std::string const& service,
             routes::configuration const& configuration)
{
    std::chrono::milliseconds longest{0};
    for (auto const& route : configuration.routes) {
        auto const leads_there =
            std::ranges::any_of(route.services, [&](auto const& share) {
                return share.service == service;
            });
        if (leads_there) {
            longest = std::max(longest, route.objective);
        }
    }
    return longest;
}

/// Sum of the load of several backend servers, and their number.
struct load_sum
{
    duty::service_load load;
    double slots = 0;
    double servers = 0;

    void add(dispatch::server_load const& more,
             dispatch::backend_server_entry const& entry)
    {
        load.in_flight += more.in_flight;
        load.prefill_tokens += more.prefill_tokens;
        load.memory_tokens += more.memory_tokens;
        if (!entry.draining) {
            slots += entry.slots;
            ++servers;
        }
    }
};

} // namespace

std::vector<duty::service_sample>
scaling_observer::sample(routes::route_table const& table,
                         dispatch::fleet_cell cell, time_point now) const
{
    std::vector<duty::service_sample> samples;
    for (auto const& service : table.content().services) {
        if (service.scaling) {
            samples.push_back(sample_of(service, table.content(), cell, now));
        }
    }
    return samples;
}

duty::service_sample
scaling_observer::sample_of(routes::service const& service,
                            routes::configuration const& configuration,
                            dispatch::fleet_cell cell, time_point now) const
{
    duty::service_sample sample{service.name, *service.scaling, 0, {}};
    std::vector<std::string> ids;
    double staying = 0;
    for (auto const& [id, listing] : dispatcher_.listed().all()) {
        if (listing.entry.service == service.name) {
            ids.push_back(id);
            staying += listing.entry.draining ? 0 : 1;
            count(listing.entry, sample);
        }
    }
    auto const part = dispatch::service_cell(cell, ids.size());
    load_sum known;
    for (auto const& id : dispatch::names_in_cell(std::move(ids), part)) {
        auto const* const entry = dispatcher_.find_entry(id);
        if (entry != nullptr) {
            known.add(dispatcher_.load_of(id, now), *entry);
        }
    }
    if (known.servers == 0) {
        return sample;
    }
    known.load.slots = known.slots / known.servers;
    if (service.model) {
        known.load.memory_capacity_tokens =
            static_cast<double>(service.model->memory_tokens);
        known.load.prefill_tokens_per_ms = dispatch::prefill_tokens_per_ms;
        known.load.objective = objective_of(service.name, configuration);
    }
    sample.demand = duty::demand_of(known.load) * staying / known.servers;
    return sample;
}

void scaling_observer::count(dispatch::backend_server_entry const& entry,
                             duty::service_sample& sample) const
{
    auto& here = sample.data_centres[entry.data_centre];
    auto& counts = entry.reclaimable ? here.reclaimable : here.regular;
    if (entry.draining && entry.reclaimable && entry.time_left) {
        ++counts.reclaimed;
    } else if (entry.draining || dispatcher_.is_leaving(entry.id)) {
        ++counts.draining;
    } else if (dispatcher_.health_of(entry.id) == dispatch::health::up) {
        ++counts.up;
    } else {
        ++counts.failing;
    }
}

} // namespace medlarstall::gateway
