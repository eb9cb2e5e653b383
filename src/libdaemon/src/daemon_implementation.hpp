#ifndef MEDLARSTALL_DAEMON_DAEMON_IMPLEMENTATION_HPP
#define MEDLARSTALL_DAEMON_DAEMON_IMPLEMENTATION_HPP

#include "admin_service.hpp"
#include "api_server.hpp"
#include "catalogue_service.hpp"
#include "claim_service.hpp"
#include "daemon_context.hpp"
#include "entry_service.hpp"
#include "fleet_service.hpp"
#include "instance_service.hpp"
#include "member_service.hpp"
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

/// Creates and connects the services of a daemon and runs its lifecycle.
class daemon::implementation
{
public:
    implementation(asio::io_context& io, daemon_settings settings);
    ~implementation();

    result<listening_ports> start();
    void drain(std::function<void(bool)> on_drained);
    void set_drained_handler(std::function<void(bool)> handler)
    {
        drained_handler_ = std::move(handler);
    }

private:
    void on_daemons_changed();
    void add_endpoints();
    void show_metrics(std::shared_ptr<entry::exchange> const& exchange) const;
    void handle(std::shared_ptr<entry::exchange> exchange);
    void accept(std::shared_ptr<peer::peer_stream> const& stream);
    [[nodiscard]] platform::instance own_instance() const;
    void fire_event(chart::daemon_event event);
    void perform_action(chart::daemon_action action);
    void leave_list();
    void check_drain_progress();
    [[nodiscard]] bool idle() const;
    void finish_drain(bool clean);

    daemon_context context_;
    platform_connection platform_;
    owner_service owner_service_;
    claim_service claim_service_;
    entry_service entry_service_;
    order_server order_server_;
    peer_queries peer_queries_;
    catalogue_service catalogue_service_;
    fleet_service fleet_service_;
    share_service share_service_;
    instance_service instance_service_;
    member_service member_service_;
    admin_service admin_service_;
    api_server api_server_;
    entry::http_server http_server_;
    peer::peer_server peer_server_;
    daemon_info self_;
    asio::steady_timer drain_timer_;
    time_point
        serve_until_; ///< Callers may have cached the address until then.
    time_point drain_deadline_; ///< Work that is open then is cut off.
    chart::daemon_chart::machine lifecycle_;
    bool work_cut_off_ = false;
    std::function<void(bool)> on_drained_;
    std::function<void(bool)> drained_handler_ = [](bool) {
    };
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace medlarstall::daemon

#endif
