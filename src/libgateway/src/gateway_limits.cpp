// Rate limits that backend servers state in their answers.

#include <medlarstall/gateway/gateway.hpp>

namespace medlarstall::gateway {

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
    log_rate_limit(id, change, settings_.name, now);
}

void gateway::log_rate_limit(std::string const& id,
                             dispatch::rate_limit_change change,
                             std::string const& told_by, time_point now)
{
    auto const* const limit = dispatcher_.rate_limit_of(id);
    if (change == dispatch::rate_limit_change::none || limit == nullptr) {
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
