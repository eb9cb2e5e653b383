#include <medlarstall/placement/replica_target.hpp>

#include <algorithm>

namespace medlarstall::placement {

namespace {

/// Notes since when a condition holds.
void follow(bool holds, bool& held, time_point& since, time_point now)
{
    if (holds && !held) {
        since = now;
    }
    held = holds;
}

} // namespace

replica_target::replica_target(replica_settings settings) : settings_{settings}
{}

unsigned replica_target::update(double use, unsigned least, unsigned most,
                                time_point now)
{
    follow(use > settings_.grow_above, high_, high_since_, now);
    follow(use < settings_.shrink_below, low_, low_since_, now);
    if (high_ && now - high_since_ >= settings_.grow_after) {
        ++replicas_;
        high_since_ = now;
    } else if (low_ && now - low_since_ >= settings_.shrink_after &&
               replicas_ > 0) {
        --replicas_;
        low_since_ = now;
    }
    replicas_ = std::clamp(replicas_, std::min(least, most), most);
    return replicas_;
}

} // namespace medlarstall::placement
