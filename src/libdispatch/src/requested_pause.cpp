#include <medlarstall/dispatch/requested_pause.hpp>

#include <algorithm>

namespace medlarstall::dispatch {

void requested_pause::extend(duration wanted, time_point now)
{
    if (wanted <= duration::zero()) {
        return;
    }
    auto const ends = now + std::min<duration>(wanted, settings_.max_pause);
    ends_at_ = std::max(ends, ends_at_.value_or(ends));
}

duration requested_pause::remaining(time_point now) const
{
    return ends_at_ && now < *ends_at_ ? *ends_at_ - now : duration::zero();
}

bool requested_pause::admits(double in_flight, time_point now) const
{
    if (!ends_at_ || now >= *ends_at_ + settings_.ramp_duration) {
        return true;
    }
    if (now < *ends_at_) {
        return false;
    }
    auto const steps = (now - *ends_at_) / settings_.ramp_step;
    return in_flight < static_cast<double>(steps + 1);
}

} // namespace medlarstall::dispatch
