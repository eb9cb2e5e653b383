#ifndef MEDLARSTALL_MEMBERSHIP_ENTRY_DIRECTORY_HPP
#define MEDLARSTALL_MEMBERSHIP_ENTRY_DIRECTORY_HPP

#include <medlarstall/membership/instances.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarstall::membership {

/// A live daemon as far as the directory is concerned. Plain data.
struct entry_candidate
{
    daemon_info info;      ///< A leaving one is left out.
    unsigned load = 0;     ///< From 0 to full_load; 0 if it is not known.
    bool draining = false; ///< A draining one is left out.
};

/// An address that a caller may use. Plain data.
struct directory_entry
{
    std::string id;
    std::string address; ///< IP number.
    std::uint16_t port = 0;
    std::string data_centre;
    unsigned weight = 0; ///< Part of the connections, against the others.

    bool operator==(directory_entry const&) const = default;
};

/// Settings of list_entries().
struct directory_settings
{
    std::size_t most = 8;      ///< Entries in an answer.
    std::size_t least_far = 1; ///< Of them in other data centres, if any.
    std::chrono::milliseconds ttl{5000}; ///< Time for which callers keep it.
};

/// Answers which entry daemons a caller should use: near ones first, loaded
/// ones with less weight, leaving and draining ones not at all unless there
/// are no others. Callers get unlike selections, so that each daemon is listed
/// to some.
/// \param candidates live daemons
/// \param data_centre data centre of the caller, or of the daemon asked
/// \param selection random number of the call
/// \param settings sizes
/// \return entries, the best first; empty only without candidates
[[nodiscard]] std::vector<directory_entry>
list_entries(std::vector<entry_candidate> const& candidates,
             std::string const& data_centre, std::uint64_t selection,
             directory_settings const& settings = {});

} // namespace medlarstall::membership

#endif
