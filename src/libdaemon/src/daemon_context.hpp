#ifndef MEDLARSTALL_DAEMON_DAEMON_CONTEXT_HPP
#define MEDLARSTALL_DAEMON_DAEMON_CONTEXT_HPP

#include "call_registry.hpp"
#include "catalogue_view.hpp"
#include "fleet.hpp"
#include "metrics.hpp"

#include <medlarstall/backend/http_client.hpp>
#include <medlarstall/daemon/daemon_settings.hpp>
#include <medlarstall/peer/peer_pool.hpp>
#include <medlarstall/routing/health_monitor.hpp>
#include <medlarstall/routing/hedge_policy.hpp>
#include <medlarstall/routing/quarantine.hpp>
#include <medlarstall/routing/retry_policy.hpp>
#include <medlarstall/routing/router.hpp>
#include <medlarstall/routing/spill_policy.hpp>
#include <medlarstall/support/uuid.hpp>

#include <asio/io_context.hpp>

#include <functional>
#include <random>

namespace medlarstall::daemon {

class owner_service;

/// State that all services of one daemon share. Owned by the daemon and used
/// only on the single thread of its Asio context.
struct daemon_context
{
    daemon_context(asio::io_context& io_context,
                   daemon_settings initial_settings);

    /// \return a new UUID, version 7
    [[nodiscard]] uuid new_uuid();

    /// Finds the organisation to which a key belongs. A catalogue must be in
    /// force.
    /// \param key the key as the caller sent it
    /// \return null if the key belongs to no organisation
    [[nodiscard]] catalogue::organisation const*
    find_organisation(std::string_view key) const;

    /// Passes the load summary of a backend server on to the router. Summaries
    /// of unknown servers are ignored.
    /// \param owner id of the daemon that sent it
    /// \param list the summary as to_json() encodes it
    void apply_summary(std::string const& owner, nlohmann::json const& list);

    asio::io_context& io;
    daemon_settings settings;
    std::mt19937_64 random;
    metrics daemon_metrics;
    call_registry open_calls;
    catalogue_view catalogue;
    fleet known_fleet;
    backend::http_client http_client;
    peer::peer_pool peers;
    routing::router router;
    routing::retry_policy retry_policy;
    routing::spill_policy spill_policy;
    routing::hedge_policy hedge_policy;
    routing::health_monitor health;
    routing::quarantine quarantine;
    owner_service* owner = nullptr; ///< Null during destruction.
    /// Sends a record of a crash, or of a request cleared of suspicion, to the
    /// other daemons.
    std::function<void(routing::quarantine_record const&)>
        broadcast_quarantine_record = [](auto const&) {
        };
    bool draining = false; ///< A graceful shutdown has started.
};

} // namespace medlarstall::daemon

#endif
