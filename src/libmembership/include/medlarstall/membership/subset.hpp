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
    /// Lower limit for the backend servers of each group in a subset, as far
    /// as the group has so many.
    std::size_t min_servers_per_group = 4;
    /// Lower limit for the entry daemons that know a backend server, as far as
    /// so many exist.
    std::size_t min_entries_per_server = 3;
    /// With at most this number of entry daemons, each of them gets all backend
    /// servers of the groups within full_group_max_servers.
    std::size_t full_group_max_entries = 24;
    /// Size up to which a group is given to the entry daemons as a whole.
    std::size_t full_group_max_servers = 64;
    /// Hash weight of backend servers in the data centre of the entry daemon;
    /// others have the weight 1.
    double same_data_centre_weight = 3.0;
};

/// Settings of summary_interval().
struct summary_settings
{
    double bytes_per_second = 1'200.0; ///< Budget of one daemon for sending.
    std::chrono::milliseconds min_interval{500};
    std::chrono::milliseconds max_interval{15'000};
};

/// Computes how often an owner sends summaries unprompted. Answers also carry
/// the summary of their backend server, so the summaries of backend servers in
/// use are more recent than this interval.
/// \param bytes size of one round: all messages of this owner, including the
///     overhead of the transport
/// \param settings budget and limits
/// \return time between the starts of two rounds
[[nodiscard]] std::chrono::milliseconds
summary_interval(std::size_t bytes, summary_settings const& settings = {});

/// Maps the id of each entry daemon to the sorted ids of the backend servers
/// whose summaries it gets.
using subset_map = std::map<std::string, std::vector<std::string>>;

/// Chooses the backend servers whose summaries each entry daemon gets. With
/// subsets, the number of summaries does not grow with the product of entry
/// daemons and backend servers. Each entry daemon gets several backend servers
/// of each group, and each backend server is known to several entry daemons.
/// Equal arguments give equal subsets, and a small change of the arguments
/// changes few of them.
/// \param entries live daemons, in any order
/// \param servers backend servers that are not leaving, in any order
/// \param settings sizes of the subsets
/// \return one subset for each entry daemon
[[nodiscard]] subset_map
choose_subsets(std::vector<daemon_info> const& entries,
               std::vector<backend_server_info> const& servers,
               subset_settings settings = {});

} // namespace medlarstall::membership

#endif
