#include <medlarstall/membership/live_view.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::membership {

namespace {

/// Heartbeats in a row that may show other reports than ours before the peer
/// is told everything again; news take less time than that to arrive.
constexpr unsigned most_mismatches = 4;

/// Time for which a daemon that is heard, but not listed, is kept.
constexpr std::chrono::seconds unlisted_grace{30};

} // namespace

live_view::live_view(live_view_settings settings, std::uint64_t incarnation,
                     time_point now)
    : settings_{std::move(settings)}, incarnation_{incarnation},
      gossip_{settings_.daemon}, damping_{settings_.damping}, last_tick_{now},
      last_probe_{now}
{}

void live_view::on_instances(std::vector<daemon_info> const& daemons,
                             time_point now)
{
    std::set<std::string> listed;
    for (auto const& info : daemons) {
        listed.insert(info.id);
        auto const [place, fresh] = members_.try_emplace(info.id);
        auto& one = place->second;
        one.listed = true;
        if (!fresh) {
            generation_ += one.info == info ? 0 : 1;
            one.info = info;
            continue;
        }
        one.info = info;
        one.reached_since = now;
        ++generation_;
        graph_stale_ = true;
        new_members_.push_back({info.id, membership_event::kind::joined});
    }
    for (auto& [id, one] : members_) {
        if (one.listed && !listed.contains(id)) {
            one.listed = false;
            one.unlisted_since = now;
        }
    }
}

peer_link& live_view::link_to(std::string const& daemon, time_point now)
{
    auto const [place, fresh] = links_.try_emplace(daemon);
    if (fresh) {
        place->second.heard = now;
        place->second.echoed = now;
        place->second.sent = now - settings_.interval;
    }
    return place->second;
}

heartbeat_news live_view::on_heartbeat(heartbeat const& message, time_point now)
{
    if (message.from == settings_.daemon) {
        return {};
    }
    bool const known = links_.contains(message.from);
    auto& one = link_to(message.from, now);
    if (!known) {
        one.urgent = true;
        update_gossip_links();
    }
    auto const kind = one.take(message, now);
    if (kind == heartbeat_kind::outdated) {
        return {};
    }
    if (kind == heartbeat_kind::restarted) {
        gossip_.reset_link(message.from);
    }
    reach_stale_ = gossip_.merge_reports(message) || reach_stale_;
    auto news = gossip_.merge_notices(message);
    compare_reports(message, one);
    return news;
}

/// Tells a peer everything again that goes on knowing other reports.
void live_view::compare_reports(heartbeat const& message, peer_link& one)
{
    one.mismatches =
        message.reports_hash == gossip_.reports_hash() ? 0 : one.mismatches + 1;
    if (one.mismatches >= most_mismatches) {
        one.mismatches = 0;
        gossip_.reset_link(message.from);
    }
}

void live_view::on_connection_lost(std::string const& daemon)
{
    gossip_.reset_link(daemon);
}

void live_view::set_local(local_state state)
{
    if (!(state == local_)) {
        local_ = std::move(state);
        mark_urgent();
    }
}

void live_view::tell(leaving_notice notice)
{
    gossip_.tell(std::move(notice));
}

void live_view::tell(quarantine_notice notice)
{
    gossip_.tell(std::move(notice));
}

void live_view::forget_leaving(std::string const& backend_server)
{
    gossip_.forget_leaving(backend_server);
}

void live_view::forget_quarantine(std::string const& id)
{
    gossip_.forget_quarantine(id);
}

void live_view::mark_urgent()
{
    for (auto& [id, one] : links_) {
        one.urgent = true;
    }
}

bool live_view::sound(peer_link const& one, time_point now) const
{
    // An echo is older than a heartbeat by up to half an interval.
    return one.lively(settings_.timeout, now) &&
           now - one.echoed < settings_.timeout + settings_.interval / 2;
}

tick_actions live_view::tick(time_point now)
{
    tick_actions actions;
    actions.events.swap(new_members_);
    forgive_own_pause(now);
    last_tick_ = now;
    drop_unlisted(now, actions.events);
    update_graph(now);
    add_probes(now);
    drop_idle_links(now);
    update_own_report(now);
    update_members(now, actions.events);
    for (auto& [id, one] : links_) {
        bool const due = now - one.sent >= settings_.interval;
        if (due || one.urgent || gossip_.has_news(id)) {
            one.sent = now;
            one.urgent = false;
            actions.heartbeats.push_back({id, make_heartbeat(id, one)});
        }
    }
    return actions;
}

void live_view::forgive_own_pause(time_point now)
{
    if (now - last_tick_ < settings_.pause) {
        return;
    }
    for (auto& [id, one] : links_) {
        one.heard = now;
        one.echoed = now;
    }
}

void live_view::update_graph(time_point now)
{
    if (!graph_stale_) {
        return;
    }
    graph_stale_ = false;
    reach_stale_ = true;
    std::vector<std::string> ids;
    ids.reserve(members_.size() + 1);
    for (auto const& [id, one] : members_) {
        ids.push_back(id);
    }
    if (!members_.contains(settings_.daemon)) {
        ids.push_back(settings_.daemon);
    }
    graph_ = neighbour_graph{ids, settings_.rings};
    for (auto& [id, one] : links_) {
        one.ring = false;
    }
    for (auto const& id : graph_.neighbours(settings_.daemon)) {
        link_to(id, now).ring = true;
    }
    update_gossip_links();
}

void live_view::update_gossip_links()
{
    std::vector<std::string> ids;
    ids.reserve(links_.size());
    for (auto const& [id, one] : links_) {
        ids.push_back(id);
    }
    gossip_.set_links(ids);
}

bool live_view::needs_links(time_point now) const
{
    auto const links = static_cast<std::size_t>(
        std::ranges::count_if(links_, [&](auto const& item) {
            return item.second.ring && sound(item.second, now);
        }));
    return !members_.empty() &&
           links < std::min(settings_.least_links, members_.size() - 1);
}

/// Looks for further links while too few of the graph's are sound: among the
/// live daemons, or among all if none of them is left to try.
void live_view::add_probes(time_point now)
{
    if (!needs_links(now)) {
        for (auto& [id, one] : links_) {
            one.wanted = false;
        }
        return;
    }
    if (now - last_probe_ < settings_.probe) {
        return;
    }
    last_probe_ = now;
    std::vector<std::string> order;
    for (bool const live : {true, false}) {
        for (auto const& [id, one] : members_) {
            if (one.live == live && id != settings_.daemon &&
                !links_.contains(id)) {
                order.push_back(id);
            }
        }
        if (!order.empty()) {
            break;
        }
    }
    auto const wanted = static_cast<std::size_t>(std::ranges::count_if(
        links_, [](auto const& item) { return item.second.wanted; }));
    for (auto i = wanted; i < settings_.least_links && !order.empty(); ++i) {
        auto const pick =
            hash64(settings_.daemon, ++probe_index_) % order.size();
        link_to(order[pick], now).wanted = true;
        order.erase(order.begin() + static_cast<std::ptrdiff_t>(pick));
    }
    update_gossip_links();
}

/// Drops links outside the graph that are silent, or that neither end needs.
void live_view::drop_idle_links(time_point now)
{
    auto const erased = std::erase_if(links_, [&](auto const& item) {
        auto const& one = item.second;
        bool const needed = one.wanted || (one.was_heard && one.last.wanted);
        return !one.ring && !(needed && one.lively(settings_.timeout, now));
    });
    if (erased > 0) {
        update_gossip_links();
    }
}

void live_view::update_own_report(time_point now)
{
    link_report report{.reporter = settings_.daemon,
                       .incarnation = incarnation_};
    for (auto const& [id, one] : links_) {
        if (one.ring && !sound(one, now)) {
            report.broken.push_back(id);
        } else if (!one.ring && one.was_heard && sound(one, now)) {
            report.extra.push_back(id);
        }
    }
    auto const* last = gossip_.own_report();
    bool const same =
        last != nullptr
            ? last->broken == report.broken && last->extra == report.extra
            : report.broken.empty() && report.extra.empty();
    if (same) {
        return;
    }
    report.version = ++report_version_;
    gossip_.tell(std::move(report));
    reach_stale_ = true;
    mark_urgent();
}

void live_view::update_members(time_point now,
                               std::vector<membership_event>& events)
{
    if (reach_stale_) {
        reach_stale_ = false;
        auto const reached = gossip_.reach(graph_);
        for (auto& [id, one] : members_) {
            bool const before =
                std::exchange(one.reached, reached.contains(id));
            if (one.reached && !before) {
                one.reached_since = now;
            }
        }
    }
    for (auto& [id, one] : members_) {
        if (one.live && !one.reached) {
            one.live = false;
            ++generation_;
            damping_.on_lost(id, now);
            events.push_back({id, membership_event::kind::lost});
        } else if (!one.live && one.reached &&
                   damping_.admits(id, one.reached_since, now)) {
            one.live = true;
            ++generation_;
            events.push_back({id, membership_event::kind::back});
        }
    }
}

void live_view::drop_unlisted(time_point now,
                              std::vector<membership_event>& events)
{
    std::erase_if(members_, [&](auto const& item) {
        auto const& [id, one] = item;
        bool const gone =
            !one.listed &&
            (!one.live || now - one.unlisted_since >= unlisted_grace);
        if (gone) {
            events.push_back({id, membership_event::kind::left});
            graph_stale_ = true;
            ++generation_;
        }
        return gone;
    });
    if (graph_stale_) {
        gossip_.forget_reporters(
            [this](std::string const& id) { return !members_.contains(id); });
    }
}

heartbeat live_view::make_heartbeat(std::string const& to, peer_link& one)
{
    heartbeat message{.from = settings_.daemon,
                      .incarnation = incarnation_,
                      .sequence = ++one.sequence,
                      .heard = one.heard_sequence,
                      .catalogue_offset = local_.catalogue_offset,
                      .catalogue_chain = local_.catalogue_chain,
                      .wanted = one.ring || one.wanted};
    gossip_.fill(message, to);
    return message;
}

bool live_view::is_live(std::string const& daemon) const
{
    auto const found = members_.find(daemon);
    return daemon == settings_.daemon ||
           (found != members_.end() && found->second.live);
}

std::vector<daemon_info> live_view::live() const
{
    std::vector<daemon_info> daemons;
    for (auto const& [id, one] : members_) {
        if (one.live) {
            daemons.push_back(one.info);
        }
    }
    return daemons;
}

std::vector<std::string> live_view::linked() const
{
    std::vector<std::string> ids;
    for (auto const& [id, one] : links_) {
        if (one.was_heard && sound(one, last_tick_)) {
            ids.push_back(id);
        }
    }
    return ids;
}

bool live_view::reachable(std::string const& daemon) const
{
    auto const found = links_.find(daemon);
    return found == links_.end() ? is_live(daemon)
                                 : sound(found->second, last_tick_);
}

heartbeat const* live_view::last_heartbeat(std::string const& daemon) const
{
    auto const found = links_.find(daemon);
    return found == links_.end() || !found->second.was_heard
               ? nullptr
               : &found->second.last;
}

} // namespace medlarstall::membership
