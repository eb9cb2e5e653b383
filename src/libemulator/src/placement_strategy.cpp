#include <medlarstall/emulator/placement_strategy.hpp>

#include <algorithm>
#include <functional>

namespace medlarstall::emulator {

namespace {

using dispatch::backend_server_entry;

/// \return the listed servers of the service that are up, not draining and not
///         excluded by the request
std::vector<backend_server_entry const*>
usable_servers(dispatch::dispatcher const& dispatcher,
               dispatch::placement_request const& request)
{
    std::vector<backend_server_entry const*> usable;
    for (auto const& [id, listed_server] : dispatcher.listed().all()) {
        auto const excluded = std::ranges::find(request.excluded_servers, id);
        if (listed_server.entry.service == request.service &&
            !listed_server.entry.draining &&
            excluded == request.excluded_servers.end() &&
            dispatcher.health_of(id) == dispatch::health::up) {
            usable.push_back(&listed_server.entry);
        }
    }
    return usable;
}

dispatch::placement make_placement(backend_server_entry const& entry)
{
    dispatch::placement placement;
    placement.backend_server = entry.id;
    placement.address = entry.address;
    placement.expected_first_event = 1;
    return placement;
}

std::optional<dispatch::placement>
choose_least_loaded(dispatch::dispatcher const& dispatcher,
                    dispatch::placement_request const& request, time_point now)
{
    backend_server_entry const* best = nullptr;
    double lowest = 0;
    for (auto const* entry : usable_servers(dispatcher, request)) {
        auto const in_flight = dispatcher.load_of(entry->id, now).in_flight;
        if (best == nullptr || in_flight < lowest) {
            best = entry;
            lowest = in_flight;
        }
    }
    return best == nullptr ? std::nullopt
                           : std::optional{make_placement(*best)};
}

/// Rendezvous hashing: each server scores its id combined with the first
/// prompt part, and the highest score wins.
std::optional<dispatch::placement>
choose_by_affinity(dispatch::dispatcher const& dispatcher,
                   dispatch::placement_request const& request)
{
    auto const key =
        request.model_prompt && !request.model_prompt->parts.empty()
            ? request.model_prompt->parts.front().id
            : request.tie_break_hash;
    backend_server_entry const* best = nullptr;
    std::size_t highest = 0;
    for (auto const* entry : usable_servers(dispatcher, request)) {
        auto const score =
            std::hash<std::string>{}(entry->id + std::to_string(key));
        if (best == nullptr || score > highest) {
            best = entry;
            highest = score;
        }
    }
    return best == nullptr ? std::nullopt
                           : std::optional{make_placement(*best)};
}

} // namespace

char const* name_of(placement_strategy strategy)
{
    switch (strategy) {
    case placement_strategy::product:
        return "product";
    case placement_strategy::least_loaded:
        return "least_loaded";
    case placement_strategy::affinity:
        return "affinity";
    case placement_strategy::no_waiting:
        return "no_waiting";
    }
    return "unknown";
}

std::vector<placement_strategy> all_strategies()
{
    return {placement_strategy::product, placement_strategy::least_loaded,
            placement_strategy::affinity, placement_strategy::no_waiting};
}

std::optional<placement_strategy> strategy_from_name(std::string_view name)
{
    for (auto const strategy : all_strategies()) {
        if (name == name_of(strategy)) {
            return strategy;
        }
    }
    return std::nullopt;
}

std::optional<dispatch::placement>
choose_placement(placement_strategy strategy, dispatch::dispatcher& dispatcher,
                 dispatch::placement_request const& request, time_point now)
{
    switch (strategy) {
    case placement_strategy::least_loaded:
        return choose_least_loaded(dispatcher, request, now);
    case placement_strategy::affinity:
        return choose_by_affinity(dispatcher, request);
    case placement_strategy::product:
    case placement_strategy::no_waiting:
        break;
    }
    auto chosen = dispatcher.choose(request, now);
    if (!chosen || strategy == placement_strategy::product) {
        return chosen;
    }
    auto const slots = dispatcher.find_entry(chosen->backend_server)->slots;
    return chosen->in_flight < slots ? chosen : std::nullopt;
}

} // namespace medlarstall::emulator
