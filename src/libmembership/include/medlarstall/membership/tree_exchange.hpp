#ifndef MEDLARSTALL_MEMBERSHIP_TREE_EXCHANGE_HPP
#define MEDLARSTALL_MEMBERSHIP_TREE_EXCHANGE_HPP

#include <medlarstall/membership/aggregation_tree.hpp>
#include <medlarstall/membership/gossip_table.hpp>
#include <medlarstall/membership/share_tree.hpp>
#include <medlarstall/membership/tree_message.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::membership {

/// Settings of a tree_exchange.
struct tree_exchange_settings
{
    std::string daemon_id;   ///< Id of this daemon.
    std::string data_centre; ///< Data centre of this daemon.
    /// Time between two regular messages on a link.
    std::chrono::milliseconds message_interval{4000};
    /// Lower limit for the time between two messages on a link. It applies when
    /// catalogue versions changed or a daemon started to drain.
    std::chrono::milliseconds min_message_interval{200};
    /// Time between two messages about small changes of the load.
    std::chrono::milliseconds load_interval{20'000};
    share_tree_settings shares;
};

/// A message to send on a link of the aggregation tree.
struct outgoing_tree_message
{
    std::string to; ///< Id of the receiver.
    tree_message message;
};

/// Exchanges data with other daemons along the aggregation tree: the loads of
/// the entry daemons within a data centre, the catalogue versions in force in
/// each data centre, and the usage counts of all organisations.
class tree_exchange
{
public:
    /// \param settings settings of this daemon
    /// \param incarnation start time of this daemon, greater at each start
    tree_exchange(tree_exchange_settings settings, std::uint64_t incarnation);

    /// Sets the live daemons and rebuilds the tree. Has to be called whenever
    /// live_view::generation() changes.
    /// \param live all live daemons, in any order
    void set_daemons(std::vector<daemon_info> const& live);

    /// Sets the load of this daemon as an entry daemon. Changes by 1 are not
    /// sent, and other small ones at most once per
    /// tree_exchange_settings::load_interval.
    /// \param load from 0 to full_load; greater values are reduced to full_load
    /// \param draining true once clients should use other daemons
    /// \param now current time
    void set_load(unsigned load, bool draining, time_point now);

    /// Sets the catalogue version that this daemon has applied.
    /// \param offset offset of the version in the catalogue log
    /// \param chain_digest first digits of the chain digest
    void set_applied_version(std::uint64_t offset,
                             std::string const& chain_digest);

    /// Adds counts of requests that this daemon served itself.
    void record(share_row const& row) { shares_.record(row); }

    /// Processes a received message. Duplicates and messages from daemons
    /// without a link to this one are ignored.
    /// \param from id of the sender
    /// \param message the message
    void on_message(std::string const& from, tree_message const& message);

    /// Has to be called at regular intervals.
    /// \param now current time
    /// \param window number of the current time window of the usage counts
    /// \return messages to send now
    std::vector<outgoing_tree_message> tick(time_point now,
                                            std::uint64_t window);

    /// \param daemon id of a daemon
    /// \return its load, or null if it is unknown
    [[nodiscard]] entry_load const* load_of(std::string const& daemon) const
    {
        return loads_.find(daemon);
    }

    /// \return the catalogue versions in force, one summary for each data
    ///     centre that is known so far
    [[nodiscard]] std::vector<in_force_summary> in_force() const;

    /// \return the usage counts of all organisations
    [[nodiscard]] share_tree const& shares() const { return shares_; }

    /// \return links of this daemon in the tree
    [[nodiscard]] tree_position const& position() const { return position_; }

private:
    /// State of the exchange with the daemon at the other end of a link.
    struct link_state
    {
        std::uint64_t sequence = 0;
        std::uint64_t received_incarnation = 0;
        std::uint64_t received_sequence = 0;
        time_point last_sent;
        time_point shares_last_sent;
        std::optional<in_force_summary> subtree; ///< Received from a child.
        std::optional<in_force_summary> sent_subtree;
        std::vector<in_force_summary> sent_in_force;
        bool ever_sent = false;
        bool urgent = false; ///< A daemon of this data centre is draining.
    };

    void mark_links_urgent_if_draining(entry_load const& load);
    [[nodiscard]] bool in_same_data_centre(std::string const& daemon) const;
    [[nodiscard]] in_force_summary own_subtree() const;
    [[nodiscard]] std::vector<in_force_summary>
    summaries_for(std::string const& to) const;
    tree_message make_message(std::string const& to, link_state& link);

    tree_exchange_settings settings_;
    std::uint64_t incarnation_;
    tree_position position_;
    std::map<std::string, link_state> links_;
    std::map<std::string, in_force_summary>
        received_in_force_; ///< By data centre.
    gossip_table<entry_load> loads_;
    share_tree shares_;
    in_force_summary own_summary_;
    std::uint64_t load_version_ = 0;
    time_point load_updated_at_;
};

/// Combines the summaries of two disjoint sets of daemons.
/// \param left summary of one set; the result has its data centre
/// \param right summary of the other set
/// \return summary of the union; in_force_summary::daemons_behind is the
///     concatenation of both lists
[[nodiscard]] in_force_summary combine(in_force_summary const& left,
                                       in_force_summary const& right);

} // namespace medlarstall::membership

#endif
