#ifndef MEDLARSTALL_BENCH_BACKEND_POOL_HPP
#define MEDLARSTALL_BENCH_BACKEND_POOL_HPP

#include "fake_engine.hpp"
#include "workload.hpp"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace medlarstall::bench {

/// A fake backend server with what the platform says of it.
struct pool_member
{
    std::string id;
    std::string group;
    std::size_t data_centre = 0;
    std::unique_ptr<fake_engine> engine;
    std::deque<std::uint32_t> past_running; ///< For late load reports.
};

/// All backend servers of a site: the engines, then those of the service.
struct backend_pool
{
    /// \param events virtual time
    /// \param place installation
    backend_pool(event_queue& events, site const& place)
    {
        for (std::size_t i = 0; i < place.engines + place.services; ++i) {
            bool const service = i >= place.engines;
            auto& member = members.emplace_back();
            member.id = (service ? "s" : "e") + std::to_string(i);
            member.group = service ? "services" : "engines";
            member.data_centre = i % place.data_centres;
            member.engine = std::make_unique<fake_engine>(
                events, service ? place.service : place.engine);
        }
    }

    /// \return work of all engines in milliseconds, and the wasted part of it
    [[nodiscard]] std::pair<double, double> work() const
    {
        std::pair<double, double> sum{0, 0};
        for (auto const& member : members) {
            sum.first += member.engine->work_ms();
            sum.second += member.engine->wasted_ms();
        }
        return sum;
    }

    std::vector<pool_member> members;
};

} // namespace medlarstall::bench

#endif
