// How a gateway that holds the duties orders backend servers.

#include <medlarstall/gateway/gateway.hpp>

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

namespace medlarstall::gateway {

namespace {

/// Long enough to cost little with hundreds of backend servers, and short
/// against the time that servers take to start.
constexpr std::chrono::milliseconds sample_interval{300};

/// \return a number of servers in hundredths, which log lines hold as integers
std::int64_t hundredths(double servers)
{
    constexpr double factor = 100;
    return static_cast<std::int64_t>(servers * factor);
}

} // namespace

/// Samples what is known of the services, and decides on their servers. Does
/// nothing unless this daemon holds the duties.
void gateway::update_scaling(time_point now)
{
    if (!scaling_duty_.is_held() || !route_table_ || now < next_scaling_at_) {
        return;
    }
    next_scaling_at_ = now + sample_interval;
    duty::scaling_sample sample;
    sample.services = scaling_observer_.sample(*route_table_, cell_, now);
    sample.list_is_known = servers_age_.as_of().has_value();
    sample.load_is_known = hears_load_of_peers(now);
    sample.list_age = age_of_topic(record_topic::backend_servers);
    scaling_duty_.observe(std::move(sample), now);
    log_scaling_changes();
}

/// \return whether nearly all daemons are heard that this one knows the load
///     of; a few may have just ended
bool gateway::hears_load_of_peers(time_point now) const
{
    constexpr std::size_t missed_of = 10;
    auto const live = members_.live_members(now);
    auto const heard = static_cast<std::size_t>(
        std::ranges::count_if(cell_peer_addresses_, [&](auto const& address) {
            return std::ranges::any_of(live, [&](auto const* peer) {
                return peer->address == address;
            });
        }));
    auto const known = cell_peer_addresses_.size();
    return (known - heard) * missed_of <= known;
}

void gateway::log_scaling_changes()
{
    for (auto const& change : scaling_duty_.take_changes()) {
        auto const& decision = change.decision;
        metrics_.count_state_change("scale_order");
        log_entry{log_, log_category::state_change, "scale_order"}
            .with("service", change.subject.service)
            .with("data_centre", change.subject.data_centre)
            .with("reclaimable", change.subject.reclaimable ? "yes" : "no")
            .with("before", change.before)
            .with("count", change.count)
            .with("listed", change.listed)
            .with("reason", name_of(change.reason))
            .with("demand_percent", hundredths(change.demand))
            .with("peak_percent", hundredths(decision.peak))
            .with("mean_percent", hundredths(decision.mean))
            .with("rise_percent", hundredths(decision.rise))
            .with("whole_window", decision.has_history ? "yes" : "no")
            .with("need", static_cast<std::int64_t>(decision.need.total))
            .with("need_after_loss",
                  static_cast<std::int64_t>(decision.need.after_loss))
            .with("need_regular",
                  static_cast<std::int64_t>(decision.need.regular))
            .with("list_age", change.list_age);
    }
}

void gateway::set_scaling_gauge(char const* name, std::string const& service,
                                double value)
{
    metrics_.set_gauge(std::string{name} + ":" + service, value);
}

void gateway::set_scaling_gauges()
{
    for (auto const& [service, decision] : scaling_duty_.decisions()) {
        set_scaling_gauge("scaling_mean_demand", service, decision.mean);
        set_scaling_gauge("scaling_peak_demand", service, decision.peak);
        set_scaling_gauge("scaling_need", service, decision.need.total);
        set_scaling_gauge("scaling_wanted", service, total_of(decision.wanted));
        set_scaling_gauge("scaling_wanted_regular", service,
                          regular_of(decision.wanted));
    }
}

} // namespace medlarstall::gateway
