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
    std::string daemon; ///< Id of this daemon.
    std::string data_centre;
    std::chrono::milliseconds interval{4000};        ///< Between messages.
    std::chrono::milliseconds quick_interval{200};   ///< When versions change.
    std::chrono::milliseconds load_interval{20'000}; ///< Between small changes
                                                     ///< of the load.
    share_tree_settings shares;
};

/// A message to send along a link of the tree.
struct outgoing_tree_message
{
    std::string to;
    tree_message message;
};

/// What the daemons tell each other along the aggregation tree: the loads of
/// entry daemons inside a data centre, the catalogue versions in force in each
/// data centre, and the shares of all organisations.
class tree_exchange
{
public:
    /// \param settings settings of this daemon
    /// \param incarnation start time of this daemon, greater at each start
    tree_exchange(tree_exchange_settings settings, std::uint64_t incarnation);

    /// Sets the live daemons; call it when live_view::generation() changed.
    void set_daemons(std::vector<daemon_info> const& live);

    /// Notes the load of this daemon as an entry daemon.
    /// \param load from 0 to full_load
    /// \param draining true once callers should go elsewhere
    void set_load(unsigned load, bool draining, time_point now);

    /// Notes the catalogue version that this daemon has applied.
    /// \param chain first digits of the chain digest
    void set_version(std::uint64_t offset, std::string const& chain);

    /// Counts what this daemon served.
    void record(share_row const& row) { shares_.record(row); }

    /// Takes a message from the other end of a link. A message that was taken
    /// before, or comes from a daemon without a link, changes nothing.
    void on_message(std::string const& from, tree_message const& message);

    /// \param now current time
    /// \param window number of the current window of shares
    /// \return messages to send now
    std::vector<outgoing_tree_message> tick(time_point now,
                                            std::uint64_t window);

    /// \param daemon id of a daemon
    /// \return its load, or null if it is not known
    [[nodiscard]] entry_load const* load_of(std::string const& daemon) const
    {
        return loads_.find(daemon);
    }

    /// \return the versions in force in each data centre, as far as known
    [[nodiscard]] std::vector<in_force_summary> in_force() const;

    /// \return shares of all organisations
    [[nodiscard]] share_tree const& shares() const { return shares_; }

    /// \return links of this daemon in the tree
    [[nodiscard]] tree_position const& position() const { return position_; }

private:
    struct link
    {
        std::uint64_t sequence = 0;
        std::uint64_t heard_incarnation = 0;
        std::uint64_t heard_sequence = 0;
        time_point sent;
        time_point shares_sent;
        std::optional<in_force_summary> part; ///< From a child.
        std::optional<in_force_summary> sent_part;
        std::vector<in_force_summary> sent_in_force;
        bool was_sent = false;
        bool urgent = false; ///< A daemon inside the data centre drains.
    };

    void hurry(entry_load const& load);
    [[nodiscard]] bool near(std::string const& daemon) const;
    [[nodiscard]] in_force_summary own_part() const;
    [[nodiscard]] std::vector<in_force_summary>
    for_link(std::string const& to) const;
    tree_message make_message(std::string const& to, link& one);

    tree_exchange_settings settings_;
    std::uint64_t incarnation_;
    tree_position position_;
    std::map<std::string, link> links_;
    std::map<std::string, in_force_summary> centres_; ///< Of the others.
    gossip_table<entry_load> loads_;
    share_tree shares_;
    in_force_summary own_;
    std::uint64_t load_version_ = 0;
    time_point load_changed_;
};

/// Joins what two parts of the daemons have applied.
/// \param left summary of one part; its data centre is kept
/// \param right summary of another part
/// \return summary of both
[[nodiscard]] in_force_summary join(in_force_summary const& left,
                                    in_force_summary const& right);

} // namespace medlarstall::membership

#endif
