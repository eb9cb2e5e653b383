#ifndef MEDLARSTALL_DAEMON_NODE_HPP
#define MEDLARSTALL_DAEMON_NODE_HPP

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

/// What the parts of one daemon share. Owned by the daemon; every part runs
/// on its context's single thread.
struct node
{
    node(asio::io_context& context, daemon_settings with);

    /// \return a new identifier that no other attempt has
    [[nodiscard]] uuid new_uuid();

    /// Finds the organisation that owns a caller's key.
    /// \param key the key as the caller sent it
    /// \return null if no organisation has it
    [[nodiscard]] catalogue::organisation const*
    find_organisation(std::string_view key) const;

    asio::io_context& io;
    daemon_settings settings;
    std::mt19937_64 random;
    metrics figures;
    call_registry calls;
    catalogue_view catalogue;
    fleet known;
    backend::http_client client;
    peer::peer_pool peers;
    routing::router router;
    routing::retry_policy retries;
    routing::spill_policy spill;
    routing::hedge_policy hedges;
    routing::health_monitor health;
    routing::quarantine suspects;
    owner_service* owner = nullptr;
    /// Tells the other daemons of a crash or a clearance.
    std::function<void(routing::quarantine_record const&)> tell_suspects =
        [](auto const&) {
        };
    bool draining = false;
};

} // namespace medlarstall::daemon

#endif
