#include "world_step.hpp"

#include <cmath>

namespace medlarstall::claim {

void world_step::take(claim_world& world) const
{
    auto const daemon = first % claim_world::daemons;
    auto const stream = second % claim_world::streams;
    switch (kind) {
    case step_kind::call:
        return world.call_key(daemon, second % claim_world::keys,
                              third % 7 == 0, span(2, 200.0));
    case step_kind::append:
        return world.settle_append(daemon, second, fate());
    case step_kind::late_effect:
        return world.take_late_effect(second);
    case step_kind::read:
        return world.read(daemon, stream, 1 + third % 8);
    case step_kind::fail_read:
        return world.fail_read(daemon, stream);
    case step_kind::forward:
        return world.deliver_forward(second, third % 5 == 0);
    case step_kind::run:
        return world.run_attempt(daemon, second, third);
    case step_kind::finish:
        return world.finish_run(daemon, second, third % 3 != 0);
    case step_kind::cancel:
        return world.cancel_call(daemon, second);
    case step_kind::pause:
        return world.pause(daemon, third % 4 == 0);
    case step_kind::restart:
        return world.restart(daemon);
    case step_kind::expire:
        return world.expire(stream, span(2, 20.0));
    case step_kind::prefer:
        return world.prefer(stream, daemon);
    case step_kind::advance:
        return world.advance(span(4, 1e10));
    }
}

std::chrono::milliseconds world_step::span(int power, double scale) const
{
    return std::chrono::milliseconds{1 + int(std::pow(third, power) / scale)};
}

append_fate world_step::fate() const
{
    switch (third % 10) {
    case 0:
        return append_fate::failed;
    case 1:
        return append_fate::reply_lost;
    case 2:
        return append_fate::effect_late;
    case 3:
        return append_fate::request_lost;
    default:
        return append_fate::done;
    }
}

} // namespace medlarstall::claim
