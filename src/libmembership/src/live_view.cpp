#include <medlarstall/membership/live_view.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <deque>
#include <utility>

namespace medlarstall::membership {

namespace {

/// Items of news in one heartbeat; the rest follows at the next tick.
constexpr std::size_t most_news = 512;

/// Heartbeats in a row that may show other reports than ours before the peer
/// is told everything again; news take less time than that to arrive.
constexpr unsigned most_mismatches = 4;

/// Time for which a daemon that is heard, but not listed, is kept.
constexpr std::chrono::seconds unlisted_grace{30};

} // namespace

live_view::live_view(live_view_settings settings, std::uint64_t incarnation,
                     time_point now)
    : settings_{std::move(settings)}, incarnation_{incarnation},
      damping_{settings_.damping}, last_tick_{now}, last_probe_{now}
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

live_view::link& live_view::link_to(std::string const& daemon, time_point now)
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
    if (!accepts(message, one, now)) {
        return {};
    }
    merge_reports(message);
    auto news = merge_notices(message);
    compare_reports(message, one);
    one.last = message;
    one.last.reports.clear();
    one.last.leaving.clear();
    one.last.quarantine.clear();
    return news;
}

/// Notes what a heartbeat proves of a link, unless it is an old one.
bool live_view::accepts(heartbeat const& message, link& one, time_point now)
{
    if (message.incarnation < one.incarnation) {
        return false;
    }
    if (message.incarnation > one.incarnation) {
        one.incarnation = message.incarnation;
        one.heard_sequence = 0;
        one.echoed_sequence = 0;
        reset_gossip(message.from);
    }
    if (message.sequence <= one.heard_sequence) {
        return false;
    }
    one.heard_sequence = message.sequence;
    one.heard = now;
    one.was_heard = true;
    if (message.heard > one.echoed_sequence) {
        one.echoed_sequence = message.heard;
        one.echoed = now;
    }
    return true;
}

void live_view::merge_reports(heartbeat const& message)
{
    bool news = false;
    for (auto const& report : message.reports) {
        news = (report.reporter != settings_.daemon &&
                reports_.merge(report, message.from)) ||
               news;
    }
    if (news) {
        reach_stale_ = true;
        reports_hash_ = hash_reports();
    }
}

heartbeat_news live_view::merge_notices(heartbeat const& message)
{
    heartbeat_news news;
    for (auto const& notice : message.leaving) {
        if (leaving_.merge(notice, message.from)) {
            news.leaving.push_back(notice);
        }
    }
    for (auto const& notice : message.quarantine) {
        if (quarantine_.merge(notice, message.from)) {
            news.quarantine.push_back(notice);
        }
    }
    return news;
}

/// Tells a peer everything again that goes on knowing other reports.
void live_view::compare_reports(heartbeat const& message, link& one)
{
    one.mismatches =
        message.reports_hash == reports_hash_ ? 0 : one.mismatches + 1;
    if (one.mismatches >= most_mismatches) {
        one.mismatches = 0;
        reset_gossip(message.from);
    }
}

void live_view::reset_gossip(std::string const& daemon)
{
    reports_.reset_link(daemon);
    leaving_.reset_link(daemon);
    quarantine_.reset_link(daemon);
}

bool live_view::has_news(std::string const& daemon) const
{
    return reports_.has_pending(daemon) || leaving_.has_pending(daemon) ||
           quarantine_.has_pending(daemon);
}

void live_view::on_connection_lost(std::string const& daemon)
{
    reset_gossip(daemon);
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
    leaving_.merge(std::move(notice), {});
}

void live_view::tell(quarantine_notice notice)
{
    quarantine_.merge(std::move(notice), {});
}

void live_view::forget_leaving(std::string const& backend_server)
{
    leaving_.erase_if([&](leaving_notice const& notice) {
        return notice.backend_server == backend_server;
    });
}

void live_view::forget_quarantine(std::string const& id)
{
    quarantine_.erase_if(
        [&id](quarantine_notice const& notice) { return notice.id == id; });
}

void live_view::mark_urgent()
{
    for (auto& [id, one] : links_) {
        one.urgent = true;
    }
}

bool live_view::lively(link const& one, time_point now) const
{
    return now - one.heard < settings_.timeout;
}

bool live_view::sound(link const& one, time_point now) const
{
    // An echo is older than a heartbeat by up to half an interval.
    return lively(one, now) &&
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
        if (due || one.urgent || has_news(id)) {
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
    reports_.set_links(ids);
    leaving_.set_links(ids);
    quarantine_.set_links(ids);
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
        return !one.ring && !(needed && lively(one, now));
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
    auto const* last = reports_.find(settings_.daemon);
    bool const same =
        last != nullptr
            ? last->broken == report.broken && last->extra == report.extra
            : report.broken.empty() && report.extra.empty();
    if (same) {
        return;
    }
    report.version = ++report_version_;
    reports_.merge(std::move(report), {});
    reports_hash_ = hash_reports();
    reach_stale_ = true;
    mark_urgent();
}

/// Follows sound links from this daemon, as far as reports tell.
std::set<std::string> live_view::reach() const
{
    std::set<std::string> reached{settings_.daemon};
    std::deque<std::string> open{settings_.daemon};
    while (!open.empty()) {
        auto const here = std::move(open.front());
        open.pop_front();
        auto const* report = reports_.find(here);
        auto visit = [&](std::string const& id) {
            if (reached.insert(id).second) {
                open.push_back(id);
            }
        };
        for (auto const& id : graph_.neighbours(here)) {
            bool const broken =
                report != nullptr &&
                std::ranges::find(report->broken, id) != report->broken.end();
            if (!broken) {
                visit(id);
            }
        }
        for (std::size_t i = 0; report != nullptr && i < report->extra.size();
             ++i) {
            visit(report->extra[i]);
        }
    }
    return reached;
}

void live_view::update_members(time_point now,
                               std::vector<membership_event>& events)
{
    if (reach_stale_) {
        reach_stale_ = false;
        auto const reached = reach();
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
        reports_.erase_if([this](link_report const& report) {
            return report.reporter != settings_.daemon &&
                   !members_.contains(report.reporter);
        });
        reports_hash_ = hash_reports();
    }
}

std::uint64_t live_view::hash_reports() const
{
    std::uint64_t sum = 0;
    for (auto const& [id, report] : reports_.items()) {
        if (!report.broken.empty() || !report.extra.empty()) {
            sum += hash64(id, report.incarnation ^ report.version);
        }
    }
    return sum;
}

heartbeat live_view::make_heartbeat(std::string const& to, link& one)
{
    return {.from = settings_.daemon,
            .incarnation = incarnation_,
            .sequence = ++one.sequence,
            .heard = one.heard_sequence,
            .catalogue_offset = local_.catalogue_offset,
            .catalogue_chain = local_.catalogue_chain,
            .reports_hash = reports_hash_,
            .wanted = one.ring || one.wanted,
            .reports = reports_.take(to, most_news),
            .leaving = leaving_.take(to, most_news),
            .quarantine = quarantine_.take(to, most_news)};
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
