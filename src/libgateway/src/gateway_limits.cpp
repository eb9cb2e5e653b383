// Rate limits that backend servers state in their answers.

#include <medlarstall/gateway/gateway.hpp>

#include "address_text.hpp"

namespace medlarstall::gateway {

namespace {

/// Interval of checks which daemons have been silent for long.
constexpr std::chrono::seconds sharers_check_interval{1};

} // namespace

/// Applies what an answer states about the rate limit of a backend server.
/// \param sent_at when the request was sent, if a missing limit means that
///     there is none
void gateway::on_stated_rate_limit(std::string const& id,
                                   answer_metadata const& metadata,
                                   std::optional<time_point> sent_at,
                                   time_point now)
{
    auto change = dispatch::rate_limit_change::none;
    if (metadata.malformed_rate_limit) {
        log_entry{log_, log_category::failure, "rate_limit_rejected"}
            .with("server", id)
            .with("stated", *metadata.malformed_rate_limit);
    } else if (metadata.rate_limit) {
        change = dispatcher_.on_rate_limit(id, *metadata.rate_limit, now);
    } else if (sent_at) {
        change = dispatcher_.on_no_rate_limit(id, *sent_at, now);
    }
    if (change != dispatch::rate_limit_change::none) {
        rate_limit_changed_ = true;
    }
    log_rate_limit(id, change, settings_.name, now);
}

/// Applies what an answer states about the rejections that a backend server
/// survives.
/// \param sent_at as in on_stated_rate_limit()
void gateway::on_stated_rejection_limit(std::string const& id,
                                        answer_metadata const& metadata,
                                        std::optional<time_point> sent_at,
                                        time_point now)
{
    if (metadata.malformed_rejection_limit) {
        log_entry{log_, log_category::failure, "rejection_limit_rejected"}
            .with("server", id)
            .with("stated", *metadata.malformed_rejection_limit);
        return;
    }
    auto const& limit = metadata.rejection_limit;
    auto changed = false;
    if (limit) {
        changed = dispatcher_.on_rejection_limit(id, *limit, now);
    } else if (sent_at) {
        changed = dispatcher_.on_no_rejection_limit(id, *sent_at, now);
    }
    if (!changed) {
        return;
    }
    metrics_.count_state_change("rejection_limit");
    log_entry{log_, log_category::state_change, "rejection_limit"}
        .with("server", id)
        .with("change", limit ? "stated" : "ended")
        .with("per_second", std::to_string(limit.value_or(0)))
        .with("limited_servers", dispatcher_.limited_room_count(now))
        .with("sharers", limit_sharers_.size());
}

/// Tells the dispatcher how many daemons share the retry budgets.
void gateway::update_retry_sharers(time_point now)
{
    auto const fleet_known = members_follower_->has_read();
    retry_sharers_.update(fleet_known ? limit_sharers_.size() : 0, now);
    dispatcher_.set_retry_sharers(retry_sharers_.count());
}

/// Tells the dispatcher which daemons share rate limits, and the time of day by
/// which they do.
void gateway::update_limit_sharers(time_point now)
{
    dispatcher_.set_time_of_day(std::chrono::system_clock::now(), now);
    if (limit_sharers_revision_ == members_.revision() &&
        now < next_sharers_check_) {
        return;
    }
    next_sharers_check_ = now + sharers_check_interval;
    auto const own = format_endpoint(settings_.peer_address);
    auto sharers = members_.limit_sharers(now);
    sharers.push_back(own);
    if (limit_sharers_revision_ == members_.revision() &&
        sharers == limit_sharers_) {
        return;
    }
    limit_sharers_revision_ = members_.revision();
    limit_sharers_ = sharers;
    auto all = members_.addresses();
    all.push_back(own);
    dispatcher_.set_fleet({own, std::move(all), std::move(sharers)});
}

void gateway::log_rate_limit(std::string const& id,
                             dispatch::rate_limit_change change,
                             std::string const& told_by, time_point now)
{
    auto const* const limit = dispatcher_.rate_limit_of(id);
    if (change == dispatch::rate_limit_change::none || limit == nullptr) {
        return;
    }
    if (change == dispatch::rate_limit_change::invalid) {
        log_entry{log_, log_category::failure, "rate_limit_rejected"}
            .with("server", id)
            .with("told_by", told_by);
        return;
    }
    metrics_.count_state_change("rate_limit");
    log_entry{log_, log_category::state_change, "rate_limit"}
        .with("server", id)
        .with("change", name_of(change))
        .with("per_second",
              std::to_string(limit->requests_per_second().value_or(0)))
        .with("age", now - limit->observed_at().value_or(now))
        .with("told_by", told_by);
}

} // namespace medlarstall::gateway
