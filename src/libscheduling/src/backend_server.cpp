#include "backend_server.hpp"

#include <algorithm>
#include <utility>

namespace medlarstall::scheduling {

backend_server::backend_server(scheduler_settings const& settings,
                               backend_server_description description,
                               unsigned slots)
    : description_{std::move(description)}, limiter_{settings.limiter, slots},
      report_lifetime_{settings.report_lifetime},
      bounce_pause_{settings.bounce_pause}, slots_{std::max(1U, slots)}
{}

void backend_server::describe(backend_server_description description)
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

void backend_server::remove()
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
    return limit - std::min(limit, foreign(now));
}

bool backend_server::has_slot(time_point now) const
{
    return accepts(now) && running_ < limit(now);
}

double backend_server::utilisation(time_point now) const
{
    return double(running_) / std::max(1U, limit(now));
}

void backend_server::start(request_record const& record, time_point now)
{
    ++running_;
    ++running_by_tier_[record.value.tier];
    isolated_ += record.value.isolated ? 1 : 0;
    auto const& targets = record.value.targets;
    auto const same = [&](present_targets const& one) {
        return one.targets.first_token == targets.first_token &&
               one.targets.between_tokens == targets.between_tokens;
    };
    auto const found = std::ranges::find_if(present_, same);
    if (found == present_.end()) {
        present_.push_back({targets, 1});
    } else {
        ++found->running;
    }
    limiter_.observe_running(running_);
    note_running(now);
}

void backend_server::stop(request_record const& record, time_point now)
{
    --running_;
    --running_by_tier_[record.value.tier];
    isolated_ -= record.value.isolated ? 1 : 0;
    auto const& targets = record.value.targets;
    auto const same = [&](present_targets const& one) {
        return one.targets.first_token == targets.first_token &&
               one.targets.between_tokens == targets.between_tokens;
    };
    auto const found = std::ranges::find_if(present_, same);
    if (--found->running == 0) {
        present_.erase(found);
    }
    note_running(now);
}

void backend_server::observe_first_token(duration latency, time_point now)
{
    first_tokens_.add(latency);
    limiter_.observe_first_token(latency, tightest().first_token, now);
    limiter_.observe_running(running_);
}

void backend_server::observe_between_tokens(duration latency, time_point now)
{
    between_tokens_.add(latency);
    limiter_.observe_between_tokens(latency, tightest().between_tokens, now);
    limiter_.observe_running(running_);
}

void backend_server::observe_bounce(time_point now)
{
    limiter_.observe_refusal(now);
    paused_until_ = now + bounce_pause_;
}

void backend_server::observe_report(load_report const& report, time_point now)
{
    auto const own = running_then(now - report.age);
    auto const reported = report.running + report.waiting;
    auto const others = reported - std::min(reported, own);
    // Reports and own events cross; what only one report shows is not there.
    foreign_ = std::min(others, former_foreign_.value_or(others));
    former_foreign_ = others;
    reported_at_ = now;
    limiter_.confirm();
}

std::optional<time_point> backend_server::report_expiry(time_point now) const
{
    if (foreign(now) == 0) {
        return std::nullopt;
    }
    return reported_at_ + report_lifetime_ + duration{1};
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
    summary.first_token = duration_cast<microseconds>(first_tokens_.median());
    summary.between_tokens =
        duration_cast<microseconds>(between_tokens_.median());
    summary.leaving = leaving_;
    summary.demoted = description_.demoted;
}

void backend_server::note_running(time_point now)
{
    history_[history_next_] = {now, running_};
    history_next_ = (history_next_ + 1) % history_size;
    history_count_ = std::min(history_count_ + 1, history_size);
}

unsigned backend_server::running_then(time_point then) const
{
    unsigned earliest = 0;
    for (std::size_t back = 1; back <= history_count_; ++back) {
        auto const& point =
            history_[(history_next_ + history_size - back) % history_size];
        if (point.at <= then) {
            return point.running;
        }
        earliest = point.running;
    }
    return history_count_ == history_size ? earliest : 0;
}

unsigned backend_server::foreign(time_point now) const
{
    return now - reported_at_ > report_lifetime_ ? 0 : foreign_;
}

catalogue::latency_targets backend_server::tightest() const
{
    catalogue::latency_targets least{std::chrono::milliseconds::max(),
                                     std::chrono::milliseconds::max()};
    for (auto const& [targets, running] : present_) {
        least.first_token = std::min(least.first_token, targets.first_token);
        least.between_tokens =
            std::min(least.between_tokens, targets.between_tokens);
    }
    return least;
}

} // namespace medlarstall::scheduling
