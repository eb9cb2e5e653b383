#include <medlarstall/gateway/process_queries.hpp>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Shortest time between the end of a query and the next one.
constexpr milliseconds min_pause{150};
/// A backend server that does not state it is not asked again for this long.
constexpr seconds unstated_pause{20};
/// Time after which a query is forgotten.
constexpr seconds query_lifetime{60};

} // namespace

char const* name_of(query_outcome outcome)
{
    switch (outcome) {
    case query_outcome::stated:
        return "stated";
    case query_outcome::refused:
        return "refused";
    case query_outcome::unstated:
        return "unstated";
    case query_outcome::unanswered:
        return "unanswered";
    }
    return "unknown";
}

bool process_queries::try_begin(std::string const& id, time_point now)
{
    auto const [position, added] = queries_.try_emplace(id);
    auto& known = position->second;
    auto const too_early = known.not_before && now < *known.not_before;
    if (!added && (known.in_progress || too_early)) {
        return false;
    }
    known.in_progress = true;
    known.began_at = now;
    return true;
}

void process_queries::on_ended(std::string_view id, query_outcome outcome,
                               time_point now)
{
    auto const found = queries_.find(id);
    if (found == queries_.end()) {
        return;
    }
    auto& known = found->second;
    known.in_progress = false;
    known.outcome = outcome;
    known.ended_began_at = known.began_at;
    known.not_before =
        now + (outcome == query_outcome::unstated ? duration{unstated_pause}
                                                  : duration{min_pause});
}

bool process_queries::ended_since(std::string_view id, time_point since) const
{
    auto const found = queries_.find(id);
    if (found == queries_.end()) {
        return false;
    }
    auto const& last = found->second;
    return (last.outcome == query_outcome::stated ||
            last.outcome == query_outcome::refused) &&
           last.ended_began_at >= since;
}

bool process_queries::refused_since(std::string_view id, time_point since) const
{
    auto const found = queries_.find(id);
    return found != queries_.end() &&
           found->second.outcome == query_outcome::refused &&
           found->second.ended_began_at >= since;
}

bool process_queries::is_unstated(std::string_view id) const
{
    auto const found = queries_.find(id);
    return found != queries_.end() &&
           found->second.outcome == query_outcome::unstated;
}

void process_queries::expire(time_point now)
{
    std::erase_if(queries_, [now](auto const& item) {
        return !item.second.in_progress &&
               now - item.second.began_at > query_lifetime;
    });
}

} // namespace medlarstall::gateway
