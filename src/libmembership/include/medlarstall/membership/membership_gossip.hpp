#ifndef MEDLARSTALL_MEMBERSHIP_MEMBERSHIP_GOSSIP_HPP
#define MEDLARSTALL_MEMBERSHIP_MEMBERSHIP_GOSSIP_HPP

#include <medlarstall/membership/gossip_table.hpp>
#include <medlarstall/membership/heartbeat.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace medlarstall::membership {

class neighbour_graph;

/// The notices of a heartbeat that were not known before.
struct new_notices
{
    std::vector<leaving_notice> leaving;
    std::vector<quarantine_notice> quarantine;
};

/// Everything that daemons spread with heartbeats: link reports, leaving
/// notices of backend servers and quarantine notices. Used by live_view.
class membership_gossip
{
public:
    /// \param daemon id of this daemon
    explicit membership_gossip(std::string daemon);

    /// Sets the links on which heartbeats are sent.
    /// \param links ids of the daemons at the other ends
    void set_links(std::vector<std::string> const& links);

    /// Marks everything as pending on the link to a daemon.
    void reset_link(std::string const& daemon);

    /// \param daemon id of a daemon
    /// \return true if something is still to be sent to it
    [[nodiscard]] bool has_pending(std::string const& daemon) const;

    /// Stores the link reports of a heartbeat, except those of this daemon.
    /// \return true if at least one was newer than the stored one
    bool merge_link_reports(heartbeat const& message);

    /// Stores the leaving and quarantine notices of a heartbeat.
    /// \return those that were newer than the stored ones
    new_notices merge_notices(heartbeat const& message);

    void publish(link_report report);
    void publish(leaving_notice notice);
    void publish(quarantine_notice notice);
    void remove_leaving_notice(std::string const& backend_server);
    void remove_quarantine_notice(std::string const& id);

    /// Removes the link reports of the daemons for which \p predicate returns
    /// true, except that of this daemon.
    template<class Predicate>
    void remove_reports_if(Predicate predicate)
    {
        reports_.erase_if([&](link_report const& report) {
            return report.reporter != daemon_ && predicate(report.reporter);
        });
        update_hash();
    }

    /// Adds everything that is still to be sent to a daemon, which then counts
    /// as sent.
    /// \param message heartbeat to complete
    /// \param to id of its receiver
    void fill_heartbeat(heartbeat& message, std::string const& to);

    /// Determines which daemons can be reached from this one over healthy
    /// links. A link of the graph counts as healthy unless it is reported
    /// broken.
    /// \param graph the links that should exist
    /// \return ids of all reachable daemons, including this one
    [[nodiscard]] std::set<std::string>
    reachable_daemons(neighbour_graph const& graph) const;

    /// \return the last report of this daemon, or null if there is none
    [[nodiscard]] link_report const* own_report() const
    {
        return reports_.find(daemon_);
    }

    /// \return a hash of all link reports that contain at least one link
    [[nodiscard]] std::uint64_t reports_hash() const { return reports_hash_; }

    /// \return the known leaving notices by id of the backend server
    [[nodiscard]] std::map<std::string, leaving_notice> const&
    leaving_notices() const
    {
        return leaving_notices_.items();
    }

private:
    void update_hash();

    std::string daemon_;
    gossip_table<link_report> reports_;
    gossip_table<leaving_notice> leaving_notices_;
    gossip_table<quarantine_notice> quarantine_notices_;
    std::uint64_t reports_hash_ = 0;
};

} // namespace medlarstall::membership

#endif
