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

/// What was new in a heartbeat.
struct heartbeat_news
{
    std::vector<leaving_notice> leaving;
    std::vector<quarantine_notice> quarantine;
};

/// Everything that daemons spread by heartbeats: reports of links, and notices
/// of backend servers that leave and of requests in quarantine. Owned by a
/// live_view.
class membership_gossip
{
public:
    /// \param daemon id of this daemon
    explicit membership_gossip(std::string daemon);

    /// \param links ids of the daemons to which heartbeats are sent
    void set_links(std::vector<std::string> const& links);

    /// Starts telling a daemon everything again.
    void reset_link(std::string const& daemon);

    /// \param daemon id of a daemon
    /// \return true if there is something to tell it
    [[nodiscard]] bool has_news(std::string const& daemon) const;

    /// Takes the link reports of a heartbeat.
    /// \return true if one was new
    bool merge_reports(heartbeat const& message);

    /// Takes the notices of a heartbeat.
    /// \return the new ones
    heartbeat_news merge_notices(heartbeat const& message);

    void tell(link_report report);
    void tell(leaving_notice notice);
    void tell(quarantine_notice notice);
    void forget_leaving(std::string const& backend_server);
    void forget_quarantine(std::string const& id);

    /// Forgets the link reports of daemons for which \p predicate holds; not
    /// those of this daemon.
    template<class Predicate>
    void forget_reporters(Predicate predicate)
    {
        reports_.erase_if([&](link_report const& report) {
            return report.reporter != daemon_ && predicate(report.reporter);
        });
        update_hash();
    }

    /// Adds what a daemon is to be told; it counts as told from now on.
    /// \param message heartbeat to \p to
    void fill(heartbeat& message, std::string const& to);

    /// Follows sound links from this daemon, as far as reports tell.
    /// \param graph who should have a link to whom
    /// \return ids of all daemons that are reached, this one among them
    [[nodiscard]] std::set<std::string>
    reach(neighbour_graph const& graph) const;

    /// \return the last report of this daemon, or null
    [[nodiscard]] link_report const* own_report() const
    {
        return reports_.find(daemon_);
    }

    /// \return a hash of all link reports that tell of anything
    [[nodiscard]] std::uint64_t reports_hash() const { return reports_hash_; }

    /// \return what is known of backend servers that leave
    [[nodiscard]] std::map<std::string, leaving_notice> const& leaving() const
    {
        return leaving_.items();
    }

private:
    void update_hash();

    std::string daemon_;
    gossip_table<link_report> reports_;
    gossip_table<leaving_notice> leaving_;
    gossip_table<quarantine_notice> quarantine_;
    std::uint64_t reports_hash_ = 0;
};

} // namespace medlarstall::membership

#endif
