#include "organisation_gate.hpp"

namespace medlarstall::scheduling {

bool organisation_gate::refresh(organisation_index organisation, time_point now)
{
    if (organisation >= blocked_.size()) {
        blocked_.resize(organisation + 1);
        timers_.resize(organisation + 1);
    }
    auto const blocked = organisations_.at_limit(organisation, now);
    auto const changed = blocked != blocked_[organisation];
    if (blocked || changed) {
        set_timer(organisation, now);
        blocked_[organisation] = blocked;
    }
    return changed;
}

bool organisation_gate::blocked(organisation_index organisation) const
{
    return organisation < blocked_.size() && blocked_[organisation];
}

std::optional<time_point> organisation_gate::next() const
{
    if (order_.empty()) {
        return std::nullopt;
    }
    return order_.begin()->first;
}

std::optional<organisation_index> organisation_gate::take_due(time_point now)
{
    if (order_.empty() || order_.begin()->first > now) {
        return std::nullopt;
    }
    auto const organisation = order_.begin()->second;
    order_.erase(order_.begin());
    timers_[organisation].reset();
    return organisation;
}

void organisation_gate::set_timer(organisation_index organisation,
                                  time_point now)
{
    auto& timer = timers_[organisation];
    auto const next = organisations_.next_start(organisation, now);
    if (next <= now) {
        if (timer) {
            order_.erase({*timer, organisation});
        }
        timer.reset();
        return;
    }
    if (!timer) {
        order_.insert({next, organisation});
    } else if (*timer != next) {
        auto node = order_.extract({*timer, organisation});
        node.value() = {next, organisation};
        order_.insert(std::move(node));
    }
    timer = next;
}

} // namespace medlarstall::scheduling
