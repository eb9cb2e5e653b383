#include <medlarstall/placement/weight_budget.hpp>

#include <algorithm>

namespace medlarstall::placement {

weight_budget::weight_budget(weight_settings settings) : settings_{settings} {}

void weight_budget::on_ticket(ticket_record const& ticket, wall_time written,
                              time_point now)
{
    last_turn_ = std::max(written, last_turn_ + settings_.interval);
    // The record was written before it was read, so this is not too early.
    turns_.insert_or_assign(ticket.ticket, now + (last_turn_ - written));
}

std::optional<time_point>
weight_budget::turn_of(std::string const& ticket) const
{
    auto const found = turns_.find(ticket);
    return found == turns_.end() ? std::nullopt : std::optional{found->second};
}

} // namespace medlarstall::placement
