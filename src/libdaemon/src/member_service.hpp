#ifndef MEDLARSTALL_DAEMON_MEMBER_SERVICE_HPP
#define MEDLARSTALL_DAEMON_MEMBER_SERVICE_HPP

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>

namespace medlarstall::entry {
class exchange;
}

namespace medlarstall::daemon {

class api_server;
class entry_service;
class owner_service;
class peer_queries;
class share_service;
struct node;

/// What every member may see: which address to use, what each organisation
/// got against its entitlement, and which catalogue is in force where.
class member_service
{
public:
    /// \param shared parts of this daemon
    /// \param entry knows the callers
    /// \param queries asks the other daemons
    /// \param shares what the fleet served by window
    /// \param open_requests tells how many requests are being answered here
    member_service(node& shared, entry_service const& entry,
                   peer_queries& queries, share_service const& shares,
                   std::function<std::size_t()> open_requests);

    /// Adds the endpoints of members.
    void add_endpoints(api_server& api);

private:
    using exchange_pointer = std::shared_ptr<entry::exchange>;

    void for_members(api_server& api, std::string const& path,
                     std::function<void(exchange_pointer const&)> handle) const;
    void show_entries(exchange_pointer const& caller) const;
    void show_in_force(exchange_pointer const& caller) const;
    void show_shares(exchange_pointer const& caller) const;
    [[nodiscard]] nlohmann::json own_usage() const;
    [[nodiscard]] nlohmann::json own_load() const;

    node& node_;
    entry_service const& entry_;
    peer_queries& queries_;
    share_service const& shares_;
    std::function<std::size_t()> open_requests_;
};

} // namespace medlarstall::daemon

#endif
