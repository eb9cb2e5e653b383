#include "instance_registry.hpp"

namespace medlarstall::standins {

namespace {

constexpr std::chrono::seconds longest_lag{60};

} // namespace

void instance_registry::put(std::string const& id, nlohmann::json instance,
                            std::optional<time_point> lapses, time_point now)
{
    lapse(now);
    instance["id"] = id;
    auto& known = registrations_[id];
    bool const changed = known.instance != instance;
    known = {std::move(instance), lapses};
    if (changed) {
        record(now);
    }
}

void instance_registry::remove(std::string const& id, time_point now)
{
    lapse(now);
    if (registrations_.erase(id) > 0) {
        record(now);
    }
}

nlohmann::json instance_registry::list(duration lag, time_point now)
{
    lapse(now);
    auto instances = nlohmann::json::array();
    for (auto const& snapshot : snapshots_) {
        if (snapshot.at + lag > now) {
            break;
        }
        instances = snapshot.instances;
    }
    return instances;
}

void instance_registry::lapse(time_point now)
{
    auto const lapsed = std::erase_if(registrations_, [&](auto const& item) {
        return item.second.lapses && *item.second.lapses < now;
    });
    if (lapsed > 0) {
        record(now);
    }
}

void instance_registry::record(time_point now)
{
    auto instances = nlohmann::json::array();
    for (auto const& [id, registration] : registrations_) {
        instances.push_back(registration.instance);
    }
    snapshots_.push_back({now, std::move(instances)});
    while (snapshots_.size() > 1 && snapshots_[1].at + longest_lag < now) {
        snapshots_.pop_front();
    }
}

} // namespace medlarstall::standins
