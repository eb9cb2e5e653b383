#include <medlarstall/daemon/daemon.hpp>

#include "daemon_implementation.hpp"

namespace medlarstall::daemon {

status load_state_charts()
{
    auto const& request_chart = chart::shared_request_chart();
    if (failed(request_chart)) {
        return error_of(request_chart);
    }
    auto const& daemon_chart = chart::shared_daemon_chart();
    return failed(daemon_chart) ? status{error_of(daemon_chart)} : success();
}

daemon::daemon(asio::io_context& io, daemon_settings settings)
    : implementation_{std::make_shared<implementation>(io, std::move(settings))}
{}

daemon::~daemon() = default;

result<listening_ports> daemon::start()
{
    return implementation_->start();
}

void daemon::set_drained_handler(std::function<void(bool)> handler)
{
    implementation_->set_drained_handler(std::move(handler));
}

void daemon::drain(std::function<void(bool)> on_drained)
{
    implementation_->drain(std::move(on_drained));
}

} // namespace medlarstall::daemon
