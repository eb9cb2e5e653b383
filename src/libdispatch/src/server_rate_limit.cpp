#include <medlarstall/dispatch/server_rate_limit.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlarstall::dispatch {

namespace {

/// Least requests per second that are sent to a backend server. Without any,
/// nobody would notice that its limit has ended.
constexpr double min_requests_per_second = 0.05;
/// Limits above this are treated as this one, which no fleet reaches.
constexpr double max_requests_per_second = 1e6;
/// A limit that differs by a smaller share from the one last announced is not
/// announced again.
constexpr double announced_difference = 0.1;
/// Observations of other daemons that are older than this cannot be true, since
/// daemons announce them for a few seconds only.
constexpr std::chrono::minutes max_notice_age{1};

bool differs_notably(double left, double right)
{
    return std::abs(left - right) > announced_difference * right;
}

} // namespace

char const* name_of(rate_limit_change change)
{
    switch (change) {
    case rate_limit_change::none:
        return "none";
    case rate_limit_change::started:
        return "started";
    case rate_limit_change::changed:
        return "changed";
    case rate_limit_change::ended:
        return "ended";
    case rate_limit_change::invalid:
        return "invalid";
    }
    return "unknown";
}

rate_limit_change
server_rate_limit::set(std::optional<double> requests_per_second,
                       time_point observed_at)
{
    observed_at_ = observed_at;
    requests_per_second_ = requests_per_second;
    if (!requests_per_second) {
        return std::exchange(announced_, std::nullopt)
                   ? rate_limit_change::ended
                   : rate_limit_change::none;
    }
    auto const value = std::clamp(*requests_per_second, min_requests_per_second,
                                  max_requests_per_second);
    requests_per_second_ = value;
    if (!announced_) {
        announced_ = value;
        return rate_limit_change::started;
    }
    if (differs_notably(value, *announced_)) {
        announced_ = value;
        return rate_limit_change::changed;
    }
    return rate_limit_change::none;
}

rate_limit_change server_rate_limit::on_stated(double requests_per_second,
                                               time_point now)
{
    auto const change = set(requests_per_second, now);
    if (change != rate_limit_change::none) {
        own_change_at_ = now;
    }
    return change;
}

rate_limit_change server_rate_limit::on_not_stated(time_point sent_at,
                                                   time_point now)
{
    if (!requests_per_second_ || !observed_at_ || sent_at <= *observed_at_) {
        return rate_limit_change::none;
    }
    own_change_at_ = now;
    return set(std::nullopt, now);
}

std::optional<duration> server_rate_limit::age_if_changed(time_point since,
                                                          time_point now) const
{
    if (!own_change_at_ || *own_change_at_ <= since) {
        return std::nullopt;
    }
    auto const age = now - *observed_at_;
    return age <= max_notice_age ? std::optional{age} : std::nullopt;
}

rate_limit_change server_rate_limit::merge(rate_limit_notice const& notice,
                                           time_point now)
{
    auto const& limit = notice.requests_per_second;
    auto const bad_limit = limit && (!std::isfinite(*limit) || *limit < 0);
    if (bad_limit || notice.age < duration::zero() ||
        notice.age > max_notice_age) {
        return rate_limit_change::invalid;
    }
    auto const observed_at = now - notice.age;
    if (observed_at_ && observed_at <= *observed_at_) {
        return rate_limit_change::none;
    }
    return set(limit, observed_at);
}

} // namespace medlarstall::dispatch
