#include <medlarstall/routes/urgency_scale.hpp>

#include <algorithm>
#include <set>

namespace medlarstall::routes {

urgency urgency_of(route const& matched, organisation const* caller)
{
    auto const organisation_priority =
        caller != nullptr ? caller->priority.value_or(matched.priority)
                          : matched.priority;
    return {organisation_priority, matched.priority};
}

urgency_scale::urgency_scale(configuration const& content)
{
    std::set<std::uint32_t> organisation_priorities;
    for (auto const& organisation : content.organisations) {
        if (organisation.priority) {
            organisation_priorities.insert(*organisation.priority);
        }
    }
    std::set<urgency> urgencies;
    for (auto const& route : content.routes) {
        urgencies.insert(urgency_of(route, nullptr));
        for (auto const priority : organisation_priorities) {
            urgencies.insert({priority, route.priority});
        }
    }
    sorted_urgencies_.assign(urgencies.begin(), urgencies.end());
}

std::uint32_t urgency_scale::rank(urgency const& level) const
{
    auto const position = std::ranges::lower_bound(sorted_urgencies_, level);
    return static_cast<std::uint32_t>(position - sorted_urgencies_.begin());
}

std::uint32_t urgency_scale::rank_count() const
{
    return std::max<std::uint32_t>(
        static_cast<std::uint32_t>(sorted_urgencies_.size()), 1);
}

} // namespace medlarstall::routes
