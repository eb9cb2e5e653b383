#include "simulation_step.hpp"

#include <cmath>

namespace medlarstall::claim {

void simulation_step::perform(claim_simulation& simulation) const
{
    auto const daemon = first % claim_simulation::daemons;
    auto const stream = second % claim_simulation::streams;
    switch (kind) {
    case step_kind::submit_call:
        return simulation.submit_call(daemon, second % claim_simulation::keys,
                                      third % 7 == 0, duration_from(2, 200.0));
    case step_kind::complete_append:
        return simulation.complete_append(daemon, second,
                                          append_result_from_argument());
    case step_kind::apply_late_append:
        return simulation.apply_late_append(second);
    case step_kind::read:
        return simulation.read(daemon, stream, 1 + third % 8);
    case step_kind::fail_read:
        return simulation.fail_read(daemon, stream);
    case step_kind::deliver_forward:
        return simulation.deliver_forward(second, third % 5 == 0);
    case step_kind::dispatch_attempt:
        return simulation.dispatch_attempt(daemon, second, third);
    case step_kind::finish_attempt:
        return simulation.finish_attempt(daemon, second, third % 3 != 0);
    case step_kind::cancel_call:
        return simulation.cancel_call(daemon, second);
    case step_kind::pause:
        return simulation.pause(daemon, third % 4 == 0);
    case step_kind::restart:
        return simulation.restart(daemon);
    case step_kind::expire:
        return simulation.expire(stream, duration_from(2, 20.0));
    case step_kind::set_preferred_writer:
        return simulation.set_preferred_writer(stream, daemon);
    case step_kind::advance:
        return simulation.advance(duration_from(4, 1e10));
    }
}

std::chrono::milliseconds simulation_step::duration_from(int power,
                                                         double scale) const
{
    return std::chrono::milliseconds{1 + int(std::pow(third, power) / scale)};
}

append_result simulation_step::append_result_from_argument() const
{
    switch (third % 10) {
    case 0:
        return append_result::failed;
    case 1:
        return append_result::reply_lost;
    case 2:
        return append_result::late_effect;
    case 3:
        return append_result::request_lost;
    default:
        return append_result::succeeded;
    }
}

} // namespace medlarstall::claim
