#ifndef MEDLARSTALL_DUTY_SERVER_NUMBERS_HPP
#define MEDLARSTALL_DUTY_SERVER_NUMBERS_HPP

#include <medlarstall/routes/configuration.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace medlarstall::duty {

/// Numbers of backend servers of a service in a data centre.
struct kind_numbers
{
    std::uint32_t regular = 0;
    std::uint32_t reclaimable = 0;

    /// \return number of both kinds
    [[nodiscard]] std::uint32_t sum() const { return regular + reclaimable; }
    bool operator==(kind_numbers const&) const = default;
};

/// Numbers of backend servers of a service, by data centre.
using server_numbers = std::map<std::string, kind_numbers>;

/// \param numbers numbers of backend servers
/// \return number of both kinds in all data centres
[[nodiscard]] std::uint32_t total_of(server_numbers const& numbers);

/// \param numbers numbers of backend servers
/// \return number of those that are not reclaimable, in all data centres
[[nodiscard]] std::uint32_t regular_of(server_numbers const& numbers);

/// \param numbers numbers of backend servers
/// \return what is left if the data centre with the most reclaimable ones loses
///     all of these
[[nodiscard]] std::uint32_t left_after_reclaim(server_numbers const& numbers);

/// \param numbers numbers of backend servers
/// \param scaling prices
/// \return what they cost for each second
[[nodiscard]] double price_of(server_numbers const& numbers,
                              routes::autoscaling const& scaling);

/// What a service needs, in backend servers.
struct server_need
{
    double total = 0;      ///< Servers of both kinds.
    double after_loss = 0; ///< As left_after_reclaim().
    double regular = 0;    ///< Servers that cannot be reclaimed.
};

/// Finds a cheap distribution of backend servers. It takes as few regular ones
/// as the need allows; reclaimable ones are spread evenly over the data
/// centres, so that a reclaim in one of them takes as few as possible.
/// \param need what the service needs
/// \param scaling limits and prices
/// \param available most servers of each kind that can be had, by data centre
/// \return numbers within the limits and what can be had; less than the need if
///     that is impossible
[[nodiscard]] server_numbers place_servers(server_need const& need,
                                           routes::autoscaling const& scaling,
                                           server_numbers const& available);

} // namespace medlarstall::duty

#endif
