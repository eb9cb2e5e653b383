#include <medlarstall/emulator/run.hpp>

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

/// \return the first backend servers of a service, as many as its share
std::vector<std::string> concerned(experiment const& what, trouble const& one,
                                   emulated_servers const& servers)
{
    auto const service =
        one.service.empty() ? what.services.front().name : one.service;
    std::vector<std::string> ids;
    for (auto const& entry : servers.entries()) {
        if (entry.service == service) {
            ids.push_back(entry.id);
        }
    }
    auto const count = std::lround(one.share * static_cast<double>(ids.size()));
    ids.resize(static_cast<std::size_t>(std::max(1L, count)));
    return ids;
}

void plan_crash(event_queue& events, trouble const& one, std::string const& id,
                emulated_fleet& fleet)
{
    events.after(as_duration(one.at),
                 [&fleet, id, wait = one.unnoticed] { fleet.crash(id, wait); });
    events.after(as_duration(one.at + one.length),
                 [&fleet, id] { fleet.servers().restart(id); });
}

void plan_slowness(event_queue& events, trouble const& one,
                   std::string const& id, emulated_fleet& fleet)
{
    events.after(as_duration(one.at), [&fleet, id, factor = one.strength] {
        fleet.servers().set_slowness(id, factor);
    });
    events.after(as_duration(one.at + one.length),
                 [&fleet, id] { fleet.servers().set_slowness(id, 1); });
}

/// Makes backend servers of a service slow for moments.
void make_noise(event_queue& events, service_settings const& service,
                emulated_fleet& fleet, std::mt19937_64& random)
{
    for (auto const& entry : fleet.servers().entries()) {
        if (entry.service == service.name) {
            auto const drawn =
                std::uniform_real_distribution<double>{0, 1}(random);
            fleet.servers().set_noise(entry.id, drawn < service.noise.share
                                                    ? service.noise.factor
                                                    : 1.0);
        }
    }
    events.after(service.noise.every,
                 [&] { make_noise(events, service, fleet, random); });
}

/// Plans what is not part of the load.
void plan(event_queue& events, experiment const& what, emulated_fleet& fleet)
{
    for (auto const& one : what.troubles) {
        if (one.kind == trouble_kind::restart) {
            events.after(as_duration(one.at),
                         [&fleet] { fleet.restart_daemons(); });
        }
        if (one.kind != trouble_kind::crash && one.kind != trouble_kind::slow) {
            continue;
        }
        for (auto const& id : concerned(what, one, fleet.servers())) {
            if (one.kind == trouble_kind::crash) {
                plan_crash(events, one, id, fleet);
            } else {
                plan_slowness(events, one, id, fleet);
            }
        }
    }
}

} // namespace

run_figures run(experiment const& what, placement_strategy strategy,
                std::uint64_t seed)
{
    event_queue events;
    auto const arrivals = make_arrivals(what, seed);
    emulated_fleet fleet{events, what, arrivals, strategy, seed};
    fleet.start();
    plan(events, what, fleet);
    std::mt19937_64 noise{seed};
    for (auto const& service : what.services) {
        make_noise(events, service, fleet, noise);
    }
    auto longest = std::chrono::milliseconds{0};
    for (auto const& kind : what.classes) {
        longest = std::max(longest, kind.time_limit);
    }
    events.run_until(events.now() + as_duration(what.length) + longest);
    auto figures = measure(what, arrivals, fleet.seen().all());
    figures.strategy = name_of(strategy);
    figures.read_tokens = fleet.servers().readings().read();
    figures.read_again_tokens = fleet.servers().readings().again();
    figures.preemptions = fleet.servers().preemptions();
    figures.copied_tokens = fleet.copied_tokens();
    figures.sends = fleet.sends();
    return figures;
}

} // namespace medlarstall::emulator
