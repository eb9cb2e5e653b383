#ifndef MEDLARSTALL_ROUTES_URGENCY_SCALE_HPP
#define MEDLARSTALL_ROUTES_URGENCY_SCALE_HPP

#include <medlarstall/routes/configuration.hpp>

#include <compare>
#include <cstdint>
#include <vector>

namespace medlarstall::routes {

/// The priority of a request, ordered by its organisation first and then by its
/// route, so that requests of one organisation still differ.
struct urgency
{
    std::uint32_t organisation = 0; ///< Its priority; 0 is the most urgent.
    std::uint32_t route = 0;        ///< Its priority; 0 is the most urgent.

    auto operator<=>(urgency const&) const = default;
};

/// \param matched route of a request
/// \param caller organisation of its caller, or nullptr if it is unknown
/// \return urgency of the request; if the organisation has no priority, that of
///     the route is used for both
[[nodiscard]] urgency urgency_of(route const& matched,
                                 organisation const* caller);

/// Maps every urgency that a configuration allows to one number, as backend
/// servers take a single priority. Immutable, and owned by the route table.
class urgency_scale
{
public:
    /// \param content configuration with the priorities to be ranked
    explicit urgency_scale(configuration const& content);

    /// \param level urgency of a request
    /// \return its position in the order of all urgencies; 0 is the most urgent
    [[nodiscard]] std::uint32_t rank(urgency const& level) const;

    /// \return number of different ranks, at least 1
    [[nodiscard]] std::uint32_t rank_count() const;

private:
    std::vector<urgency> sorted_urgencies_;
};

} // namespace medlarstall::routes

#endif
