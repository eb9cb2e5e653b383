#ifndef MEDLARSTALL_DAEMON_ADMIN_SERVICE_HPP
#define MEDLARSTALL_DAEMON_ADMIN_SERVICE_HPP

#include "failure_limiter.hpp"

#include <medlarstall/catalogue/entries.hpp>

#include <functional>
#include <memory>
#include <string>

namespace medlarstall::entry {
class exchange;
}

namespace medlarstall::daemon {

class api_server;
class catalogue_service;
class owner_service;
struct node;

/// The administration interface: operators read and publish the catalogue,
/// look at instances and backend servers, and drain a daemon. Every call is
/// checked against the operators' keys and leaves one line in the log.
class admin_service
{
public:
    /// \param shared parts of this daemon
    /// \param catalogue the catalogue's log
    /// \param drain starts a graceful stop of this daemon
    admin_service(node& shared, catalogue_service& catalogue,
                  std::function<void()> drain);

    /// Adds the endpoints below /admin/v1/.
    void add_endpoints(api_server& api);

private:
    using exchange_pointer = std::shared_ptr<entry::exchange>;

    /// Who calls: the name of an operator's key and its digest.
    struct author
    {
        std::string name;
        std::string key_digest;
    };

    void
    guarded(exchange_pointer caller, std::string const& what,
            std::function<void(exchange_pointer, author const&)> const& handle);
    [[nodiscard]] bool identify(entry::exchange const& caller,
                                author& found) const;
    void show_catalogue(exchange_pointer const& caller) const;
    void publish(exchange_pointer const& caller, author const& by);
    void show_instances(exchange_pointer const& caller) const;
    void show_backend_servers(exchange_pointer const& caller) const;

    node& node_;
    catalogue_service& catalogue_;
    std::function<void()> drain_;
    failure_limiter failures_;
};

} // namespace medlarstall::daemon

#endif
