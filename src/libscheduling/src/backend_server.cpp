#include "backend_server.hpp"

#include <algorithm>
#include <utility>

namespace medlarstall::scheduling {

backend_server::backend_server(scheduler_settings const& settings,
                               backend_server_description description,
                               unsigned slots)
    : description_{std::move(description)}, limiter_{settings.limiter, slots},
      load_report_lifetime_{settings.load_report_lifetime},
      busy_pause_{settings.busy_pause}, slots_{std::max(1U, slots)}
{}

void backend_server::set_description(backend_server_description description)
{
    description_ = std::move(description);
    leaving_ = false;
    removed_ = false;
}

void backend_server::set_slots(unsigned slots)
{
    slots_ = std::max(1U, slots);
    limiter_.set_slots(slots_);
}

void backend_server::mark_removed()
{
    leaving_ = true;
    removed_ = true;
}

bool backend_server::serves(std::string_view model) const
{
    auto const& models = description_.models;
    return models.empty() || std::ranges::find(models, model) != models.end();
}

unsigned backend_server::limit(time_point now) const
{
    auto const limit = limiter_.limit();
    return limit - std::min(limit, external_load(now));
}

bool backend_server::has_free_slot(time_point now) const
{
    return accepts_requests(now) && running_ < limit(now);
}

double backend_server::utilisation(time_point now) const
{
    return double(running_) / std::max(1U, limit(now));
}

void backend_server::count_start(request_record const& record, time_point now)
{
    ++running_;
    ++running_by_tier_[record.value.tier];
    running_isolated_ += record.value.isolated ? 1 : 0;
    auto const& targets = record.value.targets;
    auto const same_targets = [&](active_targets const& active) {
        return active.targets.first_token == targets.first_token &&
               active.targets.between_tokens == targets.between_tokens;
    };
    auto const found = std::ranges::find_if(active_targets_, same_targets);
    if (found == active_targets_.end()) {
        active_targets_.push_back({targets, 1});
    } else {
        ++found->running;
    }
    limiter_.observe_running(running_);
    record_running(now);
}

void backend_server::count_stop(request_record const& record, time_point now)
{
    --running_;
    --running_by_tier_[record.value.tier];
    running_isolated_ -= record.value.isolated ? 1 : 0;
    auto const& targets = record.value.targets;
    auto const same_targets = [&](active_targets const& active) {
        return active.targets.first_token == targets.first_token &&
               active.targets.between_tokens == targets.between_tokens;
    };
    auto const found = std::ranges::find_if(active_targets_, same_targets);
    if (--found->running == 0) {
        active_targets_.erase(found);
    }
    record_running(now);
}

void backend_server::observe_first_token(duration latency, time_point now)
{
    first_token_latencies_.add(latency);
    limiter_.observe_first_token(latency, tightest_targets().first_token, now);
    limiter_.observe_running(running_);
}

void backend_server::observe_between_tokens(duration latency, time_point now)
{
    between_token_latencies_.add(latency);
    limiter_.observe_between_tokens(latency, tightest_targets().between_tokens,
                                    now);
    limiter_.observe_running(running_);
}

void backend_server::observe_busy_rejection(time_point now)
{
    limiter_.observe_rejection(now);
    paused_until_ = now + busy_pause_;
}

void backend_server::observe_load_report(load_report const& report,
                                         time_point now)
{
    auto const own = running_at(now - report.age);
    auto const reported = report.running + report.waiting;
    auto const others = reported - std::min(reported, own);
    // A report may cross with events of this owner and then shows requests
    // that are its own. Only load that two reports in a row show is counted.
    external_load_ = std::min(others, previous_external_load_.value_or(others));
    previous_external_load_ = others;
    reported_at_ = now;
    limiter_.confirm_load();
}

std::optional<time_point>
backend_server::load_report_expiry(time_point now) const
{
    if (external_load(now) == 0) {
        return std::nullopt;
    }
    return reported_at_ + load_report_lifetime_ + duration{1};
}

void backend_server::summarise(time_point now,
                               backend_server_summary& summary) const
{
    summary.backend_server = description_.id;
    summary.group = description_.group;
    summary.data_centre = description_.data_centre;
    summary.limit = limit(now);
    summary.running = running_;
    for (std::size_t tier = 0; tier < max_tiers; ++tier) {
        summary.tiers[tier].running = running_by_tier_[tier];
    }
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    summary.first_token =
        duration_cast<microseconds>(first_token_latencies_.median());
    summary.between_tokens =
        duration_cast<microseconds>(between_token_latencies_.median());
    summary.leaving = leaving_;
    summary.demoted = description_.demoted;
}

void backend_server::record_running(time_point now)
{
    history_[history_next_] = {now, running_};
    history_next_ = (history_next_ + 1) % history_capacity;
    history_count_ = std::min(history_count_ + 1, history_capacity);
}

unsigned backend_server::running_at(time_point then) const
{
    unsigned earliest = 0;
    for (std::size_t back = 1; back <= history_count_; ++back) {
        auto const& sample =
            history_[(history_next_ + history_capacity - back) %
                     history_capacity];
        if (sample.at <= then) {
            return sample.running;
        }
        earliest = sample.running;
    }
    return history_count_ == history_capacity ? earliest : 0;
}

unsigned backend_server::external_load(time_point now) const
{
    return now - reported_at_ > load_report_lifetime_ ? 0 : external_load_;
}

catalogue::latency_targets backend_server::tightest_targets() const
{
    catalogue::latency_targets least{std::chrono::milliseconds::max(),
                                     std::chrono::milliseconds::max()};
    for (auto const& [targets, running] : active_targets_) {
        least.first_token = std::min(least.first_token, targets.first_token);
        least.between_tokens =
            std::min(least.between_tokens, targets.between_tokens);
    }
    return least;
}

} // namespace medlarstall::scheduling
