#include <medlarstall/emulator/placement_strategy.hpp>

#include <algorithm>
#include <functional>

namespace medlarstall::emulator {

namespace {

using dispatch::backend_server_entry;

std::vector<backend_server_entry const*>
usable_servers(dispatch::dispatcher const& from, dispatch::work const& wanted)
{
    std::vector<backend_server_entry const*> usable;
    for (auto const& [id, belief] : from.listed().all()) {
        auto const tried = std::ranges::find(wanted.excluded, id);
        if (belief.entry.service == wanted.service && !belief.entry.draining &&
            tried == wanted.excluded.end() &&
            from.state_of(id) == dispatch::health::up) {
            usable.push_back(&belief.entry);
        }
    }
    return usable;
}

dispatch::placement placement_at(backend_server_entry const& entry)
{
    dispatch::placement made;
    made.backend_server = entry.id;
    made.address = entry.address;
    made.expected_first_event = 1;
    return made;
}

std::optional<dispatch::placement>
choose_least_loaded(dispatch::dispatcher const& from,
                    dispatch::work const& wanted, time_point now)
{
    backend_server_entry const* best = nullptr;
    double least = 0;
    for (auto const* entry : usable_servers(from, wanted)) {
        auto const in_flight = from.load_of(entry->id, now).in_flight;
        if (best == nullptr || in_flight < least) {
            best = entry;
            least = in_flight;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{placement_at(*best)};
}

std::optional<dispatch::placement>
choose_by_affinity(dispatch::dispatcher const& from,
                   dispatch::work const& wanted)
{
    auto const part = wanted.asked && !wanted.asked->parts.empty()
                          ? wanted.asked->parts.front().id
                          : wanted.hash;
    backend_server_entry const* best = nullptr;
    std::size_t highest = 0;
    for (auto const* entry : usable_servers(from, wanted)) {
        auto const rank =
            std::hash<std::string>{}(entry->id + std::to_string(part));
        if (best == nullptr || rank > highest) {
            best = entry;
            highest = rank;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{placement_at(*best)};
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

std::optional<placement_strategy> strategy_named(std::string_view name)
{
    for (auto const strategy : all_strategies()) {
        if (name == name_of(strategy)) {
            return strategy;
        }
    }
    return std::nullopt;
}

std::optional<dispatch::placement> choose(placement_strategy strategy,
                                          dispatch::dispatcher& from,
                                          dispatch::work const& wanted,
                                          time_point now)
{
    switch (strategy) {
    case placement_strategy::least_loaded:
        return choose_least_loaded(from, wanted, now);
    case placement_strategy::affinity:
        return choose_by_affinity(from, wanted);
    case placement_strategy::product:
    case placement_strategy::no_waiting:
        break;
    }
    auto chosen = from.choose(wanted, now);
    if (!chosen || strategy == placement_strategy::product) {
        return chosen;
    }
    auto const slots = from.find(chosen->backend_server)->slots;
    return chosen->in_flight < slots ? chosen : std::nullopt;
}

} // namespace medlarstall::emulator
