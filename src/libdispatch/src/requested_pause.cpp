#include <medlarstall/dispatch/requested_pause.hpp>

#include <algorithm>

namespace medlarstall::dispatch {

void requested_pause::note(duration wanted, time_point now)
{
    if (wanted <= duration::zero()) {
        return;
    }
    auto const ends = now + std::min<duration>(wanted, settings_.longest);
    ends_ = std::max(ends, ends_.value_or(ends));
}

duration requested_pause::left(time_point now) const
{
    return ends_ && now < *ends_ ? *ends_ - now : duration::zero();
}

bool requested_pause::admits(double in_flight, time_point now) const
{
    if (!ends_ || now >= *ends_ + settings_.ramp) {
        return true;
    }
    if (now < *ends_) {
        return false;
    }
    auto const steps = (now - *ends_) / settings_.step;
    return in_flight < static_cast<double>(steps + 1);
}

} // namespace medlarstall::dispatch
