#include <medlarstall/membership/share_tree.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace medlarstall::membership {

namespace {

/// Approximate size of a row in CBOR without its names, in bytes.
constexpr std::size_t row_overhead_bytes = 16;

/// Age in windows from which pending rows are merged into rows without an
/// organisation.
constexpr std::uint64_t merge_age = 2;

} // namespace

share_tree::share_tree(share_tree_settings settings) : settings_{settings} {}

void share_tree::set_position(tree_position const& position)
{
    peer_roots_ = position.peer_roots;
    std::map<std::string, row_table> kept;
    for (auto const& link : position.links()) {
        auto const found = pending_.find(link);
        kept[link] =
            found != pending_.end() ? std::move(found->second) : row_table{};
    }
    for (auto const& [link, rows] : pending_) {
        for (auto const& [key, counts] : rows) {
            dropped_tokens_ += kept.contains(link) ? 0 : counts.tokens;
        }
    }
    pending_ = std::move(kept);
}

void share_tree::record(share_row const& row)
{
    add({row.window, row.organisation, row.service_class}, row.counts, {});
}

void share_tree::merge(std::string const& from,
                       std::vector<share_row> const& rows)
{
    for (auto const& row : rows) {
        add({row.window, row.organisation, row.service_class}, row.counts,
            from);
    }
}

void share_tree::add(row_key const& key, share_counts const& counts,
                     std::string const& from)
{
    totals_[key] += counts;
    bool const from_root = is_root(from);
    for (auto& [link, rows] : pending_) {
        if (link != from && !(from_root && is_root(link))) {
            rows[key] += counts;
        }
    }
    remove_old_windows(std::get<0>(totals_.rbegin()->first));
}

bool share_tree::is_root(std::string const& link) const
{
    return std::ranges::find(peer_roots_, link) != peer_roots_.end();
}

void share_tree::remove_old_windows(std::uint64_t window)
{
    while (!totals_.empty() &&
           std::get<0>(totals_.begin()->first) + settings_.kept_windows <=
               window) {
        totals_.erase(totals_.begin());
    }
}

void share_tree::merge_old_rows(row_table& rows, std::uint64_t window)
{
    row_table merged;
    std::erase_if(rows, [&](auto const& item) {
        auto const& [key, counts] = item;
        auto const& [row_window, organisation, service_class] = key;
        bool const old =
            row_window + merge_age <= window && !organisation.empty();
        if (old) {
            merged[{row_window, {}, service_class}] += counts;
        }
        return old;
    });
    for (auto const& [key, counts] : merged) {
        rows[key] += counts;
    }
}

bool share_tree::is_sampled(std::string const& organisation,
                            std::uint64_t window) const
{
    return hash64(organisation) % settings_.sampling_period ==
           window % settings_.sampling_period;
}

std::vector<share_row> share_tree::take_rows(std::string const& link,
                                             std::uint64_t window)
{
    std::vector<share_row> taken;
    auto const found = pending_.find(link);
    if (found == pending_.end()) {
        return taken;
    }
    auto& rows = found->second;
    merge_old_rows(rows, window);
    for (auto const& key : select_rows(rows, window)) {
        auto const& [row_window, organisation, service_class] = key;
        auto const row = rows.find(key);
        taken.push_back({row_window, organisation, service_class, row->second});
        rows.erase(row);
    }
    return taken;
}

/// Selects the rows for one message: the largest ones up to half of its size,
/// then sampled ones, then the next largest.
std::vector<share_tree::row_key>
share_tree::select_rows(row_table const& rows, std::uint64_t window) const
{
    std::vector<std::pair<std::uint64_t, row_key>> by_size;
    by_size.reserve(rows.size());
    for (auto const& [key, counts] : rows) {
        by_size.emplace_back(~counts.tokens, key);
    }
    std::ranges::sort(by_size);
    std::set<row_key> chosen;
    std::size_t bytes = 0;
    auto const fill = [&](std::size_t max_bytes, bool sampled_only) {
        for (auto const& [order, key] : by_size) {
            auto const& [row_window, organisation, service_class] = key;
            if (chosen.contains(key) ||
                (sampled_only && !is_sampled(organisation, window))) {
                continue;
            }
            auto const added_bytes =
                row_overhead_bytes + organisation.size() + service_class.size();
            if (bytes + added_bytes > max_bytes) {
                return;
            }
            bytes += added_bytes;
            chosen.insert(key);
        }
    };
    fill(settings_.max_message_bytes / 2, false);
    fill(settings_.max_message_bytes, true);
    fill(settings_.max_message_bytes, false);
    return {chosen.begin(), chosen.end()};
}

std::vector<share_row> share_tree::rows(std::uint64_t window) const
{
    std::vector<share_row> found;
    for (auto row = totals_.lower_bound({window, {}, {}});
         row != totals_.end() && std::get<0>(row->first) == window; ++row) {
        auto const& [row_window, organisation, service_class] = row->first;
        found.push_back({row_window, organisation, service_class, row->second});
    }
    return found;
}

} // namespace medlarstall::membership
