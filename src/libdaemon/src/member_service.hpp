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
struct daemon_context;

/// The endpoints that every organisation may read: the daemons to send
/// requests to, the usage of each organisation compared with its entitlement,
/// and the catalogue that is in force at each daemon.
class member_service
{
public:
    /// \param context state that all services of this daemon share
    /// \param entry authenticates the callers
    /// \param queries collects data from the other daemons
    /// \param shares knows the usage over the whole fleet
    /// \param open_requests returns how many requests of callers are open at
    ///     this daemon
    member_service(daemon_context& context, entry_service const& entry,
                   peer_queries& queries, share_service const& shares,
                   std::function<std::size_t()> open_requests);

    /// Registers the endpoints, which require the key of an organisation.
    /// \param api server that calls them
    void add_endpoints(api_server& api);

private:
    using exchange_pointer = std::shared_ptr<entry::exchange>;

    void add_member_endpoint(
        api_server& api, std::string const& path,
        std::function<void(exchange_pointer const&)> handle) const;
    void show_daemon_list(exchange_pointer const& exchange) const;
    void show_catalogue_versions(exchange_pointer const& exchange) const;
    void show_shares(exchange_pointer const& exchange) const;
    [[nodiscard]] nlohmann::json own_usage() const;
    [[nodiscard]] nlohmann::json own_load() const;

    daemon_context& context_;
    entry_service const& entry_service_;
    peer_queries& peer_queries_;
    share_service const& share_service_;
    std::function<std::size_t()> open_requests_;
};

} // namespace medlarstall::daemon

#endif
