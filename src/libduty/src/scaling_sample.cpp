#include <medlarstall/duty/scaling_sample.hpp>

#include <algorithm>

namespace medlarstall::duty {

namespace {

/// Memory of a backend server that counts as used up, as a multiple of its
/// capacity. The fill of a batch is kept far lower than that of the memory,
/// which a third of the slots would fill otherwise.
constexpr double memory_scale = 3.0;

} // namespace

double demand_of(service_load const& load)
{
    auto demand = load.in_flight / std::max(load.slots, 1.0);
    auto const objective = static_cast<double>(load.objective.count());
    auto const prefill = load.prefill_tokens_per_ms * objective;
    if (prefill > 0) {
        demand = std::max(demand, load.prefill_tokens / prefill);
    }
    if (load.memory_capacity_tokens > 0) {
        demand =
            std::max(demand, load.memory_tokens /
                                 (memory_scale * load.memory_capacity_tokens));
    }
    return demand;
}

} // namespace medlarstall::duty
