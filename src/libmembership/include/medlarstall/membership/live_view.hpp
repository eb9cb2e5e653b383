#ifndef MEDLARSTALL_MEMBERSHIP_LIVE_VIEW_HPP
#define MEDLARSTALL_MEMBERSHIP_LIVE_VIEW_HPP

#include <medlarstall/membership/flap_damping.hpp>
#include <medlarstall/membership/heartbeat.hpp>
#include <medlarstall/membership/instances.hpp>
#include <medlarstall/membership/membership_gossip.hpp>
#include <medlarstall/membership/neighbour_graph.hpp>
#include <medlarstall/membership/peer_link.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace medlarstall::membership {

/// Settings of a live_view.
struct live_view_settings
{
    std::string daemon;                      ///< Id of this daemon.
    std::chrono::milliseconds interval{600}; ///< Between heartbeats.
    std::chrono::milliseconds timeout{1450}; ///< Silence that breaks a link.
    std::chrono::milliseconds probe{2000};   ///< Between probes of the lost.
    std::chrono::milliseconds pause{1000};   ///< Between calls of tick() that
                                             ///< tells of a pause of its own.
    std::size_t rings = 3;                   ///< See neighbour_graph.
    std::size_t least_links = 3;             ///< Sound links to look for.
    damping_settings damping;
};

/// What a daemon tells its neighbours of itself. Plain data.
struct local_state
{
    std::uint64_t catalogue_offset = 0;
    std::string catalogue_chain; ///< First 16 digits.

    bool operator==(local_state const&) const = default;
};

/// A change of the live view.
struct membership_event
{
    enum class kind
    {
        joined, ///< It is new in the list.
        lost,   ///< No chain of sound links leads to it.
        back,   ///< It was lost and counts as live again.
        left    ///< It is neither listed nor heard any more.
    };
    std::string daemon;
    kind what = kind::joined;
};

/// A heartbeat to send.
struct outgoing_heartbeat
{
    std::string to;
    heartbeat message;
};

/// What live_view::tick() asks for.
struct tick_actions
{
    std::vector<outgoing_heartbeat> heartbeats;
    std::vector<membership_event> events;
};

/// Which daemons are live, as seen by this one. A daemon is live if a chain of
/// sound links leads to it from here; a link is sound if both ends hear each
/// other. Daemons tell each other of broken links, so a cut between two of
/// them loses neither, and a daemon that stopped is lost by all once its
/// neighbours noticed. A hint that saves work: nothing unsafe follows from a
/// view that is wrong.
class live_view
{
public:
    /// \param settings settings of this daemon
    /// \param incarnation start time of this daemon, greater at each start
    /// \param now current time
    live_view(live_view_settings settings, std::uint64_t incarnation,
              time_point now);

    /// Takes a reading of the instance list.
    /// \param daemons all daemons in it, this one or not
    void on_instances(std::vector<daemon_info> const& daemons, time_point now);

    /// Takes a heartbeat.
    /// \param message heartbeat from any daemon
    /// \param now current time
    /// \return the notices in it that were not known
    heartbeat_news on_heartbeat(heartbeat const& message, time_point now);

    /// Notes that the connection to a peer was lost, which starts telling it
    /// everything again.
    void on_connection_lost(std::string const& daemon);

    /// Sets what the heartbeats say of this daemon; a change is sent at once.
    void set_local(local_state state);

    /// Tells of a backend server that is leaving, or is back.
    void tell(leaving_notice notice);

    /// Tells of a request that crashes backend servers.
    void tell(quarantine_notice notice);

    /// Forgets a notice whose backend server is gone; it is not sent again.
    /// \param backend_server id of the backend server
    void forget_leaving(std::string const& backend_server);

    /// Forgets a notice that is of no use any more; it is not sent again.
    /// \param id id of the notice
    void forget_quarantine(std::string const& id);

    /// Call it at least every tenth of the timeout.
    /// \return heartbeats to send now, and what changed
    tick_actions tick(time_point now);

    /// \param daemon id of a daemon
    /// \return true if it is live; this daemon always is
    [[nodiscard]] bool is_live(std::string const& daemon) const;

    /// \return the live daemons, this one among them once it is listed, in the
    ///     order of their ids
    [[nodiscard]] std::vector<daemon_info> live() const;

    /// \return a number that grows with each change of live()
    [[nodiscard]] std::uint64_t generation() const { return generation_; }

    /// \return the daemons to which a sound link exists, in order
    [[nodiscard]] std::vector<std::string> linked() const;

    /// \param daemon id of a daemon
    /// \return false if the link to it from here is broken
    [[nodiscard]] bool reachable(std::string const& daemon) const;

    /// \param daemon id of a neighbour
    /// \return its last heartbeat, or null
    [[nodiscard]] heartbeat const*
    last_heartbeat(std::string const& daemon) const;

    /// \return what is known of backend servers that leave
    [[nodiscard]] std::map<std::string, leaving_notice> const& leaving() const
    {
        return gossip_.leaving();
    }

private:
    struct member
    {
        daemon_info info;
        bool listed = true;
        bool live = true;
        bool reached = true;
        time_point reached_since;
        time_point unlisted_since;
    };

    [[nodiscard]] bool sound(peer_link const& one, time_point now) const;
    void forgive_own_pause(time_point now);
    void update_graph(time_point now);
    void update_own_report(time_point now);
    void update_members(time_point now, std::vector<membership_event>& events);
    void drop_unlisted(time_point now, std::vector<membership_event>& events);
    void add_probes(time_point now);
    [[nodiscard]] bool needs_links(time_point now) const;
    void drop_idle_links(time_point now);
    void compare_reports(heartbeat const& message, peer_link& one);
    void update_gossip_links();
    [[nodiscard]] heartbeat make_heartbeat(std::string const& to,
                                           peer_link& one);
    void mark_urgent();
    peer_link& link_to(std::string const& daemon, time_point now);

    live_view_settings settings_;
    std::uint64_t incarnation_;
    local_state local_;
    std::map<std::string, member> members_;
    std::map<std::string, peer_link> links_;
    neighbour_graph graph_;
    membership_gossip gossip_;
    flap_damping damping_;
    std::vector<membership_event> new_members_;
    std::uint64_t generation_ = 0;
    std::uint64_t report_version_ = 0;
    time_point last_tick_;
    time_point last_probe_;
    std::size_t probe_index_ = 0;
    bool graph_stale_ = true;
    bool reach_stale_ = true;
};

} // namespace medlarstall::membership

#endif
