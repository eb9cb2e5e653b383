#include <medlarstall/membership/flap_damping.hpp>

#include <algorithm>
#include <cmath>

namespace medlarstall::membership {

namespace {

using seconds = std::chrono::duration<double>;

constexpr double forgotten_penalty = 0.05;

} // namespace

flap_damping::flap_damping(damping_settings settings) : settings_{settings} {}

double flap_damping::penalty_at(history const& past, time_point now) const
{
    auto const halvings = seconds{now - past.updated}.count() /
                          seconds{settings_.half_life}.count();
    return past.penalty * std::exp2(-halvings);
}

void flap_damping::on_lost(std::string const& daemon, time_point now)
{
    std::erase_if(histories_, [this, now](auto const& item) {
        return penalty_at(item.second, now) < forgotten_penalty;
    });
    auto& past = histories_[daemon];
    past = {penalty_at(past, now) + 1.0, now};
}

bool flap_damping::admits(std::string const& daemon, time_point since,
                          time_point now) const
{
    auto const found = histories_.find(daemon);
    if (found == histories_.end()) {
        return true;
    }
    // The penalty at the loss counts, so that the hold does not melt away
    // while it lasts.
    auto const doublings = std::max(found->second.penalty - 1.0, 0.0);
    auto const hold =
        std::min(seconds{settings_.first_hold}.count() * std::exp2(doublings),
                 seconds{settings_.longest_hold}.count());
    return seconds{now - since}.count() >= hold;
}

} // namespace medlarstall::membership
