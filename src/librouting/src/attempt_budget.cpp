#include <medlarstall/routing/attempt_budget.hpp>

#include <algorithm>
#include <chrono>

namespace medlarstall::routing {

attempt_budget::attempt_budget(attempt_budget_settings settings)
    : settings_{settings},
      balance_{std::min(settings.initial_balance, settings.capacity)}
{}

void attempt_budget::deposit()
{
    balance_ = std::min(settings_.capacity, balance_ + settings_.per_request);
}

void attempt_budget::refill(time_point now)
{
    if (last_refill_ != time_point{}) {
        std::chrono::duration<double> const elapsed = now - last_refill_;
        balance_ = std::min(settings_.capacity,
                            balance_ + settings_.per_second * elapsed.count());
    }
    last_refill_ = now;
}

bool attempt_budget::try_withdraw(time_point now)
{
    refill(now);
    if (balance_ < 1.0) {
        return false;
    }
    balance_ -= 1.0;
    return true;
}

} // namespace medlarstall::routing
