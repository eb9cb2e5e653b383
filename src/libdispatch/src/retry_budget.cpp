#include <medlarstall/dispatch/retry_budget.hpp>

#include <algorithm>

namespace medlarstall::dispatch {

namespace {

/// Part of the slack that the daemons divide among them. The rest is reserved
/// for daemons that have joined without being noticed yet.
constexpr double usable_slack_share = 0.75;
/// Longest time for which requests are remembered, which bounds the memory when
/// no retries are made. In a longer window, fewer requests would be counted.
constexpr std::chrono::milliseconds max_window{20000};

} // namespace

void retry_budget::drop_before(std::deque<time_point>& times, time_point before)
{
    while (!times.empty() && times.front() < before) {
        times.pop_front();
    }
}

void retry_budget::on_request(time_point now)
{
    requests_.push_back(now);
    drop_before(requests_, now - max_window);
}

retry_decision retry_budget::try_consume(retry_limits const& limits,
                                         std::size_t daemons, time_point now)
{
    drop_before(requests_, now - limits.window);
    drop_before(retries_, now - limits.window);
    auto const slack_share =
        limits.slack * usable_slack_share /
        static_cast<double>(std::max<std::size_t>(daemons, 1));
    retry_decision decision{
        false, requests_.size(), retries_.size(),
        limits.ratio * static_cast<double>(requests_.size()) + slack_share,
        daemons};
    decision.allowed =
        static_cast<double>(retries_.size()) + 1.0 <= decision.limit;
    if (decision.allowed) {
        retries_.push_back(now);
    }
    return decision;
}

} // namespace medlarstall::dispatch
