#include "organisation_limit_tracker.hpp"

namespace medlarstall::scheduling {

bool organisation_limit_tracker::refresh(organisation_index organisation,
                                         time_point now)
{
    if (organisation >= blocked_.size()) {
        blocked_.resize(organisation + 1);
        release_times_.resize(organisation + 1);
    }
    auto const blocked = organisations_.at_limit(organisation, now);
    auto const changed = blocked != blocked_[organisation];
    if (blocked || changed) {
        update_release_time(organisation, now);
        blocked_[organisation] = blocked;
    }
    return changed;
}

bool organisation_limit_tracker::is_blocked(
    organisation_index organisation) const
{
    return organisation < blocked_.size() && blocked_[organisation];
}

std::optional<time_point> organisation_limit_tracker::next_release() const
{
    if (release_order_.empty()) {
        return std::nullopt;
    }
    return release_order_.begin()->first;
}

std::optional<organisation_index>
organisation_limit_tracker::pop_due(time_point now)
{
    if (release_order_.empty() || release_order_.begin()->first > now) {
        return std::nullopt;
    }
    auto const organisation = release_order_.begin()->second;
    release_order_.erase(release_order_.begin());
    release_times_[organisation].reset();
    return organisation;
}

void organisation_limit_tracker::update_release_time(
    organisation_index organisation, time_point now)
{
    auto& release_time = release_times_[organisation];
    auto const next = organisations_.next_start(organisation, now);
    if (next <= now) {
        if (release_time) {
            release_order_.erase({*release_time, organisation});
        }
        release_time.reset();
        return;
    }
    if (!release_time) {
        release_order_.insert({next, organisation});
    } else if (*release_time != next) {
        auto node = release_order_.extract({*release_time, organisation});
        node.value() = {next, organisation};
        release_order_.insert(std::move(node));
    }
    release_time = next;
}

} // namespace medlarstall::scheduling
