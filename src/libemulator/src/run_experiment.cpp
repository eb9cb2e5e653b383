#include <medlarstall/emulator/run_experiment.hpp>

#include "emulated_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace medlarstall::emulator {

namespace {

duration as_duration(seconds value)
{
    return std::chrono::duration_cast<duration>(value);
}

/// \return ids of the backend servers that a disturbance affects: the first
/// ones
///         of the service, at least one
std::vector<std::string> affected_servers(experiment const& spec,
                                          disturbance const& event,
                                          emulated_servers const& servers)
{
    auto const service =
        event.service.empty() ? spec.services.front().name : event.service;
    std::vector<std::string> ids;
    for (auto const& entry : servers.entries()) {
        if (entry.service == service) {
            ids.push_back(entry.id);
        }
    }
    auto const count =
        std::lround(event.affected_share * static_cast<double>(ids.size()));
    ids.resize(static_cast<std::size_t>(std::max(1L, count)));
    return ids;
}

void schedule_crash(event_queue& events, disturbance const& event,
                    std::string const& id, emulated_fleet& fleet)
{
    events.schedule_after(as_duration(event.start),
                          [&fleet, id, delay = event.detection_delay] {
                              fleet.crash(id, delay);
                          });
    events.schedule_after(as_duration(event.start + event.length),
                          [&fleet, id] { fleet.servers().restart(id); });
}

void schedule_slowdown(event_queue& events, disturbance const& event,
                       std::string const& id, emulated_fleet& fleet)
{
    events.schedule_after(as_duration(event.start),
                          [&fleet, id, factor = event.strength] {
                              fleet.servers().set_slowdown(id, factor);
                          });
    events.schedule_after(
        as_duration(event.start + event.length),
        [&fleet, id] { fleet.servers().set_slowdown(id, 1); });
}

/// Draws which backend servers of a service are slow during the next interval,
/// and schedules the next draw.
void update_noise(event_queue& events, service_settings const& service,
                  emulated_fleet& fleet, std::mt19937_64& random)
{
    for (auto const& entry : fleet.servers().entries()) {
        if (entry.service == service.name) {
            auto const draw =
                std::uniform_real_distribution<double>{0, 1}(random);
            fleet.servers().set_noise(entry.id,
                                      draw < service.noise.slow_probability
                                          ? service.noise.slowdown
                                          : 1.0);
        }
    }
    events.schedule_after(service.noise.interval, [&] {
        update_noise(events, service, fleet, random);
    });
}

/// Schedules the disturbances other than those that change the request rate,
/// which generate_arrivals() applies.
void schedule_disturbances(event_queue& events, experiment const& spec,
                           emulated_fleet& fleet)
{
    for (auto const& event : spec.disturbances) {
        if (event.kind == disturbance_kind::daemon_restart) {
            events.schedule_after(as_duration(event.start),
                                  [&fleet] { fleet.restart_daemons(); });
        }
        if (event.kind != disturbance_kind::server_crash &&
            event.kind != disturbance_kind::slow_servers) {
            continue;
        }
        for (auto const& id : affected_servers(spec, event, fleet.servers())) {
            if (event.kind == disturbance_kind::server_crash) {
                schedule_crash(events, event, id, fleet);
            } else {
                schedule_slowdown(events, event, id, fleet);
            }
        }
    }
}

} // namespace

run_metrics run_experiment(experiment const& spec, placement_strategy strategy,
                           std::uint64_t seed)
{
    event_queue events;
    auto const arrivals = generate_arrivals(spec, seed);
    emulated_fleet fleet{events, spec, arrivals, strategy, seed};
    fleet.start();
    schedule_disturbances(events, spec, fleet);
    std::mt19937_64 noise_random{seed};
    for (auto const& service : spec.services) {
        update_noise(events, service, fleet, noise_random);
    }
    auto longest_time_limit = std::chrono::milliseconds{0};
    for (auto const& request_class : spec.classes) {
        longest_time_limit =
            std::max(longest_time_limit, request_class.time_limit);
    }
    events.run_until(events.now() + as_duration(spec.length) +
                     longest_time_limit);
    auto metrics = compute_metrics(spec, arrivals, fleet.outcomes().outcomes());
    metrics.strategy = name_of(strategy);
    metrics.prefilled_tokens = fleet.servers().prefills().total_tokens();
    metrics.repeated_prefill_tokens =
        fleet.servers().prefills().repeated_tokens();
    metrics.preemptions = fleet.servers().preemptions();
    metrics.copied_tokens = fleet.copied_tokens();
    metrics.sends = fleet.send_count();
    return metrics;
}

} // namespace medlarstall::emulator
