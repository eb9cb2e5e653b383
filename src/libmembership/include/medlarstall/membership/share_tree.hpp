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
    std::size_t message_bytes = 300; ///< Rows in one message, about.
    std::uint64_t kept_windows = 6;  ///< Windows that figures are kept of.
    unsigned samples = 24; ///< An organisation comes first once in so many
                           ///< windows, however small it is.
};

/// What every organisation was served, summed over all daemons. A count enters
/// at one daemon and is passed on once along each link of the aggregation
/// tree, summed with others while it waits: the largest first, and each window
/// another part of the organisations before them. What has not been sent when
/// its window is two windows old goes on as a total without a name. Every
/// count arrives once, unless the tree changes under it; then it may be
/// missing beyond the lost link.
class share_tree
{
public:
    /// \param settings sizes
    explicit share_tree(share_tree_settings settings);

    /// Sets the links of the tree.
    /// \param position links of this daemon; roots are joined in pairs, so
    ///     what came from one root is not passed on to another
    void set_position(tree_position const& position);

    /// Counts what this daemon served.
    /// \param row counts to add; the organisation is named
    void record(share_row const& row);

    /// Adds what came over a link.
    /// \param from id of the daemon at the other end
    /// \param rows rows of its message
    void merge(std::string const& from, std::vector<share_row> const& rows);

    /// Takes rows to send.
    /// \param link id of the daemon at the other end
    /// \param window number of the current window
    /// \return rows that count as sent from now on
    std::vector<share_row> take(std::string const& link, std::uint64_t window);

    /// \param window number of a window
    /// \return its rows in the order of organisation and class; the row
    ///     without a name holds the rest
    [[nodiscard]] std::vector<share_row> rows(std::uint64_t window) const;

    /// \return tokens that waited for links which were given up
    [[nodiscard]] std::uint64_t unsent_tokens() const { return unsent_; }

private:
    /// Window, organisation and class.
    using row_key = std::tuple<std::uint64_t, std::string, std::string>;
    using row_table = std::map<row_key, share_counts>;

    void add(row_key const& key, share_counts const& counts,
             std::string const& from);
    [[nodiscard]] bool is_root(std::string const& link) const;
    void drop_old(std::uint64_t window);
    [[nodiscard]] std::vector<row_key> choose(row_table const& rows,
                                              std::uint64_t window) const;
    static void merge_old_rows(row_table& rows, std::uint64_t window);
    [[nodiscard]] bool sampled(std::string const& organisation,
                               std::uint64_t window) const;

    share_tree_settings settings_;
    std::vector<std::string> roots_;
    row_table totals_;
    std::map<std::string, row_table> pending_; ///< By link.
    std::uint64_t unsent_ = 0;
};

} // namespace medlarstall::membership

#endif
