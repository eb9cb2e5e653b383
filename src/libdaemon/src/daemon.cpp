#include <medlarstall/daemon/daemon.hpp>

#include "daemon_implementation.hpp"

namespace medlarstall::daemon {

status check_charts()
{
    auto const& request = chart::shared_request_chart();
    if (failed(request)) {
        return error_of(request);
    }
    auto const& life = chart::shared_daemon_chart();
    return failed(life) ? status{error_of(life)} : success();
}

daemon::daemon(asio::io_context& io, daemon_settings settings)
    : implementation_{std::make_shared<implementation>(io, std::move(settings))}
{}

daemon::~daemon() = default;

result<daemon_endpoints> daemon::start()
{
    return implementation_->start();
}

void daemon::when_drained(std::function<void(bool)> handler)
{
    implementation_->when_drained(std::move(handler));
}

void daemon::drain(std::function<void(bool)> on_drained)
{
    implementation_->drain(std::move(on_drained));
}

} // namespace medlarstall::daemon
