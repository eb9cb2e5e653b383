#include <medlarstall/duty/usage_reporter.hpp>

#include <algorithm>

namespace medlarstall::duty {

namespace {

/// Time between two notes with all rows.
constexpr std::chrono::milliseconds all_rows_interval{1000};
/// Windows before the current one that are always told: the last one may still
/// be open, whatever is said of it.
constexpr std::uint64_t told_windows = 1;
/// Most windows before the current one that are told while none is fixed.
constexpr std::uint64_t max_told_windows = 12;

} // namespace

usage_reporter::usage_reporter(std::string_view daemon,
                               std::uint64_t incarnation,
                               usage_settings settings)
    : settings_{settings}, ledger_{counter_of(daemon, incarnation)},
      duty_{ledger_, time_, settings}
{}

void usage_reporter::tick(wall_time wall, time_point now)
{
    time_.on_own_clock(wall, now);
    ledger_.advance(settings_.window_at(time_.at(now)));
}

void usage_reporter::count(std::string const& organisation, time_point began_at)
{
    auto const window = settings_.window_at(time_.at(began_at));
    auto const is_late = window < duty_.known_closed_before();
    if (is_late || !ledger_.count(organisation, window)) {
        ++statistics_.late;
    } else {
        ++statistics_.counted;
    }
}

void usage_reporter::on_peer_clock(std::string const& daemon, wall_time wall,
                                   time_point now)
{
    time_.on_peer_clock(daemon, wall, now);
}

void usage_reporter::on_peer_note(std::string_view daemon,
                                  std::uint64_t incarnation,
                                  usage_note const& note, time_point now)
{
    duty_.on_told_closed(note.closed_before, now);
    auto const counter = counter_of(daemon, incarnation);
    for (auto const& row : note.rows) {
        if (!ledger_.merge(counter, row)) {
            ++statistics_.rejected_rows;
        }
    }
}

void usage_reporter::on_collected_rows(std::string_view bytes)
{
    auto const read = decode_usage_state(bytes);
    if (failed(read)) {
        ++statistics_.rejected_rows;
        return;
    }
    for (auto const& [window, rows] : value_of(read).open) {
        for (auto const& [counter, counts] : rows) {
            if (!ledger_.merge(counter, {window, counts})) {
                ++statistics_.rejected_rows;
            }
        }
    }
}

/// \return first window whose rows are told
std::uint64_t usage_reporter::first_to_tell(time_point now) const
{
    auto const current = settings_.window_at(time_.at(now));
    auto const earliest = current - std::min(current, max_told_windows);
    auto const latest = current - std::min(current, told_windows);
    return std::clamp(duty_.known_closed_before(), earliest, latest);
}

usage_note usage_reporter::take_note(bool all, time_point now)
{
    usage_note note;
    note.closed_before = duty_.known_closed_before();
    note.rows = ledger_.take_changed_rows();
    if (all || all_told_at_ == time_point::min() ||
        now - all_told_at_ >= all_rows_interval) {
        all_told_at_ = now;
        note.rows = ledger_.own_rows(first_to_tell(now));
    }
    return note;
}

std::string usage_reporter::collected_rows(time_point now) const
{
    usage_state collected;
    auto const& windows = ledger_.windows();
    collected.open = {windows.lower_bound(first_to_tell(now)), windows.end()};
    return encode(collected);
}

std::map<std::uint64_t, organisation_counts>
usage_reporter::open_sums(time_point now) const
{
    std::map<std::uint64_t, organisation_counts> sums;
    auto const& windows = ledger_.windows();
    for (auto at = windows.lower_bound(first_to_tell(now)); at != windows.end();
         ++at) {
        sums[at->first] = ledger_.sum(at->first);
    }
    return sums;
}

} // namespace medlarstall::duty
