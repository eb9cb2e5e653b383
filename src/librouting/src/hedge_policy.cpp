#include <medlarstall/routing/hedge_policy.hpp>

#include <algorithm>
#include <span>
#include <vector>

namespace medlarstall::routing {

hedge_policy::hedge_policy(hedge_settings settings)
    : settings_{settings}, budget_{settings.budget}
{}

void hedge_policy::on_request()
{
    budget_.deposit();
}

void hedge_policy::record_first_token(std::string_view group, unsigned tier,
                                      std::chrono::microseconds time)
{
    auto& recent = recent_[{std::string{group}, tier}];
    recent.times[recent.recorded_count % recent_times::capacity] = time;
    ++recent.recorded_count;
    if (recent.recorded_count % recent_times::update_interval == 0) {
        update_quantile(recent);
    }
}

void hedge_policy::update_quantile(recent_times& recent) const
{
    auto const stored_count =
        std::min(recent.recorded_count, recent_times::capacity);
    auto const times = std::span{recent.times}.first(stored_count);
    std::vector<std::chrono::microseconds> ordered(times.begin(), times.end());
    auto const position = static_cast<std::ptrdiff_t>(
        settings_.delay_quantile * static_cast<double>(stored_count - 1));
    std::ranges::nth_element(ordered, ordered.begin() + position);
    recent.quantile_time = ordered[static_cast<std::size_t>(position)];
}

std::optional<std::chrono::microseconds>
hedge_policy::hedge_delay(scheduling::request const& request) const
{
    if (!request.repeatable || request.isolated) {
        return std::nullopt;
    }
    auto const found = recent_.find({request.group, request.tier});
    if (found == recent_.end() ||
        found->second.recorded_count < settings_.min_samples) {
        return std::nullopt;
    }
    return std::max<std::chrono::microseconds>(found->second.quantile_time,
                                               settings_.min_delay);
}

bool hedge_policy::should_hedge(scheduling::request const& request,
                                std::chrono::microseconds waited,
                                std::chrono::microseconds expected_wait,
                                time_point now)
{
    auto const usual_delay = hedge_delay(request);
    if (!usual_delay || waited < *usual_delay || expected_wait.count() > 0) {
        return false;
    }
    return budget_.try_withdraw(now);
}

} // namespace medlarstall::routing
