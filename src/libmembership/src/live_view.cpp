#include <medlarstall/membership/live_view.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::membership {

namespace {

/// Number of consecutive heartbeats with a different reports hash after which
/// everything is sent to the peer again. Regular updates reach all daemons in
/// less time than that.
constexpr unsigned max_mismatches = 4;

/// Time for which a daemon that is still live, but no longer listed, is kept.
constexpr std::chrono::seconds unlisted_grace{30};

} // namespace

live_view::live_view(live_view_settings settings, std::uint64_t incarnation,
                     time_point now)
    : settings_{std::move(settings)}, incarnation_{incarnation},
      gossip_{settings_.daemon_id}, damping_{settings_.damping},
      last_tick_{now}, last_probe_{now}
{}

void live_view::on_daemon_list(std::vector<daemon_info> const& daemons,
                               time_point now)
{
    std::set<std::string> listed;
    for (auto const& info : daemons) {
        listed.insert(info.id);
        auto const [position, inserted] = members_.try_emplace(info.id);
        auto& entry = position->second;
        entry.listed = true;
        if (!inserted) {
            generation_ += entry.info == info ? 0 : 1;
            entry.info = info;
            continue;
        }
        entry.info = info;
        entry.reachable_since = now;
        ++generation_;
        graph_outdated_ = true;
        joined_events_.push_back({info.id, membership_event::kind::joined});
    }
    for (auto& [id, entry] : members_) {
        if (entry.listed && !listed.contains(id)) {
            entry.listed = false;
            entry.unlisted_since = now;
        }
    }
}

peer_link& live_view::find_or_add_link(std::string const& daemon,
                                       time_point now)
{
    auto const [position, inserted] = links_.try_emplace(daemon);
    if (inserted) {
        position->second.last_received = now;
        position->second.last_acknowledged = now;
        position->second.last_sent = now - settings_.heartbeat_interval;
    }
    return position->second;
}

new_notices live_view::on_heartbeat(heartbeat const& message, time_point now)
{
    if (message.from == settings_.daemon_id) {
        return {};
    }
    bool const known = links_.contains(message.from);
    auto& link = find_or_add_link(message.from, now);
    if (!known) {
        link.urgent = true;
        update_gossip_links();
    }
    auto const kind = link.on_heartbeat(message, now);
    if (kind == heartbeat_kind::outdated) {
        return {};
    }
    if (kind == heartbeat_kind::restarted) {
        gossip_.reset_link(message.from);
    }
    reachability_outdated_ =
        gossip_.merge_link_reports(message) || reachability_outdated_;
    auto notices = gossip_.merge_notices(message);
    compare_reports(message, link);
    return notices;
}

/// Sends everything to a peer again if its link reports differ from those of
/// this daemon for several heartbeats.
void live_view::compare_reports(heartbeat const& message, peer_link& link)
{
    link.mismatches = message.reports_hash == gossip_.reports_hash()
                          ? 0
                          : link.mismatches + 1;
    if (link.mismatches >= max_mismatches) {
        link.mismatches = 0;
        gossip_.reset_link(message.from);
    }
}

void live_view::on_connection_lost(std::string const& daemon)
{
    gossip_.reset_link(daemon);
}

void live_view::set_local_state(local_state state)
{
    if (!(state == local_)) {
        local_ = std::move(state);
        mark_links_urgent();
    }
}

void live_view::publish(leaving_notice notice)
{
    gossip_.publish(std::move(notice));
}

void live_view::publish(quarantine_notice notice)
{
    gossip_.publish(std::move(notice));
}

void live_view::remove_leaving_notice(std::string const& backend_server)
{
    gossip_.remove_leaving_notice(backend_server);
}

void live_view::remove_quarantine_notice(std::string const& id)
{
    gossip_.remove_quarantine_notice(id);
}

void live_view::mark_links_urgent()
{
    for (auto& [id, link] : links_) {
        link.urgent = true;
    }
}

bool live_view::is_healthy(peer_link const& link, time_point now) const
{
    // An acknowledgement is older than the heartbeat that carries it by up to
    // half an interval.
    return link.received_within(settings_.link_timeout, now) &&
           now - link.last_acknowledged <
               settings_.link_timeout + settings_.heartbeat_interval / 2;
}

tick_actions live_view::tick(time_point now)
{
    tick_actions actions;
    actions.events.swap(joined_events_);
    restart_timeouts_after_pause(now);
    last_tick_ = now;
    remove_unlisted(now, actions.events);
    update_graph(now);
    add_probe_links(now);
    remove_idle_links(now);
    update_own_report(now);
    update_members(now, actions.events);
    for (auto& [id, link] : links_) {
        bool const due = now - link.last_sent >= settings_.heartbeat_interval;
        if (due || link.urgent || gossip_.has_pending(id)) {
            link.last_sent = now;
            link.urgent = false;
            actions.heartbeats.push_back({id, make_heartbeat(id, link)});
        }
    }
    return actions;
}

/// Restarts the timeouts of all links if this daemon was suspended. The silence
/// of the peers during that time proves nothing.
void live_view::restart_timeouts_after_pause(time_point now)
{
    if (now - last_tick_ < settings_.pause_threshold) {
        return;
    }
    for (auto& [id, link] : links_) {
        link.last_received = now;
        link.last_acknowledged = now;
    }
}

void live_view::update_graph(time_point now)
{
    if (!graph_outdated_) {
        return;
    }
    graph_outdated_ = false;
    reachability_outdated_ = true;
    std::vector<std::string> ids;
    ids.reserve(members_.size() + 1);
    for (auto const& [id, entry] : members_) {
        ids.push_back(id);
    }
    if (!members_.contains(settings_.daemon_id)) {
        ids.push_back(settings_.daemon_id);
    }
    graph_ = neighbour_graph{ids, settings_.ring_count};
    for (auto& [id, link] : links_) {
        link.in_graph = false;
    }
    for (auto const& id : graph_.neighbours(settings_.daemon_id)) {
        find_or_add_link(id, now).in_graph = true;
    }
    update_gossip_links();
}

void live_view::update_gossip_links()
{
    std::vector<std::string> ids;
    ids.reserve(links_.size());
    for (auto const& [id, link] : links_) {
        ids.push_back(id);
    }
    gossip_.set_links(ids);
}

bool live_view::needs_links(time_point now) const
{
    auto const healthy_links = static_cast<std::size_t>(
        std::ranges::count_if(links_, [&](auto const& item) {
            return item.second.in_graph && is_healthy(item.second, now);
        }));
    return !members_.empty() &&
           healthy_links <
               std::min(settings_.min_healthy_links, members_.size() - 1);
}

/// Opens further links while too few links of the graph are healthy. The peers
/// are chosen among the live daemons, or among the others if there is a link to
/// every live daemon already.
void live_view::add_probe_links(time_point now)
{
    if (!needs_links(now)) {
        for (auto& [id, link] : links_) {
            link.is_probe = false;
        }
        return;
    }
    if (now - last_probe_ < settings_.probe_interval) {
        return;
    }
    last_probe_ = now;
    std::vector<std::string> candidates;
    for (bool const live : {true, false}) {
        for (auto const& [id, entry] : members_) {
            if (entry.live == live && id != settings_.daemon_id &&
                !links_.contains(id)) {
                candidates.push_back(id);
            }
        }
        if (!candidates.empty()) {
            break;
        }
    }
    auto const probe_count = static_cast<std::size_t>(std::ranges::count_if(
        links_, [](auto const& item) { return item.second.is_probe; }));
    for (auto i = probe_count;
         i < settings_.min_healthy_links && !candidates.empty(); ++i) {
        auto const pick =
            hash64(settings_.daemon_id, ++probe_index_) % candidates.size();
        find_or_add_link(candidates[pick], now).is_probe = true;
        candidates.erase(candidates.begin() +
                         static_cast<std::ptrdiff_t>(pick));
    }
    update_gossip_links();
}

/// Removes links outside the graph on which no heartbeat was received lately,
/// or which neither end needs.
void live_view::remove_idle_links(time_point now)
{
    auto const erased = std::erase_if(links_, [&](auto const& item) {
        auto const& link = item.second;
        bool const needed = link.is_probe || (link.ever_received &&
                                              link.last_heartbeat.link_needed);
        return !link.in_graph &&
               !(needed && link.received_within(settings_.link_timeout, now));
    });
    if (erased > 0) {
        update_gossip_links();
    }
}

void live_view::update_own_report(time_point now)
{
    link_report report{.reporter = settings_.daemon_id,
                       .incarnation = incarnation_};
    for (auto const& [id, link] : links_) {
        if (link.in_graph && !is_healthy(link, now)) {
            report.broken_links.push_back(id);
        } else if (!link.in_graph && link.ever_received &&
                   is_healthy(link, now)) {
            report.extra_links.push_back(id);
        }
    }
    auto const* last = gossip_.own_report();
    bool const unchanged =
        last != nullptr
            ? last->broken_links == report.broken_links &&
                  last->extra_links == report.extra_links
            : report.broken_links.empty() && report.extra_links.empty();
    if (unchanged) {
        return;
    }
    report.version = ++report_version_;
    gossip_.publish(std::move(report));
    reachability_outdated_ = true;
    mark_links_urgent();
}

void live_view::update_members(time_point now,
                               std::vector<membership_event>& events)
{
    if (reachability_outdated_) {
        reachability_outdated_ = false;
        auto const reachable = gossip_.reachable_daemons(graph_);
        for (auto& [id, entry] : members_) {
            bool const was_reachable =
                std::exchange(entry.reachable, reachable.contains(id));
            if (entry.reachable && !was_reachable) {
                entry.reachable_since = now;
            }
        }
    }
    for (auto& [id, entry] : members_) {
        if (entry.live && !entry.reachable) {
            entry.live = false;
            ++generation_;
            damping_.on_lost(id, now);
            events.push_back({id, membership_event::kind::lost});
        } else if (!entry.live && entry.reachable &&
                   damping_.may_rejoin(id, entry.reachable_since, now)) {
            entry.live = true;
            ++generation_;
            events.push_back({id, membership_event::kind::rejoined});
        }
    }
}

void live_view::remove_unlisted(time_point now,
                                std::vector<membership_event>& events)
{
    std::erase_if(members_, [&](auto const& item) {
        auto const& [id, entry] = item;
        bool const removed =
            !entry.listed &&
            (!entry.live || now - entry.unlisted_since >= unlisted_grace);
        if (removed) {
            events.push_back({id, membership_event::kind::left});
            graph_outdated_ = true;
            ++generation_;
        }
        return removed;
    });
    if (graph_outdated_) {
        gossip_.remove_reports_if(
            [this](std::string const& id) { return !members_.contains(id); });
    }
}

heartbeat live_view::make_heartbeat(std::string const& to, peer_link& link)
{
    heartbeat message{.from = settings_.daemon_id,
                      .incarnation = incarnation_,
                      .sequence = ++link.sequence,
                      .received_sequence = link.received_sequence,
                      .catalogue_offset = local_.catalogue_offset,
                      .catalogue_chain_digest = local_.catalogue_chain_digest,
                      .link_needed = link.in_graph || link.is_probe};
    gossip_.fill_heartbeat(message, to);
    return message;
}

bool live_view::is_live(std::string const& daemon) const
{
    auto const found = members_.find(daemon);
    return daemon == settings_.daemon_id ||
           (found != members_.end() && found->second.live);
}

std::vector<daemon_info> live_view::live_daemons() const
{
    std::vector<daemon_info> daemons;
    for (auto const& [id, entry] : members_) {
        if (entry.live) {
            daemons.push_back(entry.info);
        }
    }
    return daemons;
}

std::vector<std::string> live_view::linked_daemons() const
{
    std::vector<std::string> ids;
    for (auto const& [id, link] : links_) {
        if (link.ever_received && is_healthy(link, last_tick_)) {
            ids.push_back(id);
        }
    }
    return ids;
}

bool live_view::is_reachable(std::string const& daemon) const
{
    auto const found = links_.find(daemon);
    return found == links_.end() ? is_live(daemon)
                                 : is_healthy(found->second, last_tick_);
}

heartbeat const* live_view::last_heartbeat(std::string const& daemon) const
{
    auto const found = links_.find(daemon);
    return found == links_.end() || !found->second.ever_received
               ? nullptr
               : &found->second.last_heartbeat;
}

} // namespace medlarstall::membership
