#include <medlarstall/emulator/outcome_recorder.hpp>

#include <algorithm>

namespace medlarstall::emulator {

void outcome_recorder::record_event(std::size_t call, duration elapsed,
                                    bool is_last)
{
    auto& observed = outcomes_[call];
    if (observed.ending != request_ending::pending) {
        return;
    }
    if (!observed.first_event) {
        observed.first_event = elapsed;
    } else {
        observed.longest_pause =
            std::max(observed.longest_pause, elapsed - *observed.last_event);
    }
    observed.last_event = elapsed;
    ++observed.events;
    if (is_last) {
        observed.ending = request_ending::completed;
    }
}

void outcome_recorder::record_refusal(std::size_t call, bool is_final)
{
    auto& observed = outcomes_[call];
    ++observed.refusals;
    if (is_final && observed.ending == request_ending::pending) {
        observed.ending = request_ending::refused;
    }
}

void outcome_recorder::record_failure(std::size_t call)
{
    if (outcomes_[call].ending == request_ending::pending) {
        outcomes_[call].ending = request_ending::failed;
    }
}

} // namespace medlarstall::emulator
