#include <medlarstall/placement/fence_table.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::placement {

fence_table::fence_table(std::string holder, lease_settings settings)
    : holder_{std::move(holder)}, settings_{settings}
{}

void fence_table::on_append(fence_record const& record, time_point now)
{
    // An append whose reply was lost may be read late: the lease counts from
    // the first one that could be meant.
    for (auto const& server : record.backend_servers) {
        sent_.try_emplace(server, now);
    }
}

void fence_table::on_record(std::uint64_t offset, fence_record const& record,
                            time_point now)
{
    bool const own = record.holder == holder_;
    for (auto const& server : record.backend_servers) {
        auto& one = entries_[server];
        one.holder = record.holder;
        one.fencing = offset;
        if (!own) {
            one.free_from = std::max(one.free_from,
                                     now + settings_.lease + settings_.margin);
            continue;
        }
        auto const sent = sent_.find(server);
        if (sent == sent_.end()) {
            continue; // A repeated append: the lease counts from the first.
        }
        one.lease_end = sent->second + settings_.lease;
        one.renewed = sent->second;
        sent_.erase(sent);
    }
}

bool fence_table::holds(std::string const& backend_server) const
{
    auto const found = entries_.find(backend_server);
    return found != entries_.end() && found->second.holder == holder_ &&
           found->second.renewed != time_point{};
}

std::uint64_t fence_table::fencing(std::string const& backend_server) const
{
    auto const found = entries_.find(backend_server);
    return found == entries_.end() ? 0 : found->second.fencing;
}

bool fence_table::may_order(std::string const& backend_server,
                            bool checks_fencing, time_point now) const
{
    if (!holds(backend_server)) {
        return false;
    }
    auto const& one = entries_.at(backend_server);
    return checks_fencing || (now < one.lease_end && now >= one.free_from);
}

bool fence_table::needs_renewal(std::string const& backend_server,
                                time_point now) const
{
    auto const found = entries_.find(backend_server);
    return found != entries_.end() &&
           now - found->second.renewed >= settings_.renewal;
}

} // namespace medlarstall::placement
