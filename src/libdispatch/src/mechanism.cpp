#include <medlarstall/dispatch/mechanism.hpp>

#include <algorithm>
#include <cassert>

namespace medlarstall::dispatch {

std::vector<std::string> const& mechanism_names()
{
    static std::vector<std::string> const names = {
        "admission", "homes",    "copies", "affinity",     "sensitivity",
        "slowness",  "failures", "memory", "early-callers"};
    return names;
}

mechanism mechanism_of(std::string const& name)
{
    auto const& names = mechanism_names();
    auto const found = std::ranges::find(names, name);
    assert(found != names.end());
    return static_cast<mechanism>(found - names.begin());
}

} // namespace medlarstall::dispatch
