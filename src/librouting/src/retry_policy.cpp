#include <medlarstall/routing/retry_policy.hpp>

#include <algorithm>

namespace medlarstall::routing {

namespace {

constexpr std::uint32_t largest_exponent = 16;

/// \return a number from 0 to 1
double unit_interval(std::uint64_t random)
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
      bounce_budget_{settings.bounce_budget}
{}

void retry_policy::note_request()
{
    budget_.deposit();
    bounce_budget_.deposit();
}

std::chrono::milliseconds retry_policy::delay(std::uint32_t exponent,
                                              std::uint64_t random) const
{
    auto const doubled =
        settings_.first_delay * (1U << std::min(exponent, largest_exponent));
    auto const longest =
        std::min<std::chrono::milliseconds>(doubled, settings_.longest_delay);
    auto const part = 0.5 + 0.5 * unit_interval(random);
    return std::chrono::duration_cast<std::chrono::milliseconds>(longest *
                                                                 part);
}

bool retry_policy::in_time(scheduling::request const& request,
                           std::chrono::milliseconds delay,
                           time_point now) const
{
    return now + delay + settings_.least_time_left < request.deadline;
}

retry_decision retry_policy::decide(scheduling::request const& request,
                                    run_state ran, retry_history& history,
                                    std::uint64_t random, time_point now)
{
    if (ran != run_state::not_run && !request.repeatable) {
        return give_up(give_up_reason::not_repeatable);
    }
    if (!in_time(request, std::chrono::milliseconds{0}, now)) {
        return give_up(give_up_reason::deadline);
    }
    if (ran != run_state::not_run) {
        return retry_after_run(request, history, random, now);
    }
    if (history.bounces < settings_.bounces && bounce_budget_.try_draw(now)) {
        ++history.bounces;
        history.waits = 0;
        return {retry_action::retry_now};
    }
    return retry_after_run(request, history, random, now);
}

retry_decision retry_policy::retry_after_run(scheduling::request const& request,
                                             retry_history& history,
                                             std::uint64_t random,
                                             time_point now)
{
    if (history.attempts + 1 >= settings_.attempts) {
        return give_up(give_up_reason::attempts);
    }
    auto const pause = delay(history.attempts + history.waits, random);
    if (!in_time(request, pause, now)) {
        return give_up(give_up_reason::deadline);
    }
    if (!budget_.try_draw(now)) {
        ++history.waits;
        return {retry_action::ask_again, pause};
    }
    ++history.attempts;
    history.waits = 0;
    return {retry_action::retry_later, pause};
}

} // namespace medlarstall::routing
