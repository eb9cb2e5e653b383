#ifndef MEDLARSTALL_DAEMON_DAEMON_IMPLEMENTATION_HPP
#define MEDLARSTALL_DAEMON_DAEMON_IMPLEMENTATION_HPP

#include "admin_service.hpp"
#include "api_server.hpp"
#include "catalogue_service.hpp"
#include "claim_service.hpp"
#include "entry_service.hpp"
#include "fleet_service.hpp"
#include "instance_service.hpp"
#include "member_service.hpp"
#include "node.hpp"
#include "order_server.hpp"
#include "owner_service.hpp"
#include "peer_queries.hpp"
#include "share_service.hpp"

#include <medlarstall/chart/daemon_chart.hpp>
#include <medlarstall/daemon/daemon.hpp>
#include <medlarstall/peer/peer_server.hpp>

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace medlarstall::daemon {

/// Joins the parts of a daemon.
class daemon::implementation
{
public:
    implementation(asio::io_context& io, daemon_settings settings);
    ~implementation();

    result<daemon_endpoints> start();
    void drain(std::function<void(bool)> on_drained);
    void when_drained(std::function<void(bool)> handler)
    {
        when_drained_ = std::move(handler);
    }

private:
    void daemons_changed();
    void add_endpoints();
    void show_metrics(std::shared_ptr<entry::exchange> const& caller) const;
    void handle(std::shared_ptr<entry::exchange> caller);
    void accept(std::shared_ptr<peer::peer_stream> const& stream);
    [[nodiscard]] platform::instance self_instance() const;
    void fire(chart::daemon_event event);
    void perform(chart::daemon_action action);
    void stop_listing();
    void wait_until_drained();
    [[nodiscard]] bool idle() const;
    void finish_drain(bool clean);

    node node_;
    platform_connection platform_;
    owner_service owner_;
    claim_service claims_;
    entry_service entry_;
    order_server orders_;
    peer_queries queries_;
    catalogue_service catalogue_;
    fleet_service fleet_;
    share_service shares_;
    instance_service instances_;
    member_service members_;
    admin_service admin_;
    api_server api_;
    entry::http_front front_;
    peer::peer_server peer_server_;
    daemon_info self_;
    asio::steady_timer drain_timer_;
    time_point serve_until_; ///< Callers may still have the address till then.
    time_point drain_until_;
    chart::daemon_chart::machine life_;
    bool cut_off_ = false;
    std::function<void(bool)> on_drained_;
    std::function<void(bool)> when_drained_ = [](bool) {
    };
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace medlarstall::daemon

#endif
