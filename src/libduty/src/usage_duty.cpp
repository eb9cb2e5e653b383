#include <medlarstall/duty/usage_duty.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::duty {

namespace {

/// Most reports in flight at a time, so that the end of an outage of the
/// platform does not cause many calls at once.
constexpr std::size_t max_in_flight = 4;
/// Most windows whose rows are stored. There are more than two only after an
/// outage of the store.
constexpr std::size_t max_stored_windows = 8;

} // namespace

usage_duty::usage_duty(usage_ledger& ledger, true_time const& time,
                       usage_settings settings)
    : ledger_{ledger}, time_{time}, settings_{settings}
{}

std::uint64_t usage_duty::windows_in(std::chrono::milliseconds span) const
{
    return static_cast<std::uint64_t>(span / settings_.window);
}

/// \return first window that is not too old to be reported
std::uint64_t usage_duty::oldest_reported(time_point now) const
{
    auto const current = settings_.window_at(time_.at(now));
    return current - std::min(current, windows_in(settings_.max_report_age));
}

/// \return greatest number that a stored state may state. A clock that was set
///     back by minutes must not make the state of an earlier run invalid.
std::uint64_t usage_duty::latest_closed(time_point now) const
{
    return settings_.window_at(time_.at(now) + settings_.max_report_age);
}

/// \param lost_until time after which no holder has stored a state that was
///     lost
/// \return windows before this one may have been fixed and reported by a holder
///     whose state was lost
std::uint64_t usage_duty::possibly_closed(time_point lost_until) const
{
    return settings_.window_at(time_.at(lost_until) - settings_.close_delay +
                               settings_.max_clock_difference);
}

/// A wrong number must not keep windows from being reported, so that one of the
/// future is ignored.
void usage_duty::on_told_closed(std::uint64_t window, time_point now)
{
    if (window <= settings_.window_at(time_.at(now))) {
        stored_closed_before_ = std::max(stored_closed_before_, window);
    }
}

std::string usage_duty::state() const
{
    usage_state state;
    state.closed_before = closed_before_;
    for (auto const& [window, item] : reports_) {
        state.fixed[window] = item.counts;
    }
    auto const& windows = ledger_.windows();
    for (auto at = windows.lower_bound(closed_before_);
         at != windows.end() && state.open.size() < max_stored_windows; ++at) {
        state.open.insert(*at);
    }
    return encode(state);
}

void usage_duty::on_taken(stored_state const& stored, time_point now)
{
    holds_ = true;
    taken_at_ = now;
    reports_.clear();
    usage_state state;
    if (!stored.bytes.empty()) {
        auto read = decode_usage_state(stored.bytes);
        if (failed(read) || value_of(read).closed_before > latest_closed(now)) {
            ++statistics_.unreadable;
        } else {
            state = std::move(value_of(read));
        }
    }
    stored_closed_before_ =
        std::max(stored_closed_before_, state.closed_before);
    if (stored.lost_until) {
        auto const open_from = possibly_closed(*stored.lost_until);
        if (stored_closed_before_ != 0 && open_from > stored_closed_before_) {
            statistics_.left_out += open_from - stored_closed_before_;
        }
        stored_closed_before_ = std::max(stored_closed_before_, open_from);
    }
    closed_before_ = stored_closed_before_;
    for (auto& [window, counts] : state.fixed) {
        report item;
        item.counts = std::move(counts);
        item.is_stored = true;
        reports_.emplace(window, std::move(item));
    }
    for (auto const& [window, rows] : state.open) {
        for (auto const& [counter, counts] : rows) {
            ledger_.merge(counter, {window, counts});
        }
    }
}

void usage_duty::on_lost()
{
    holds_ = false;
    // What was fixed and is not stored is forgotten: the next holder fixes it.
    reports_.clear();
    closed_before_ = stored_closed_before_;
}

void usage_duty::on_stored(std::uint64_t revision)
{
    for (auto& [window, item] : reports_) {
        if (item.revision <= revision) {
            item.is_stored = true;
            stored_closed_before_ = std::max(stored_closed_before_, window + 1);
        }
    }
}

/// \return first window to report if no state was stored. Nobody can have fixed
///     a window that nobody knows to be fixed, unless the stored state was lost
///     together with all daemons.
std::uint64_t usage_duty::first_window(std::uint64_t end) const
{
    auto const& windows = ledger_.windows();
    auto const known = windows.empty() ? end : windows.begin()->first;
    return std::max(known, stored_closed_before_);
}

/// Fixes the content of the windows that have ended long enough ago.
void usage_duty::close_windows(time_point now)
{
    if (now - taken_at_ < settings_.settle_time) {
        return;
    }
    // The window that contains this time is the first to stay open.
    auto const end = settings_.window_at(time_.at(now) - settings_.close_delay);
    if (closed_before_ == 0) {
        closed_before_ = first_window(end);
    }
    closed_before_ = std::max(closed_before_, oldest_reported(now));
    for (; closed_before_ < end; ++closed_before_) {
        ++statistics_.fixed;
        report item;
        item.counts = ledger_.sum(closed_before_);
        item.revision = ++revision_;
        reports_.emplace(closed_before_, std::move(item));
    }
}

void usage_duty::give_up_old(time_point now)
{
    auto const oldest = oldest_reported(now);
    while (!reports_.empty() && reports_.begin()->first < oldest) {
        ++statistics_.given_up;
        reports_.erase(reports_.begin());
    }
}

std::vector<duty_call> usage_duty::due_calls(time_point now)
{
    std::vector<duty_call> calls;
    if (!holds_) {
        return calls;
    }
    close_windows(now);
    give_up_old(now);
    auto in_flight = static_cast<std::size_t>(std::ranges::count_if(
        reports_, [](auto const& entry) { return entry.second.in_flight; }));
    for (auto& [window, item] : reports_) {
        if (in_flight >= max_in_flight) {
            break;
        }
        if (item.is_stored && !item.in_flight && now >= item.send_after) {
            item.in_flight = true;
            ++in_flight;
            calls.emplace_back(usage_report{window, item.counts});
        }
    }
    return calls;
}

void usage_duty::on_result(duty_call const& call, call_outcome outcome,
                           time_point now)
{
    auto const* const sent = std::get_if<usage_report>(&call);
    auto const found =
        sent == nullptr ? reports_.end() : reports_.find(sent->window);
    if (found == reports_.end() || found->second.counts != sent->counts) {
        return;
    }
    if (outcome == call_outcome::accepted) {
        ++statistics_.accepted;
        reports_.erase(found);
        return;
    }
    ++statistics_.failed;
    found->second.in_flight = false;
    found->second.send_after = now + settings_.retry_interval;
}

} // namespace medlarstall::duty
