#include <medlarstall/claim/record_forwarder.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::claim {

record_forwarder::record_forwarder(std::chrono::milliseconds delay,
                                   std::chrono::milliseconds timeout)
    : delay_{delay}, timeout_{timeout}
{}

void record_forwarder::add(record value, time_point now)
{
    if (group_.empty()) {
        group_due_ = now + delay_;
    }
    group_.push_back(std::move(value));
}

std::vector<record> record_forwarder::poll(time_point now)
{
    if (group_.empty() || group_due_ > now || preferred_writer_.empty()) {
        return {};
    }
    for (auto const& value : group_) {
        sent_.push_back({.due = now + timeout_, .value = value});
    }
    return std::exchange(group_, {});
}

std::vector<record> record_forwarder::take_overdue(time_point now)
{
    std::vector<record> overdue;
    while (!sent_.empty() &&
           (sent_.front().due <= now || preferred_writer_.empty())) {
        overdue.push_back(std::move(sent_.front().value));
        sent_.pop_front();
    }
    if (preferred_writer_.empty()) {
        std::ranges::move(std::exchange(group_, {}),
                          std::back_inserter(overdue));
    }
    return overdue;
}

std::optional<time_point> record_forwarder::next_poll_time() const
{
    std::optional<time_point> next;
    if (!group_.empty()) {
        next = group_due_;
    }
    if (!sent_.empty()) {
        next = std::min(next.value_or(sent_.front().due), sent_.front().due);
    }
    return next;
}

} // namespace medlarstall::claim
