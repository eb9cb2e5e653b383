#include <medlarstall/routes/urgency_scale.hpp>

#include <algorithm>
#include <set>

namespace medlarstall::routes {

urgency urgency_of(route const& of, organisation const* caller)
{
    auto const organisation = caller != nullptr
                                  ? caller->priority.value_or(of.priority)
                                  : of.priority;
    return {organisation, of.priority};
}

urgency_scale::urgency_scale(configuration const& content)
{
    std::set<std::uint32_t> of_organisations;
    for (auto const& organisation : content.organisations) {
        if (organisation.priority) {
            of_organisations.insert(*organisation.priority);
        }
    }
    std::set<urgency> order;
    for (auto const& route : content.routes) {
        order.insert(urgency_of(route, nullptr));
        for (auto const priority : of_organisations) {
            order.insert({priority, route.priority});
        }
    }
    order_.assign(order.begin(), order.end());
}

std::uint32_t urgency_scale::rank(urgency const& of) const
{
    auto const place = std::ranges::lower_bound(order_, of);
    return static_cast<std::uint32_t>(place - order_.begin());
}

std::uint32_t urgency_scale::ranks() const
{
    return std::max<std::uint32_t>(static_cast<std::uint32_t>(order_.size()),
                                   1);
}

} // namespace medlarstall::routes
