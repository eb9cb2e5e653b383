#include <medlarstall/dispatch/limit_division.hpp>

#include <medlarstall/dispatch/fleet_cells.hpp>
#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::dispatch {

void limit_division::set_fleet(fleet_daemons fleet)
{
    fleet_ = std::move(fleet);
    std::ranges::sort(fleet_.limit_sharers);
    ++revision_;
}

std::vector<limit_division::part>
limit_division::divide(std::string const& service,
                       listed_servers const& listed) const
{
    std::vector<std::string> ids;
    for (auto const& [id, listing] : listed.all()) {
        if (listing.entry.service == service) {
            ids.push_back(id);
        }
    }
    std::vector<part> parts;
    for (auto& divided : divide_service(fleet_.all, std::move(ids))) {
        std::vector<std::uint64_t> daemons;
        for (auto const& daemon : divided.daemons) {
            if (std::ranges::binary_search(fleet_.limit_sharers, daemon)) {
                daemons.push_back(hash64(daemon));
            }
        }
        std::ranges::sort(divided.servers);
        parts.push_back({std::move(divided.servers),
                         std::make_shared<std::vector<std::uint64_t> const>(
                             std::move(daemons))});
    }
    return parts;
}

limit_sharers limit_division::sharers_of(backend_server_entry const& entry,
                                         listed_servers const& listed)
{
    if (std::exchange(parts_revision_, revision_) != revision_) {
        parts_.clear();
    }
    auto& parts = parts_[entry.service];
    if (parts.empty()) {
        parts = divide(entry.service, listed);
    }
    limit_sharers sharers{hash64(entry.id), hash64(fleet_.own), nullptr};
    for (auto const& item : parts) {
        if (std::ranges::binary_search(item.servers, entry.id)) {
            sharers.all = item.daemons;
        }
    }
    return sharers;
}

} // namespace medlarstall::dispatch
