#include <medlarstall/chart/request_chart.hpp>

#include "embedded_charts.hpp"

namespace medlarstall::chart {

result<request_chart> const& shared_request_chart()
{
    static auto const shared =
        request_chart::read("request.scxml", request_text);
    return shared;
}

} // namespace medlarstall::chart
