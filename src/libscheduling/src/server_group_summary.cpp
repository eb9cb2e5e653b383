// The parts of server_group that report on it: its next event and its
// summaries.
#include "server_group.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace medlarstall::scheduling {

std::optional<time_point> server_group::next_event(time_point now) const
{
    std::optional<time_point> next;
    auto const consider = [&](time_point at) {
        next = next ? std::min(*next, at) : at;
    };
    if (!deadlines_.empty()) {
        consider(deadlines_.begin()->at);
    }
    if (!latest_starts_.empty()) {
        consider(latest_starts_.begin()->at -
                 service_estimate_.slot_interval(running_.size()));
    }
    if (!urgent_.empty()) {
        consider(urgent_.begin()->at + duration{1});
    }
    if (queue_.size() == 0) {
        return next;
    }
    for (auto const& [id, server] : servers_) {
        if (server->paused_until() > now) {
            consider(server->paused_until());
        }
        if (auto const at = server->load_report_expiry(now)) {
            consider(*at);
        }
    }
    return next;
}

void server_group::summarise(
    time_point now, std::vector<backend_server_summary>& summaries) const
{
    using std::chrono::ceil;
    using std::chrono::milliseconds;
    auto const group_limit = std::max(1U, limit(now));
    auto const idle = has_free_slot(now);
    for (auto const& [id, server] : servers_) {
        backend_server_summary summary;
        server->summarise(now, summary);
        summary.owner = settings_.owner;
        summary.prefill_tokens_per_ms = static_cast<std::uint32_t>(
            service_estimate_.prefill_tokens_per_ms());
        for (unsigned tier = 0; tier < max_tiers; ++tier) {
            auto& load = summary.tiers[tier];
            auto const queued = double(queue_.at(tier).size());
            if (!server->leaving()) {
                load.queued = static_cast<std::uint32_t>(
                    std::lround(queued * summary.limit / group_limit));
            }
            auto const ahead = queued_at_or_above(tier);
            load.expected_wait =
                idle && ahead == 0
                    ? milliseconds{0}
                    : ceil<milliseconds>(expected_wait(tier, ahead));
        }
        summaries.push_back(std::move(summary));
    }
}

} // namespace medlarstall::scheduling
