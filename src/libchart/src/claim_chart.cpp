#include <medlarstall/chart/claim_chart.hpp>

#include "embedded_charts.hpp"

namespace medlarstall::chart {

result<claim_chart> const& shared_claim_chart()
{
    static auto const shared = claim_chart::read("claim.scxml", claim_text);
    return shared;
}

} // namespace medlarstall::chart
