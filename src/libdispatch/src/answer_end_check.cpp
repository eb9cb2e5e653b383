#include <medlarstall/dispatch/answer_end_check.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::dispatch {

char const* name_of(answer_end_evidence evidence)
{
    switch (evidence) {
    case answer_end_evidence::older_connection:
        return "older_connection";
    case answer_end_evidence::new_connection:
        return "new_connection";
    case answer_end_evidence::not_connected:
        return "not_connected";
    case answer_end_evidence::none:
        return "none";
    }
    return "unknown";
}

std::uint64_t answer_end_check::add(answer_end const& end)
{
    ends_.emplace(++last_number_, end);
    return last_number_;
}

void answer_end_check::on_connected(time_point now)
{
    connecting_ = false;
    connected_at_ = now;
}

void answer_end_check::on_not_connected(time_point now)
{
    connecting_ = false;
    failed_at_ = now;
}

/// A connection that has just been established is not closed for being idle, so
/// its close counts for the ends before it as a failure to connect.
void answer_end_check::on_closed()
{
    failed_at_ = std::exchange(connected_at_, std::nullopt);
}

std::optional<answer_end_decision>
answer_end_check::decide(answer_end const& ended,
                         std::optional<time_point> oldest_other,
                         time_point now) const
{
    using enum answer_end_evidence;
    auto const end = ended.read_at;
    auto const age = now - end;
    // A connection of the same process, in any case.
    auto const same_process = [&ended](std::optional<time_point> opened_at) {
        return opened_at &&
               *opened_at <= (ended.is_late ? ended.running_at : ended.read_at);
    };
    auto const has_older = same_process(oldest_other);
    if (ended.is_late && !has_older && !same_process(connected_at_)) {
        return answer_end_decision{.age = age};
    }
    if (has_older && age >= settings_.closing_time) {
        return answer_end_decision{.complete = true,
                                   .evidence = older_connection,
                                   .age = age,
                                   .evidence_age = now - *oldest_other};
    }
    if (connected_at_ &&
        now - std::max(end, *connected_at_) >= settings_.closing_time) {
        return answer_end_decision{.complete = true,
                                   .evidence = *connected_at_ <= end
                                                   ? older_connection
                                                   : new_connection,
                                   .age = age,
                                   .evidence_age = now - *connected_at_};
    }
    if (failed_at_ && !has_older && !connecting_ && !connected_at_ &&
        end <= *failed_at_ + settings_.closing_time) {
        return answer_end_decision{.evidence = not_connected,
                                   .age = age,
                                   .evidence_age = now - *failed_at_};
    }
    if (age >= settings_.max_age) {
        return answer_end_decision{.age = age};
    }
    return std::nullopt;
}

std::vector<answer_end_decision>
answer_end_check::take_decided(std::optional<time_point> oldest_other,
                               time_point now)
{
    std::vector<answer_end_decision> decisions;
    auto const count = ends_.size();
    for (auto const& [number, end] : ends_) {
        if (auto decision = decide(end, oldest_other, now)) {
            decision->end = number;
            decision->checked_together = count;
            decisions.push_back(*decision);
        }
    }
    for (auto const& decision : decisions) {
        ends_.erase(decision.end);
    }
    return decisions;
}

bool answer_end_check::needs_connection(
    std::optional<time_point> oldest_other) const
{
    return !connecting_ && !connected_at_ &&
           std::ranges::any_of(ends_, [&](auto const& item) {
               return !oldest_other || *oldest_other > item.second.read_at;
           });
}

} // namespace medlarstall::dispatch
