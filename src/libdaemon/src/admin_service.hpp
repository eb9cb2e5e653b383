#ifndef MEDLARSTALL_DAEMON_ADMIN_SERVICE_HPP
#define MEDLARSTALL_DAEMON_ADMIN_SERVICE_HPP

#include "auth_failure_limiter.hpp"

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
struct daemon_context;

/// The administration API below /admin/v1/: operators read the catalogue,
/// publish changes to it, list daemons and backend servers, and drain a
/// daemon. Every call must carry an operator's key and is recorded as one log
/// line.
class admin_service
{
public:
    /// \param context state that all services of this daemon share
    /// \param catalogue publishes the changes of operators
    /// \param start_drain starts a graceful shutdown of this daemon
    admin_service(daemon_context& context, catalogue_service& catalogue,
                  std::function<void()> start_drain);

    /// Registers the endpoints below /admin/v1/.
    /// \param api server that calls them
    void add_endpoints(api_server& api);

private:
    using exchange_pointer = std::shared_ptr<entry::exchange>;

    /// An authenticated operator: the name of the key and its SHA-256 digest.
    struct operator_identity
    {
        std::string name;
        std::string key_digest;
    };

    void authorize_and_handle(
        exchange_pointer exchange, std::string const& operation,
        std::function<void(exchange_pointer, operator_identity const&)> const&
            handle);
    [[nodiscard]] bool authenticate(entry::exchange const& exchange,
                                    operator_identity& identity) const;
    void show_catalogue(exchange_pointer const& exchange) const;
    void publish(exchange_pointer const& exchange,
                 operator_identity const& identity);
    void show_instances(exchange_pointer const& exchange) const;
    void show_backend_servers(exchange_pointer const& exchange) const;

    daemon_context& context_;
    catalogue_service& catalogue_;
    std::function<void()> start_drain_;
    auth_failure_limiter failure_limiter_;
};

} // namespace medlarstall::daemon

#endif
