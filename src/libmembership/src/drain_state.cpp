#include <medlarstall/membership/drain_state.hpp>

namespace medlarstall::membership {

drain_state::drain_state(drain_settings settings) : settings_{settings} {}

void drain_state::start(time_point now)
{
    if (phase_ != drain_phase::serving) {
        return;
    }
    phase_ = drain_phase::unlisted;
    started_ = now;
    last_open_ = now;
}

drain_phase drain_state::update(std::size_t open, time_point now)
{
    if (phase_ == drain_phase::serving || phase_ == drain_phase::finished) {
        return phase_;
    }
    if (open > 0) {
        last_open_ = now;
    }
    auto const expired = settings_.directory_ttl + settings_.margin;
    if (phase_ == drain_phase::unlisted && now - started_ >= expired) {
        phase_ = drain_phase::finishing;
        last_open_ = now;
    }
    if (phase_ == drain_phase::finishing &&
        now - last_open_ >= settings_.quiet) {
        phase_ = drain_phase::finished;
    } else if (now - started_ >= settings_.longest) {
        cut_off_ = open > 0;
        phase_ = drain_phase::finished;
    }
    return phase_;
}

} // namespace medlarstall::membership
