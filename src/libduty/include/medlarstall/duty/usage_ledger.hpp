#ifndef MEDLARSTALL_DUTY_USAGE_LEDGER_HPP
#define MEDLARSTALL_DUTY_USAGE_LEDGER_HPP

#include <medlarstall/duty/usage_row.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace medlarstall::duty {

/// Bounds of a usage ledger, which hold whatever peers send.
struct ledger_limits
{
    /// Windows before the current one that are kept.
    std::uint64_t past_windows = 24;
    /// Windows after the current one that are accepted, since clocks differ.
    std::uint64_t future_windows = 1;
    /// Counts of one organisation in one window by one run of a daemon. 350
    /// daemons with 10 organisations take 3,500 for each window.
    std::size_t max_counts = 60'000;
    std::size_t max_name_bytes = 128; ///< Of an organisation.
    /// Largest count of one run of a daemon in one window.
    std::uint64_t max_count = 10'000'000;
};

/// Requests that began to run, by window, organisation and run of the daemon
/// that counted them. Counts only grow, so that rows may be merged repeatedly
/// and in any order. Rows of daemons that have ended are kept. Pure code; owned
/// by the part that counts requests.
class usage_ledger
{
public:
    /// Counts of one window, by the run of the daemon that counted them.
    using window_counts = std::map<counter_id, organisation_counts>;

    /// \param own identifier of this run of the daemon
    /// \param limits bounds of what is kept
    explicit usage_ledger(counter_id own, ledger_limits limits = {});

    /// Sets the current window. Drops older ones that are no longer kept.
    /// \param current number of the window
    void advance(std::uint64_t current);

    /// Counts a request of this daemon.
    /// \param organisation organisation of its caller
    /// \param window window in which it began to run
    /// \return false if that window is no longer kept, or not yet
    bool count(std::string const& organisation, std::uint64_t window);

    /// Merges what another run of a daemon has counted. Each count becomes the
    /// greater one of the known and the given.
    /// \param counter identifier of that run
    /// \param row what it has counted in one window
    /// \return false if the row was rejected, wholly or in part
    bool merge(counter_id counter, usage_row const& row);

    /// \param window number of a window
    /// \return counts of all daemons
    [[nodiscard]] organisation_counts sum(std::uint64_t window) const;

    /// \return counts by window; empty windows may be missing
    [[nodiscard]] std::map<std::uint64_t, window_counts> const& windows() const
    {
        return windows_;
    }

    /// \param first first window
    /// \return all that this daemon has counted since the start of that window
    [[nodiscard]] std::vector<usage_row> own_rows(std::uint64_t first) const;

    /// \return the counts of this daemon that have changed since the last call
    [[nodiscard]] std::vector<usage_row> take_changed_rows();

    /// \return number of counts that are held
    [[nodiscard]] std::size_t size() const { return size_; }

private:
    bool is_kept(std::uint64_t window) const;
    bool merge_count(counter_id counter, std::uint64_t window,
                     std::string const& organisation, std::uint64_t count);

    counter_id own_;
    ledger_limits limits_;
    std::uint64_t current_ = 0;
    std::map<std::uint64_t, window_counts> windows_;
    /// Organisations by window whose own count has changed.
    std::map<std::uint64_t, std::set<std::string>> changed_;
    std::size_t size_ = 0;
};

} // namespace medlarstall::duty

#endif
