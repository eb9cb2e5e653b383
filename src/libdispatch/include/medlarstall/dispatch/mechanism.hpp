#ifndef MEDLARSTALL_DISPATCH_MECHANISM_HPP
#define MEDLARSTALL_DISPATCH_MECHANISM_HPP

#include <set>
#include <string>
#include <vector>

namespace medlarstall::dispatch {

/// Parts of the decisions that can be left out to measure what they are worth.
enum class mechanism
{
    admission,    ///< Refusals under overload.
    homes,        ///< The same few servers first for a new prompt.
    copies,       ///< Prompt parts copied between backend servers.
    affinity,     ///< The price of reading what another one keeps.
    sensitivity,  ///< Streams that bear no pauses kept apart.
    slowness,     ///< Speed learned for each backend server.
    failures,     ///< Avoidance of those that fail more than others.
    memory,       ///< The price of nearly full memory.
    early_callers ///< Waiting until the fleet is known.
};

/// The mechanisms that are left out; none outside of measurements.
using left_out = std::set<mechanism>;

/// \return names of all mechanisms, in their order
[[nodiscard]] std::vector<std::string> const& mechanism_names();

/// \param name name of a mechanism
/// \return the mechanism, which must exist
[[nodiscard]] mechanism mechanism_of(std::string const& name);

} // namespace medlarstall::dispatch

#endif
