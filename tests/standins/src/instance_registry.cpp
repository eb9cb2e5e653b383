#include "instance_registry.hpp"

namespace medlarstall::standins {

namespace {

constexpr std::chrono::seconds longest_lag{60};
constexpr std::chrono::milliseconds least_distance{20};

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
    for (auto snapshot = snapshots_.rbegin(); snapshot != snapshots_.rend();
         ++snapshot) {
        if (snapshot->at + lag <= now) {
            return snapshot->instances;
        }
    }
    return nlohmann::json::array();
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
    // Changes that come together share a snapshot, so that a long list does
    // not fill the memory with copies of itself.
    if (snapshots_.size() > 1 && now - snapshots_.back().at < least_distance &&
        snapshots_.back().at - snapshots_[snapshots_.size() - 2].at <
            least_distance) {
        snapshots_.pop_back();
    }
    snapshots_.push_back({now, std::move(instances)});
    while (snapshots_.size() > 1 && snapshots_[1].at + longest_lag < now) {
        snapshots_.pop_front();
    }
}

} // namespace medlarstall::standins
