#include <medlarstall/chart/backend_server_chart.hpp>

#include "embedded_charts.hpp"

namespace medlarstall::chart {

result<backend_server_chart> const& shared_backend_server_chart()
{
    static auto const shared =
        backend_server_chart::read("backend_server.scxml", backend_server_text);
    return shared;
}

} // namespace medlarstall::chart
