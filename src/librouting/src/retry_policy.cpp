#include <medlarstall/routing/retry_policy.hpp>

#include <algorithm>

namespace medlarstall::routing {

namespace {

/// Upper bound of the exponent of the backoff, which keeps the shift in range.
constexpr std::uint32_t max_exponent = 16;

/// Converts 64 random bits into a number from 0 to 1, without 1 itself.
double to_unit_interval(std::uint64_t random)
{
    return static_cast<double>(random >> 11U) * 0x1.0p-53;
}

retry_decision give_up(give_up_reason reason)
{
    return {retry_action::give_up, std::chrono::milliseconds{0}, reason};
}

} // namespace

retry_policy::retry_policy(retry_settings settings)
    : settings_{settings}, budget_{settings.budget},
      immediate_retry_budget_{settings.immediate_retry_budget}
{}

void retry_policy::on_request()
{
    budget_.deposit();
    immediate_retry_budget_.deposit();
}

std::chrono::milliseconds
retry_policy::backoff_delay(std::uint32_t exponent, std::uint64_t random) const
{
    auto const doubled =
        settings_.initial_delay * (1U << std::min(exponent, max_exponent));
    auto const bounded =
        std::min<std::chrono::milliseconds>(doubled, settings_.max_delay);
    auto const jitter_factor = 0.5 + 0.5 * to_unit_interval(random);
    return std::chrono::duration_cast<std::chrono::milliseconds>(bounded *
                                                                 jitter_factor);
}

bool retry_policy::leaves_enough_time(scheduling::request const& request,
                                      std::chrono::milliseconds delay,
                                      time_point now) const
{
    return now + delay + settings_.min_time_left < request.deadline;
}

retry_decision retry_policy::decide(scheduling::request const& request,
                                    run_state ran, retry_history& history,
                                    std::uint64_t random, time_point now)
{
    if (ran != run_state::not_run && !request.repeatable) {
        return give_up(give_up_reason::not_repeatable);
    }
    if (!leaves_enough_time(request, std::chrono::milliseconds{0}, now)) {
        return give_up(give_up_reason::deadline);
    }
    if (ran != run_state::not_run) {
        return retry_after_delay(request, history, random, now);
    }
    if (history.immediate_retries < settings_.max_immediate_retries &&
        immediate_retry_budget_.try_withdraw(now)) {
        ++history.immediate_retries;
        history.budget_waits = 0;
        return {retry_action::retry_now};
    }
    return retry_after_delay(request, history, random, now);
}

retry_decision
retry_policy::retry_after_delay(scheduling::request const& request,
                                retry_history& history, std::uint64_t random,
                                time_point now)
{
    if (history.delayed_retries + 1 >= settings_.max_attempts) {
        return give_up(give_up_reason::attempts_exhausted);
    }
    auto const wait =
        backoff_delay(history.delayed_retries + history.budget_waits, random);
    if (!leaves_enough_time(request, wait, now)) {
        return give_up(give_up_reason::deadline);
    }
    if (!budget_.try_withdraw(now)) {
        ++history.budget_waits;
        return {retry_action::wait_for_budget, wait};
    }
    ++history.delayed_retries;
    history.budget_waits = 0;
    return {retry_action::retry_later, wait};
}

} // namespace medlarstall::routing
