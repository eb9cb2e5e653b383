#include "shed_policy.hpp"

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <string_view>

namespace medlarstall::scheduling {

namespace {

constexpr std::size_t least_queue_bound = 16;

/// \return a number from 0.5 to 1.5 that depends on the identifier only
double spread_of(request_id id)
{
    std::string_view const bytes{reinterpret_cast<char const*>(&id),
                                 sizeof(id)};
    constexpr double steps = 65'536;
    return 0.5 + double(hash64(bytes) >> 48U) / steps;
}

} // namespace

shed_policy::shed_policy(scheduler_settings const& settings)
    : queued_per_slot_{settings.queued_per_slot},
      hopeless_factor_{settings.hopeless_factor},
      least_retry_{settings.least_retry_after},
      most_retry_{settings.most_retry_after}
{}

std::size_t shed_policy::queue_bound(unsigned slots) const
{
    return std::max(least_queue_bound, std::size_t{slots} * queued_per_slot_);
}

bool shed_policy::hopeless(duration wait, duration left) const
{
    return double(wait.count()) > hopeless_factor_ * double(left.count());
}

std::chrono::milliseconds shed_policy::retry_after(request_id id,
                                                   duration wait) const
{
    auto const base = std::clamp(wait, 2 * least_retry_, most_retry_);
    auto const spread =
        duration{duration::rep(spread_of(id) * double(base.count()))};
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::clamp(spread, least_retry_, most_retry_));
}

} // namespace medlarstall::scheduling
