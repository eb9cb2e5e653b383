#ifndef MEDLARSTALL_ROUTES_URGENCY_SCALE_HPP
#define MEDLARSTALL_ROUTES_URGENCY_SCALE_HPP

#include <medlarstall/routes/configuration.hpp>

#include <compare>
#include <cstdint>
#include <vector>

namespace medlarstall::routes {

/// How urgent a request is: by its organisation first, then by its route, so
/// that requests of organisations with the same priority still differ.
struct urgency
{
    std::uint32_t organisation = 0; ///< Priority; 0 is the most urgent.
    std::uint32_t route = 0;        ///< Priority; 0 is the most urgent.

    auto operator<=>(urgency const&) const = default;
};

/// \param of route of a request
/// \param caller organisation of its caller, or nullptr
/// \return its urgency; without a priority of the organisation that of the
///     route counts for both
[[nodiscard]] urgency urgency_of(route const& of, organisation const* caller);

/// Numbers every urgency that a configuration allows, for backend servers that
/// know a single number. Immutable; owned by the route table.
class urgency_scale
{
public:
    /// \param content configuration whose priorities are numbered
    explicit urgency_scale(configuration const& content);

    /// \param of urgency of a request
    /// \return its position among all; 0 is the most urgent
    [[nodiscard]] std::uint32_t rank(urgency const& of) const;

    /// \return number of ranks, at least 1
    [[nodiscard]] std::uint32_t ranks() const;

private:
    std::vector<urgency> order_;
};

} // namespace medlarstall::routes

#endif
