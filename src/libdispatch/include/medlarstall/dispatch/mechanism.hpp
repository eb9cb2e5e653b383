#ifndef MEDLARSTALL_DISPATCH_MECHANISM_HPP
#define MEDLARSTALL_DISPATCH_MECHANISM_HPP

#include <set>
#include <string>
#include <vector>

namespace medlarstall::dispatch {

/// Mechanisms of placement and admission that can be disabled one by one, so
/// that an ablation measurement shows what each of them contributes.
enum class mechanism
{
    admission, ///< Refuses requests under overload.
    homes,     ///< All daemons prefer the same servers for a new prompt.
    copies,    ///< Copies prompt parts between backend servers.
    /// Adds a cost if another backend server has more of the prompt in its
    /// cache.
    affinity,
    sensitivity, ///< Separates pause-sensitive streams from long prompts.
    slowness,    ///< Learns the speed of each backend server.
    failures,    ///< Avoids servers that fail more often than others.
    memory,      ///< Adds a cost to backend servers with nearly full memory.
    /// Holds early requests until configuration and backend servers are known.
    early_callers
};

/// A set of mechanisms that are disabled; empty except in measurements.
using mechanism_set = std::set<mechanism>;

/// \return names of all mechanisms as used on the command line, in the order
///     of the enumerators
[[nodiscard]] std::vector<std::string> const& mechanism_names();

/// \param name one of mechanism_names()
/// \return the mechanism of that name; any other name is a programming error
[[nodiscard]] mechanism mechanism_of(std::string const& name);

} // namespace medlarstall::dispatch

#endif
