#include <medlarstall/routing/hedge_policy.hpp>

#include <algorithm>
#include <span>
#include <vector>

namespace medlarstall::routing {

hedge_policy::hedge_policy(hedge_settings settings)
    : settings_{settings}, budget_{settings.budget}
{}

void hedge_policy::note_request()
{
    budget_.deposit();
}

void hedge_policy::record_first_token(std::string_view group, unsigned tier,
                                      std::chrono::microseconds time)
{
    auto& recent = recent_[{std::string{group}, tier}];
    recent.times[recent.count % recent_times::capacity] = time;
    ++recent.count;
    if (recent.count % recent_times::refresh == 0) {
        refresh(recent);
    }
}

void hedge_policy::refresh(recent_times& recent) const
{
    auto const filled = std::min(recent.count, recent_times::capacity);
    auto const times = std::span{recent.times}.first(filled);
    std::vector<std::chrono::microseconds> sorted(times.begin(), times.end());
    auto const position = static_cast<std::ptrdiff_t>(
        settings_.quantile * static_cast<double>(filled - 1));
    std::ranges::nth_element(sorted, sorted.begin() + position);
    recent.at_quantile = sorted[static_cast<std::size_t>(position)];
}

std::optional<std::chrono::microseconds>
hedge_policy::delay(scheduling::request const& request) const
{
    if (!request.repeatable || request.isolated) {
        return std::nullopt;
    }
    auto const found = recent_.find({request.group, request.tier});
    if (found == recent_.end() ||
        found->second.count < settings_.least_samples) {
        return std::nullopt;
    }
    return std::max<std::chrono::microseconds>(found->second.at_quantile,
                                               settings_.least_delay);
}

bool hedge_policy::should_hedge(scheduling::request const& request,
                                std::chrono::microseconds waited,
                                std::chrono::microseconds expected_wait,
                                time_point now)
{
    auto const usual = delay(request);
    if (!usual || waited < *usual || expected_wait.count() > 0) {
        return false;
    }
    return budget_.try_draw(now);
}

} // namespace medlarstall::routing
