#ifndef MEDLARSTALL_STANDINS_INSTANCE_REGISTRY_HPP
#define MEDLARSTALL_STANDINS_INSTANCE_REGISTRY_HPP

#include <medlarstall/support/time.hpp>

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace medlarstall::standins {

/// The instance list with leases and a lag.
class instance_registry
{
public:
    /// \param id identifier
    /// \param instance listed object
    /// \param lapses when the registration lapses, if it does
    /// \param now time
    void put(std::string const& id, nlohmann::json instance,
             std::optional<time_point> lapses, time_point now);

    /// \param id identifier
    /// \param now time
    void remove(std::string const& id, time_point now);

    /// \param lag age of the list to return
    /// \param now time
    /// \return the instances as they were listed that long ago
    nlohmann::json list(duration lag, time_point now);

private:
    struct registration
    {
        nlohmann::json instance;
        std::optional<time_point> lapses;
    };
    struct snapshot
    {
        time_point at;
        nlohmann::json instances;
    };

    void lapse(time_point now);
    void record(time_point now);

    std::map<std::string, registration> registrations_;
    std::deque<snapshot> snapshots_;
};

} // namespace medlarstall::standins

#endif
