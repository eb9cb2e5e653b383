#ifndef MEDLARSTALL_MEMBERSHIP_SUBSET_HPP
#define MEDLARSTALL_MEMBERSHIP_SUBSET_HPP

#include <medlarstall/membership/instances.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace medlarstall::membership {

/// Settings of choose_subsets().
struct subset_settings
{
    std::size_t least_servers = 4; ///< Of a group, for each entry daemon.
    std::size_t least_entries = 3; ///< For each backend server.
    std::size_t few_entries = 24;  ///< So many entry daemons get all servers
                                   ///< of a group of at most whole_group.
    std::size_t whole_group = 64;
    double same_data_centre = 3.0; ///< Weight of backend servers that are
                                   ///< near.
};

/// Settings of summary_interval().
struct summary_settings
{
    double bytes_a_second = 1'200.0; ///< That a daemon sends.
    std::chrono::milliseconds least{500};
    std::chrono::milliseconds most{15'000};
};

/// Chooses how often an owner sends summaries that nobody asked for. Answers
/// carry the summary of their backend server as well, so those in use are
/// known better than this.
/// \param bytes bytes of one round: all messages of this owner, with what
///     transports add
/// \param settings budget
/// \return time between rounds
[[nodiscard]] std::chrono::milliseconds
summary_interval(std::size_t bytes, summary_settings const& settings = {});

/// For each entry daemon the backend servers whose summaries it gets, by ids.
using subset_map = std::map<std::string, std::vector<std::string>>;

/// Chooses which summaries go to which entry daemon, so that their number does
/// not grow with the product of both: each entry daemon gets several backend
/// servers of each group, and each backend server is known to several entry
/// daemons. Equal arguments give equal subsets, and a change moves little.
/// \param entries live daemons, in any order
/// \param servers backend servers that are not leaving, in any order
/// \param settings sizes
/// \return for each entry daemon the ids in order
[[nodiscard]] subset_map
choose_subsets(std::vector<daemon_info> const& entries,
               std::vector<backend_server_info> const& servers,
               subset_settings settings = {});

} // namespace medlarstall::membership

#endif
