#include <medlarstall/emulator/outcome_record.hpp>

#include <algorithm>

namespace medlarstall::emulator {

void outcome_record::note_event(std::size_t call, duration since, bool whole)
{
    auto& seen = outcomes_[call];
    if (seen.end != ending::open) {
        return;
    }
    if (!seen.first_event) {
        seen.first_event = since;
    } else {
        seen.longest_pause =
            std::max(seen.longest_pause, since - *seen.last_event);
    }
    seen.last_event = since;
    ++seen.events;
    if (whole) {
        seen.end = ending::whole;
    }
}

void outcome_record::note_refusal(std::size_t call, bool last)
{
    auto& seen = outcomes_[call];
    ++seen.refusals;
    if (last && seen.end == ending::open) {
        seen.end = ending::refused;
    }
}

void outcome_record::note_broken(std::size_t call)
{
    if (outcomes_[call].end == ending::open) {
        outcomes_[call].end = ending::broken;
    }
}

} // namespace medlarstall::emulator
