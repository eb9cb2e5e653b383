#include <medlarstall/membership/membership_gossip.hpp>

#include <medlarstall/membership/neighbour_graph.hpp>
#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <deque>
#include <utility>

namespace medlarstall::membership {

namespace {

/// Items of news in one heartbeat; the rest follows with the next.
constexpr std::size_t most_news = 512;

} // namespace

membership_gossip::membership_gossip(std::string daemon)
    : daemon_{std::move(daemon)}
{}

void membership_gossip::set_links(std::vector<std::string> const& links)
{
    reports_.set_links(links);
    leaving_.set_links(links);
    quarantine_.set_links(links);
}

void membership_gossip::reset_link(std::string const& daemon)
{
    reports_.reset_link(daemon);
    leaving_.reset_link(daemon);
    quarantine_.reset_link(daemon);
}

bool membership_gossip::has_news(std::string const& daemon) const
{
    return reports_.has_pending(daemon) || leaving_.has_pending(daemon) ||
           quarantine_.has_pending(daemon);
}

bool membership_gossip::merge_reports(heartbeat const& message)
{
    bool news = false;
    for (auto const& report : message.reports) {
        news = (report.reporter != daemon_ &&
                reports_.merge(report, message.from)) ||
               news;
    }
    if (news) {
        update_hash();
    }
    return news;
}

heartbeat_news membership_gossip::merge_notices(heartbeat const& message)
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

void membership_gossip::tell(link_report report)
{
    reports_.merge(std::move(report), {});
    update_hash();
}

void membership_gossip::tell(leaving_notice notice)
{
    leaving_.merge(std::move(notice), {});
}

void membership_gossip::tell(quarantine_notice notice)
{
    quarantine_.merge(std::move(notice), {});
}

void membership_gossip::forget_leaving(std::string const& backend_server)
{
    leaving_.erase_if([&](leaving_notice const& notice) {
        return notice.backend_server == backend_server;
    });
}

void membership_gossip::forget_quarantine(std::string const& id)
{
    quarantine_.erase_if(
        [&id](quarantine_notice const& notice) { return notice.id == id; });
}

void membership_gossip::fill(heartbeat& message, std::string const& to)
{
    message.reports_hash = reports_hash_;
    message.reports = reports_.take(to, most_news);
    message.leaving = leaving_.take(to, most_news);
    message.quarantine = quarantine_.take(to, most_news);
}

std::set<std::string>
membership_gossip::reach(neighbour_graph const& graph) const
{
    std::set<std::string> reached{daemon_};
    std::deque<std::string> open{daemon_};
    while (!open.empty()) {
        auto const here = std::move(open.front());
        open.pop_front();
        auto const* report = reports_.find(here);
        auto visit = [&](std::string const& id) {
            if (reached.insert(id).second) {
                open.push_back(id);
            }
        };
        for (auto const& id : graph.neighbours(here)) {
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

void membership_gossip::update_hash()
{
    std::uint64_t sum = 0;
    for (auto const& [id, report] : reports_.items()) {
        if (!report.broken.empty() || !report.extra.empty()) {
            sum += hash64(id, report.incarnation ^ report.version);
        }
    }
    reports_hash_ = sum;
}

} // namespace medlarstall::membership
