#include <medlarstall/membership/membership_gossip.hpp>

#include <medlarstall/membership/neighbour_graph.hpp>
#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <deque>
#include <utility>

namespace medlarstall::membership {

namespace {

/// Upper limit for the items of each kind in one heartbeat. Further items are
/// sent with the next heartbeats.
constexpr std::size_t max_items_per_kind = 512;

} // namespace

membership_gossip::membership_gossip(std::string daemon)
    : daemon_{std::move(daemon)}
{}

void membership_gossip::set_links(std::vector<std::string> const& links)
{
    reports_.set_links(links);
    leaving_notices_.set_links(links);
    quarantine_notices_.set_links(links);
}

void membership_gossip::reset_link(std::string const& daemon)
{
    reports_.reset_link(daemon);
    leaving_notices_.reset_link(daemon);
    quarantine_notices_.reset_link(daemon);
}

bool membership_gossip::has_pending(std::string const& daemon) const
{
    return reports_.has_pending(daemon) ||
           leaving_notices_.has_pending(daemon) ||
           quarantine_notices_.has_pending(daemon);
}

bool membership_gossip::merge_link_reports(heartbeat const& message)
{
    bool changed = false;
    for (auto const& report : message.link_reports) {
        changed = (report.reporter != daemon_ &&
                   reports_.merge(report, message.from)) ||
                  changed;
    }
    if (changed) {
        update_hash();
    }
    return changed;
}

new_notices membership_gossip::merge_notices(heartbeat const& message)
{
    new_notices added;
    for (auto const& notice : message.leaving_notices) {
        if (leaving_notices_.merge(notice, message.from)) {
            added.leaving.push_back(notice);
        }
    }
    for (auto const& notice : message.quarantine_notices) {
        if (quarantine_notices_.merge(notice, message.from)) {
            added.quarantine.push_back(notice);
        }
    }
    return added;
}

void membership_gossip::publish(link_report report)
{
    reports_.merge(std::move(report), {});
    update_hash();
}

void membership_gossip::publish(leaving_notice notice)
{
    leaving_notices_.merge(std::move(notice), {});
}

void membership_gossip::publish(quarantine_notice notice)
{
    quarantine_notices_.merge(std::move(notice), {});
}

void membership_gossip::remove_leaving_notice(std::string const& backend_server)
{
    leaving_notices_.erase_if([&](leaving_notice const& notice) {
        return notice.backend_server == backend_server;
    });
}

void membership_gossip::remove_quarantine_notice(std::string const& id)
{
    quarantine_notices_.erase_if(
        [&id](quarantine_notice const& notice) { return notice.id == id; });
}

void membership_gossip::fill_heartbeat(heartbeat& message,
                                       std::string const& to)
{
    message.reports_hash = reports_hash_;
    message.link_reports = reports_.take_pending(to, max_items_per_kind);
    message.leaving_notices =
        leaving_notices_.take_pending(to, max_items_per_kind);
    message.quarantine_notices =
        quarantine_notices_.take_pending(to, max_items_per_kind);
}

std::set<std::string>
membership_gossip::reachable_daemons(neighbour_graph const& graph) const
{
    std::set<std::string> reachable{daemon_};
    std::deque<std::string> unvisited{daemon_};
    while (!unvisited.empty()) {
        auto const current = std::move(unvisited.front());
        unvisited.pop_front();
        auto const* report = reports_.find(current);
        auto visit = [&](std::string const& id) {
            if (reachable.insert(id).second) {
                unvisited.push_back(id);
            }
        };
        for (auto const& id : graph.neighbours(current)) {
            bool const broken = report != nullptr &&
                                std::ranges::find(report->broken_links, id) !=
                                    report->broken_links.end();
            if (!broken) {
                visit(id);
            }
        }
        for (std::size_t i = 0;
             report != nullptr && i < report->extra_links.size(); ++i) {
            visit(report->extra_links[i]);
        }
    }
    return reachable;
}

void membership_gossip::update_hash()
{
    std::uint64_t sum = 0;
    for (auto const& [id, report] : reports_.items()) {
        if (!report.broken_links.empty() || !report.extra_links.empty()) {
            sum += hash64(id, report.incarnation ^ report.version);
        }
    }
    reports_hash_ = sum;
}

} // namespace medlarstall::membership
