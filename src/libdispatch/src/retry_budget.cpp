#include <medlarstall/dispatch/retry_budget.hpp>

#include <algorithm>
#include <cmath>

namespace medlarstall::dispatch {

namespace {

/// Part of the slack that the daemons divide among them. The rest covers
/// daemons that have joined without being noticed yet, and the smaller part of
/// a fleet that is cut in two, which divides the slack by all daemons while the
/// larger part divides it by its own.
constexpr double usable_slack_share = 2.0 / 3.0;
/// Part of a daemon's slack that it may use once in each window, so that not
/// all of it has to be earned first.
constexpr double unearned_share = 2.0 / 3.0;

/// Time after which a decrease of the number of sharers takes effect: the grace
/// period of a daemon that stops, and one window.
constexpr std::chrono::seconds sharer_decrease_delay{20};

} // namespace

void budget_sharers::update(std::size_t count, time_point now)
{
    if (count >= count_) {
        confirmed_at_ = now;
    }
    if (count >= count_ || now - confirmed_at_ >= sharer_decrease_delay) {
        count_ = count;
    }
}

slack_share divide_slack(retry_limits const& limits, std::size_t daemons)
{
    if (daemons == 0) {
        return {};
    }
    auto const sharers = static_cast<double>(daemons);
    // Each daemon has a whole number of retries, so that their sum differs
    // from its mean by about half the root of the number of daemons.
    auto const usable = limits.slack * usable_slack_share - std::sqrt(sharers);
    auto const share = std::max(usable, 0.0) / sharers;
    auto const unearned = std::floor(share * unearned_share);
    return {static_cast<std::size_t>(unearned), share - unearned};
}

retry_budget::retry_budget(double phase, time_point slack_from)
    : earned_{phase}, slack_from_{slack_from}
{}

/// Retry number n is earned when the sum reaches n, and expires when the sum
/// exceeds n by the most that may be saved. With phases that are evenly
/// distributed, a daemon thus saves that much on average, also if it is a
/// fraction. An earned retry that expires makes up for one of the slack.
void retry_budget::drop_expired(double max_saved)
{
    auto const oldest = static_cast<std::uint64_t>(
        std::ceil(std::max(earned_ - max_saved, 0.0)));
    for (; first_unused_ < oldest; ++first_unused_) {
        if (!slack_used_at_.empty()) {
            slack_used_at_.pop_back();
        }
    }
}

std::uint64_t retry_budget::unused() const
{
    auto const newest = static_cast<std::uint64_t>(std::floor(earned_));
    return newest >= first_unused_ ? newest - first_unused_ + 1 : 0;
}

void retry_budget::on_request(retry_limits const& limits, std::size_t daemons)
{
    ++requests_;
    earned_ += limits.ratio;
    drop_expired(divide_slack(limits, daemons).max_saved);
}

retry_decision retry_budget::try_consume(retry_limits const& limits,
                                         std::size_t daemons, time_point now)
{
    auto const share = divide_slack(limits, daemons);
    drop_expired(share.max_saved);
    while (!slack_used_at_.empty() &&
           slack_used_at_.front() <= now - limits.window) {
        slack_used_at_.pop_front();
    }
    retry_decision decision{
        false, requests_, retries_, unused(), slack_used_at_.size(),
        share, daemons};
    auto const slack_left =
        now >= slack_from_ && slack_used_at_.size() < share.retries_per_window;
    decision.allowed = decision.earned > 0 || slack_left;
    if (!decision.allowed) {
        return decision;
    }
    ++retries_;
    if (decision.earned > 0) {
        ++first_unused_;
    } else {
        slack_used_at_.push_back(now);
    }
    return decision;
}

} // namespace medlarstall::dispatch
