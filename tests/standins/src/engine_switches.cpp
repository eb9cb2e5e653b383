#include <medlarstall/standins/engine_standin.hpp>

#include "switch_reader.hpp"

namespace medlarstall::standins {

status read_switches(nlohmann::json const& object, engine_switches& switches)
{
    auto changed = switches;
    switch_reader reader{object};
    reader.read("slow", changed.slow);
    reader.read("down", changed.down);
    reader.read("stopping", changed.stopping);
    reader.read("crash_marker", changed.crash_marker);
    reader.read_ms("restart_after_ms", changed.restart_after);
    reader.read("duplicate_every", changed.duplicate_every);
    reader.read("delay_every", changed.delay_every);
    reader.read("cross_every", changed.cross_every);
    reader.read("lose_every", changed.lose_every);
    reader.read("lose_finish", changed.lose_finish);
    auto outcome = reader.finish();
    if (!failed(outcome)) {
        switches = changed;
    }
    return outcome;
}

} // namespace medlarstall::standins
