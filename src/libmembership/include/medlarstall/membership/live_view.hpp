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
    std::string daemon_id; ///< Id of this daemon.
    /// Time between two heartbeats on a link.
    std::chrono::milliseconds heartbeat_interval{600};
    /// Time without a heartbeat after which a link counts as broken.
    std::chrono::milliseconds link_timeout{1450};
    /// Time between attempts to open further links while too few are healthy.
    std::chrono::milliseconds probe_interval{2000};
    /// Time between two calls of tick() from which this daemon is assumed to
    /// have been suspended itself, so that the silence of its peers proves
    /// nothing.
    std::chrono::milliseconds pause_threshold{1000};
    std::size_t ring_count = 3;        ///< See neighbour_graph.
    std::size_t min_healthy_links = 3; ///< With fewer healthy links, further
                                       ///< ones are opened.
    damping_settings damping;
};

/// What a daemon reports about itself in its heartbeats.
struct local_state
{
    std::uint64_t catalogue_offset = 0;
    std::string
        catalogue_chain_digest; ///< First 16 digits of the chain digest.

    bool operator==(local_state const&) const = default;
};

/// A change of the live view that concerns one daemon.
struct membership_event
{
    enum class kind
    {
        joined,   ///< The daemon was added to the instance list.
        lost,     ///< No path of healthy links leads to the daemon any more.
        rejoined, ///< The daemon was lost and counts as live again.
        left      ///< The daemon was removed because it is not listed and is
                  ///< lost, or has not been listed for some time.
    };
    std::string daemon; ///< Id of the daemon.
    kind change = kind::joined;
};

/// A heartbeat to send.
struct outgoing_heartbeat
{
    std::string to; ///< Id of the receiver.
    heartbeat message;
};

/// What the caller of live_view::tick() has to do.
struct tick_actions
{
    std::vector<outgoing_heartbeat> heartbeats; ///< To send now.
    std::vector<membership_event> events;       ///< Since the last call.
};

/// Determines which daemons are live, as seen by this daemon. A link is
/// healthy if both ends receive the heartbeats of the other. A daemon is live
/// if a path of healthy links leads to it from here. Daemons report their
/// broken links to each other. A network failure between two daemons therefore
/// makes neither of them lost, while a daemon that stopped is lost for all
/// once its neighbours have noticed. The view is only a hint that saves work:
/// a wrong view never causes anything unsafe.
class live_view
{
public:
    /// \param settings settings of this daemon
    /// \param incarnation start time of this daemon, greater at each start
    /// \param now current time
    live_view(live_view_settings settings, std::uint64_t incarnation,
              time_point now);

    /// Updates the members from a new copy of the instance list.
    /// \param daemons all listed daemons; may or may not contain this one
    /// \param now current time
    void on_daemon_list(std::vector<daemon_info> const& daemons,
                        time_point now);

    /// Processes a received heartbeat.
    /// \param message heartbeat from any daemon
    /// \param now current time
    /// \return the notices in it that were not known before
    new_notices on_heartbeat(heartbeat const& message, time_point now);

    /// Handles the loss of the connection to a peer: as messages may have been
    /// lost with it, everything is sent to the peer again.
    /// \param daemon id of the peer
    void on_connection_lost(std::string const& daemon);

    /// Sets what the heartbeats report about this daemon. If it changed, a
    /// heartbeat is sent on each link with the next tick.
    void set_local_state(local_state state);

    /// Sends a notice about a backend server to all daemons.
    void publish(leaving_notice notice);

    /// Sends a notice about a request that crashes backend servers to all
    /// daemons.
    void publish(quarantine_notice notice);

    /// Removes the leaving notice of a backend server that no longer exists,
    /// so that it is not sent again.
    /// \param backend_server id of the backend server
    void remove_leaving_notice(std::string const& backend_server);

    /// Removes a quarantine notice that is no longer needed, so that it is not
    /// sent again.
    /// \param id id of the notice
    void remove_quarantine_notice(std::string const& id);

    /// Updates the view. Has to be called at least every tenth of
    /// live_view_settings::link_timeout.
    /// \param now current time
    /// \return heartbeats to send now and changes of the view
    tick_actions tick(time_point now);

    /// \param daemon id of a daemon
    /// \return true if it is live; always true for this daemon
    [[nodiscard]] bool is_live(std::string const& daemon) const;

    /// \return the live daemons sorted by id; contains this daemon once it is
    ///     listed
    [[nodiscard]] std::vector<daemon_info> live_daemons() const;

    /// \return a counter that increases with every change of live_daemons()
    [[nodiscard]] std::uint64_t generation() const { return generation_; }

    /// \return ids of the daemons to which a healthy link exists, sorted
    [[nodiscard]] std::vector<std::string> linked_daemons() const;

    /// \param daemon id of a daemon
    /// \return false if the direct link to it is broken; for a daemon without
    ///     a direct link, whether it is live
    [[nodiscard]] bool is_reachable(std::string const& daemon) const;

    /// \param daemon id of a neighbour
    /// \return its last heartbeat without reports and notices, or null if none
    ///     was received
    [[nodiscard]] heartbeat const*
    last_heartbeat(std::string const& daemon) const;

    /// \return the known leaving notices by id of the backend server
    [[nodiscard]] std::map<std::string, leaving_notice> const&
    leaving_notices() const
    {
        return gossip_.leaving_notices();
    }

private:
    struct member
    {
        daemon_info info;
        bool listed = true;
        bool live = true;
        bool reachable = true; ///< A path of healthy links leads to it.
        time_point reachable_since;
        time_point unlisted_since;
    };

    [[nodiscard]] bool is_healthy(peer_link const& link, time_point now) const;
    void restart_timeouts_after_pause(time_point now);
    void update_graph(time_point now);
    void update_own_report(time_point now);
    void update_members(time_point now, std::vector<membership_event>& events);
    void remove_unlisted(time_point now, std::vector<membership_event>& events);
    void add_probe_links(time_point now);
    [[nodiscard]] bool needs_links(time_point now) const;
    void remove_idle_links(time_point now);
    void compare_reports(heartbeat const& message, peer_link& link);
    void update_gossip_links();
    [[nodiscard]] heartbeat make_heartbeat(std::string const& to,
                                           peer_link& link);
    void mark_links_urgent();
    peer_link& find_or_add_link(std::string const& daemon, time_point now);

    live_view_settings settings_;
    std::uint64_t incarnation_;
    local_state local_;
    std::map<std::string, member> members_;
    std::map<std::string, peer_link> links_;
    neighbour_graph graph_;
    membership_gossip gossip_;
    flap_damping damping_;
    std::vector<membership_event> joined_events_;
    std::uint64_t generation_ = 0;
    std::uint64_t report_version_ = 0;
    time_point last_tick_;
    time_point last_probe_;
    std::size_t probe_index_ = 0;
    bool graph_outdated_ = true;
    bool reachability_outdated_ = true;
};

} // namespace medlarstall::membership

#endif
