#ifndef MEDLARSTALL_MEMBERSHIP_SHARE_TREE_HPP
#define MEDLARSTALL_MEMBERSHIP_SHARE_TREE_HPP

#include <medlarstall/membership/aggregation_tree.hpp>
#include <medlarstall/membership/tree_message.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace medlarstall::membership {

/// Settings of a share_tree.
struct share_tree_settings
{
    /// Approximate upper limit for the size of the rows in one message.
    std::size_t max_message_bytes = 300;
    /// Number of windows for which counts are kept.
    std::uint64_t kept_windows = 6;
    /// Number of windows in which each organisation gets priority once,
    /// however small its counts are.
    unsigned sampling_period = 24;
};

/// Sums up over all daemons what was served to each organisation. A count is
/// recorded at one daemon and forwarded once along each link of the aggregation
/// tree. While it is pending on a link, it is added to other counts of the same
/// row. Rows with the most tokens are sent first, together with a sample of the
/// other organisations that changes with each window. Rows that are still
/// pending when their window is two windows old are merged into one row without
/// an organisation for each class. Every count arrives exactly once at each
/// daemon, unless the tree changes while it is pending; then it can be missing
/// behind the removed link.
class share_tree
{
public:
    /// \param settings limits for message size and history
    explicit share_tree(share_tree_settings settings);

    /// Sets the links on which counts are sent. Counts that are pending on a
    /// removed link are dropped.
    /// \param position links of this daemon. As every root has a link to every
    ///     other, counts received from one root are not forwarded to another.
    void set_position(tree_position const& position);

    /// Adds counts of requests that this daemon served itself.
    /// \param row counts to add; share_row::organisation must not be empty
    void record(share_row const& row);

    /// Adds counts received over a link.
    /// \param from id of the daemon at the other end
    /// \param rows rows of its message
    void merge(std::string const& from, std::vector<share_row> const& rows);

    /// Removes pending rows from a link in order to send them.
    /// \param link id of the daemon at the other end
    /// \param window number of the current window
    /// \return the rows, which then count as sent
    std::vector<share_row> take_rows(std::string const& link,
                                     std::uint64_t window);

    /// \param window number of a window
    /// \return its rows sorted by organisation and class; rows with an empty
    ///     organisation hold the sum of those that are not listed by name
    [[nodiscard]] std::vector<share_row> rows(std::uint64_t window) const;

    /// \return number of tokens that were pending on links when these were
    ///     removed
    [[nodiscard]] std::uint64_t dropped_tokens() const
    {
        return dropped_tokens_;
    }

private:
    /// Window, organisation and class.
    using row_key = std::tuple<std::uint64_t, std::string, std::string>;
    using row_table = std::map<row_key, share_counts>;

    void add(row_key const& key, share_counts const& counts,
             std::string const& from);
    [[nodiscard]] bool is_root(std::string const& link) const;
    void remove_old_windows(std::uint64_t window);
    [[nodiscard]] std::vector<row_key> select_rows(row_table const& rows,
                                                   std::uint64_t window) const;
    static void merge_old_rows(row_table& rows, std::uint64_t window);
    [[nodiscard]] bool is_sampled(std::string const& organisation,
                                  std::uint64_t window) const;

    share_tree_settings settings_;
    std::vector<std::string> peer_roots_;
    row_table totals_;
    std::map<std::string, row_table> pending_; ///< Rows to send, by link.
    std::uint64_t dropped_tokens_ = 0;
};

} // namespace medlarstall::membership

#endif
