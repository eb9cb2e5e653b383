#include <medlarstall/chart/daemon_chart.hpp>

#include "embedded_charts.hpp"

namespace medlarstall::chart {

result<daemon_chart> const& shared_daemon_chart()
{
    static auto const shared = daemon_chart::read("daemon.scxml", daemon_text);
    return shared;
}

} // namespace medlarstall::chart
