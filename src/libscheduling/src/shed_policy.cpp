#include "shed_policy.hpp"

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <string_view>

namespace medlarstall::scheduling {

namespace {

/// A queue may hold this many requests even in a group with few slots.
constexpr std::size_t min_queue_bound = 16;

/// \param id identifier of the refused request
/// \return a factor from 0.5 to 1.5 that depends on the identifier only
double retry_jitter(request_id id)
{
    std::string_view const bytes{reinterpret_cast<char const*>(&id),
                                 sizeof(id)};
    constexpr double steps = 65'536;
    return 0.5 + double(hash64(bytes) >> 48U) / steps;
}

} // namespace

shed_policy::shed_policy(scheduler_settings const& settings)
    : max_queued_per_slot_{settings.max_queued_per_slot},
      early_refusal_factor_{settings.early_refusal_factor},
      min_retry_after_{settings.min_retry_after},
      max_retry_after_{settings.max_retry_after}
{}

std::size_t shed_policy::max_queued(unsigned slots) const
{
    return std::max(min_queue_bound, std::size_t{slots} * max_queued_per_slot_);
}

bool shed_policy::wait_exceeds_deadline(duration wait, duration left) const
{
    return double(wait.count()) > early_refusal_factor_ * double(left.count());
}

std::chrono::milliseconds shed_policy::retry_after(request_id id,
                                                   duration wait) const
{
    auto const base = std::clamp(wait, 2 * min_retry_after_, max_retry_after_);
    auto const jittered =
        duration{duration::rep(retry_jitter(id) * double(base.count()))};
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::clamp(jittered, min_retry_after_, max_retry_after_));
}

} // namespace medlarstall::scheduling
