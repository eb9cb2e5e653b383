#include <medlarstall/duty/load_history.hpp>

#include <algorithm>

namespace medlarstall::duty {

namespace {

/// Increase that is more than the noise between two samples.
constexpr double clear_increase = 1.05;
/// Longer times without a sample, such as a suspension of the machine, begin
/// the history anew.
constexpr std::chrono::seconds max_gap{3};

} // namespace

void load_history::add(double demand, time_point now)
{
    if (samples_.empty() || now - samples_.back().at > max_gap) {
        samples_.clear();
        begun_at_ = now;
    }
    samples_.push_back({demand, now});
    while (now - samples_.front().at > window_) {
        samples_.pop_front();
    }
}

bool load_history::is_complete() const
{
    return !samples_.empty() && samples_.back().at - begun_at_ >= window_;
}

double load_history::peak() const
{
    double peak = 0;
    for (auto const& item : samples_) {
        peak = std::max(peak, item.demand);
    }
    return peak;
}

double load_history::mean() const
{
    double sum = 0;
    for (auto const& item : samples_) {
        sum += item.demand;
    }
    return samples_.empty() ? 0 : sum / static_cast<double>(samples_.size());
}

double load_history::largest_rise(duration span) const
{
    double rise = 0;
    for (auto first = samples_.begin(); first != samples_.end(); ++first) {
        for (auto later = first;
             later != samples_.end() && later->at - first->at <= span;
             ++later) {
            rise = std::max(rise, later->demand - first->demand);
        }
    }
    return rise;
}

double load_history::mean_between(time_point from, time_point end) const
{
    double sum = 0;
    double count = 0;
    for (auto const& item : samples_) {
        if (item.at >= from && item.at < end) {
            sum += item.demand;
            ++count;
        }
    }
    return count > 0 ? sum / count : 0;
}

bool load_history::is_rising(duration span) const
{
    if (samples_.empty()) {
        return false;
    }
    auto const since = samples_.back().at - span;
    auto const recent = mean_between(since, time_point::max());
    return recent > mean_between(since - span, since) * clear_increase;
}

bool load_history::is_new_peak(duration span) const
{
    double before = 0;
    double recent = 0;
    for (auto const& item : samples_) {
        auto& peak = samples_.back().at - item.at < span ? recent : before;
        peak = std::max(peak, item.demand);
    }
    return recent > before * clear_increase;
}

} // namespace medlarstall::duty
