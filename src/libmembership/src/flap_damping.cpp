#include <medlarstall/membership/flap_damping.hpp>

#include <algorithm>
#include <cmath>

namespace medlarstall::membership {

namespace {

using seconds = std::chrono::duration<double>;

/// The history of a daemon is removed once its penalty falls below this value.
constexpr double negligible_penalty = 0.05;

} // namespace

flap_damping::flap_damping(damping_settings settings) : settings_{settings} {}

double flap_damping::penalty_at(loss_history const& history,
                                time_point now) const
{
    auto const halvings = seconds{now - history.updated}.count() /
                          seconds{settings_.half_life}.count();
    return history.penalty * std::exp2(-halvings);
}

void flap_damping::on_lost(std::string const& daemon, time_point now)
{
    std::erase_if(histories_, [this, now](auto const& item) {
        return penalty_at(item.second, now) < negligible_penalty;
    });
    auto& history = histories_[daemon];
    history = {penalty_at(history, now) + 1.0, now};
}

bool flap_damping::may_rejoin(std::string const& daemon, time_point since,
                              time_point now) const
{
    auto const found = histories_.find(daemon);
    if (found == histories_.end()) {
        return true;
    }
    // Uses the penalty at the time of the last loss. With the decayed penalty,
    // the hold time would get shorter while the daemon is being held out.
    auto const doublings = std::max(found->second.penalty - 1.0, 0.0);
    auto const hold =
        std::min(seconds{settings_.initial_hold}.count() * std::exp2(doublings),
                 seconds{settings_.max_hold}.count());
    return seconds{now - since}.count() >= hold;
}

} // namespace medlarstall::membership
