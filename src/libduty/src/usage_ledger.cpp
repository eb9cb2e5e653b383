#include <medlarstall/duty/usage_ledger.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::duty {

namespace {

std::size_t counts_in(usage_ledger::window_counts const& window)
{
    std::size_t total = 0;
    for (auto const& [counter, counts] : window) {
        total += counts.size();
    }
    return total;
}

} // namespace

counter_id counter_of(std::string_view daemon, std::uint64_t incarnation)
{
    return hash64(daemon, incarnation);
}

usage_ledger::usage_ledger(counter_id own, ledger_limits limits)
    : own_{own}, limits_{limits}
{}

bool usage_ledger::is_kept(std::uint64_t window) const
{
    return window + limits_.past_windows >= current_ &&
           window <= current_ + limits_.future_windows;
}

void usage_ledger::advance(std::uint64_t current)
{
    current_ = current;
    while (!windows_.empty() && !is_kept(windows_.begin()->first)) {
        size_ -= counts_in(windows_.begin()->second);
        changed_.erase(windows_.begin()->first);
        windows_.erase(windows_.begin());
    }
}

bool usage_ledger::count(std::string const& organisation, std::uint64_t window)
{
    if (!is_kept(window)) {
        return false;
    }
    auto const [item, is_new] =
        windows_[window][own_].try_emplace(organisation, 0);
    size_ += is_new ? 1 : 0;
    ++item->second;
    changed_[window].insert(organisation);
    return true;
}

bool usage_ledger::merge(counter_id counter, usage_row const& row)
{
    if (counter == own_) {
        return true; // Nobody knows more of them than this daemon.
    }
    if (!is_kept(row.window)) {
        return false;
    }
    auto complete = true;
    for (auto const& [organisation, count] : row.counts) {
        if (!merge_count(counter, row.window, organisation, count)) {
            complete = false;
        }
    }
    return complete;
}

/// \return false if the count was rejected
bool usage_ledger::merge_count(counter_id counter, std::uint64_t window,
                               std::string const& organisation,
                               std::uint64_t count)
{
    if (organisation.empty() || count == 0 || count > limits_.max_count ||
        organisation.size() > limits_.max_name_bytes) {
        return false;
    }
    auto const found = windows_.find(window);
    auto const is_known = found != windows_.end() &&
                          found->second.contains(counter) &&
                          found->second.at(counter).contains(organisation);
    if (!is_known && size_ >= limits_.max_counts) {
        return false;
    }
    size_ += is_known ? 0 : 1;
    auto& known = windows_[window][counter][organisation];
    known = std::max(known, count);
    return true;
}

organisation_counts usage_ledger::sum(std::uint64_t window) const
{
    organisation_counts total;
    auto const found = windows_.find(window);
    if (found == windows_.end()) {
        return total;
    }
    for (auto const& [counter, counts] : found->second) {
        for (auto const& [organisation, count] : counts) {
            total[organisation] += count;
        }
    }
    return total;
}

std::vector<usage_row> usage_ledger::own_rows(std::uint64_t first) const
{
    std::vector<usage_row> rows;
    for (auto at = windows_.lower_bound(first); at != windows_.end(); ++at) {
        auto const own = at->second.find(own_);
        if (own != at->second.end()) {
            rows.push_back({at->first, own->second});
        }
    }
    return rows;
}

std::vector<usage_row> usage_ledger::take_changed_rows()
{
    std::vector<usage_row> rows;
    for (auto const& [window, organisations] : changed_) {
        auto const& counts = windows_.at(window).at(own_);
        usage_row row{window, {}};
        for (auto const& organisation : organisations) {
            row.counts.emplace(organisation, counts.at(organisation));
        }
        rows.push_back(std::move(row));
    }
    changed_.clear();
    return rows;
}

} // namespace medlarstall::duty
