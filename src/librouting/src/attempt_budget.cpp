#include <medlarstall/routing/attempt_budget.hpp>

#include <algorithm>
#include <chrono>

namespace medlarstall::routing {

attempt_budget::attempt_budget(attempt_budget_settings settings)
    : settings_{settings},
      balance_{std::min(settings.initial, settings.capacity)}
{}

void attempt_budget::deposit()
{
    balance_ = std::min(settings_.capacity, balance_ + settings_.ratio);
}

void attempt_budget::refill(time_point now)
{
    if (refilled_at_ != time_point{}) {
        std::chrono::duration<double> const gap = now - refilled_at_;
        balance_ = std::min(settings_.capacity,
                            balance_ + settings_.per_second * gap.count());
    }
    refilled_at_ = now;
}

bool attempt_budget::try_draw(time_point now)
{
    refill(now);
    if (balance_ < 1.0) {
        return false;
    }
    balance_ -= 1.0;
    return true;
}

} // namespace medlarstall::routing
