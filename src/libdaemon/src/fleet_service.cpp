#include "fleet_service.hpp"

#include "catalogue_service.hpp"
#include "node.hpp"
#include "owner_service.hpp"
#include "summary_codec.hpp"

#include <medlarstall/membership/ownership.hpp>
#include <medlarstall/support/log.hpp>

namespace medlarstall::daemon {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds tick_interval{100};

/// How often backend servers are compared with their siblings.
constexpr milliseconds health_interval{200};

/// Bytes a second for summaries, which every daemon sends and receives; the
/// rest of its control traffic has to
/// fit beside both into 9 KB/s.
constexpr double summary_bytes_per_second = 1'500;

/// Most of the budget that is saved up, so that a change goes out at once.
constexpr double summary_burst_bytes = 1'000;

/// Owners and subsets of a large fleet take tens of milliseconds to work out,
/// so changes that come together are taken together.
constexpr milliseconds recompute_interval{200};

/// Shortest time between two updates of the catalogue to one daemon.
constexpr milliseconds catalogue_resend{400};

/// Digits of the chain digest in heartbeats.
constexpr std::size_t chain_digits = 16;

std::uint64_t wall_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

backend_server_info server_of(platform::instance const& listed)
{
    return {.id = listed.id,
            .group = listed.group,
            .address = listed.address,
            .port = listed.port,
            .data_centre = listed.data_centre,
            .leaving = listed.state == platform::instance_state::leaving};
}

daemon_info daemon_of(platform::instance const& listed)
{
    return {.id = listed.id,
            .address = listed.address,
            .port = listed.port,
            .peer_port = listed.peer_port,
            .data_centre = listed.data_centre,
            .leaving = listed.state == platform::instance_state::leaving};
}

} // namespace

fleet_service::fleet_service(node& shared, catalogue_service& catalogue,
                             std::function<void()> on_changed)
    : node_{shared}, catalogue_{catalogue}, on_changed_{std::move(on_changed)},
      links_{shared, [this](json const& message) { take_message(message); },
             [this](std::string const& daemon) {
                 if (view_) {
                     view_->on_connection_lost(daemon);
                 }
             }},
      timer_{shared.io}
{}

fleet_service::~fleet_service()
{
    alive_.reset();
}

void fleet_service::start(daemon_info self)
{
    self_ = std::move(self);
    auto const now = decision_clock::now();
    membership::live_view_settings settings;
    settings.daemon = self_.id;
    view_ = std::make_unique<membership::live_view>(settings, wall_ms(), now);
    node_.known.listed_daemons[self_.id] = self_;
    view_->on_instances({self_}, now);
    budget_at_ = now;
    tick();
}

void fleet_service::take_list(platform::instance_snapshot const& list)
{
    std::vector<daemon_info> daemons{self_};
    listed_servers_.clear();
    for (auto const& one : list.instances) {
        if (one.kind == platform::instance_kind::backend_server) {
            listed_servers_.push_back(server_of(one));
        } else if (one.id != self_.id) {
            daemons.push_back(daemon_of(one));
        }
    }
    update_backend_servers();
    node_.known.listed_daemons.clear();
    for (auto const& one : daemons) {
        node_.known.listed_daemons.emplace(one.id, one);
    }
    view_->on_instances(daemons, decision_clock::now());
}

void fleet_service::update_backend_servers()
{
    auto servers = listed_servers_;
    if (node_.catalogue.ready()) {
        for (auto const& [name, group] : node_.catalogue.entries->groups) {
            for (auto const& one : group.value.backend_servers) {
                servers.push_back({.id = one.id,
                                   .group = name,
                                   .address = one.address,
                                   .port = one.port,
                                   .data_centre = one.data_centre});
            }
        }
    }
    for (auto& notice : states_.on_list(servers, decision_clock::now())) {
        view_->tell(std::move(notice));
    }
    for (auto const& id : states_.take_forgotten()) {
        view_->forget_leaving(id);
    }
}

void fleet_service::catalogue_changed()
{
    if (view_) {
        update_backend_servers();
        recompute();
    }
}

void fleet_service::leave()
{
    self_.leaving = true;
    node_.known.listed_daemons[self_.id] = self_;
    std::vector<daemon_info> daemons;
    daemons.reserve(node_.known.listed_daemons.size());
    for (auto const& [id, one] : node_.known.listed_daemons) {
        daemons.push_back(one);
    }
    view_->on_instances(daemons, decision_clock::now());
    stale_ = true;
}

void fleet_service::tell(routing::quarantine_record const& record)
{
    view_->tell(membership::quarantine_notice{
        .id = self_.id + "/" + std::to_string(++notices_),
        .version = 1,
        .record = routing::to_json(record)});
}

void fleet_service::tick()
{
    auto const now = decision_clock::now();
    view_->set_local(
        {.catalogue_offset = catalogue_.follower().version().offset,
         .catalogue_chain =
             catalogue_.follower().version().chain.substr(0, chain_digits)});
    auto actions = view_->tick(now);
    for (auto const& event : actions.events) {
        static constexpr char const* names[] = {"joined", "lost", "back",
                                                "left"};
        log_line{severity::info, "membership"}
            .with("daemon", event.daemon)
            .with("change", names[static_cast<std::size_t>(event.what)]);
        if (event.what == membership::membership_event::kind::lost) {
            node_.router.lose_owner(event.daemon);
        }
    }
    for (auto const& one : actions.heartbeats) {
        send(one.to, {{"h", membership::to_json(one.message)}});
    }
    bool const changed = view_->generation() != seen_generation_ ||
                         states_.generation() != seen_servers_ || stale_;
    if (changed && now - recomputed_at_ >= recompute_interval) {
        recomputed_at_ = now;
        recompute();
    }
    update_health(now);
    send_summaries(now);
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this, alive = std::weak_ptr{alive_}](auto const& failure) {
            if (!failure && !alive.expired()) {
                tick();
            }
        });
}

void fleet_service::send(std::string const& daemon, json const& message)
{
    bytes_sent_ += links_.send(daemon, message);
}

void fleet_service::take_message(json const& message)
{
    if (!message.is_object() || !view_) {
        ++node_.figures.bad_messages;
        return;
    }
    if (message.contains("h")) {
        take_heartbeat(message["h"]);
    }
    if (message.contains("s")) {
        take_summaries(message);
    }
    if (message.contains("t") && message.contains("from") &&
        message["from"].is_string() && take_tree_) {
        take_tree_(message["from"], message["t"]);
    }
    if (message.contains("c")) {
        catalogue_.take_updates(message["c"]);
    }
}

void fleet_service::take_heartbeat(json const& value)
{
    auto const read = membership::parse_heartbeat(value);
    if (failed(read)) {
        ++node_.figures.bad_messages;
        return;
    }
    auto const& message = value_of(read);
    auto const now = decision_clock::now();
    auto const news = view_->on_heartbeat(message, now);
    for (auto const& notice : news.leaving) {
        states_.on_notice(notice, now);
    }
    for (auto const& notice : news.quarantine) {
        auto const record = routing::parse_quarantine_record(notice.record);
        if (failed(record)) {
            ++node_.figures.bad_messages;
        } else {
            node_.suspects.merge(value_of(record), now);
        }
    }
    send_catalogue(message.from, message.catalogue_offset);
}

void fleet_service::send_catalogue(std::string const& daemon,
                                   std::uint64_t offset)
{
    auto const now = decision_clock::now();
    auto& sent = catalogue_sent_[daemon];
    if (now - sent < catalogue_resend) {
        return;
    }
    auto updates = catalogue_.updates_for(offset);
    if (updates.is_null()) {
        return;
    }
    sent = now;
    send(daemon, {{"c", std::move(updates)}});
}

void fleet_service::take_summaries(json const& message)
{
    if (!message.contains("from") || !message["from"].is_string() ||
        !message["s"].is_array()) {
        ++node_.figures.bad_messages;
        return;
    }
    for (auto const& one : message["s"]) {
        node_.take_summary(message["from"], one);
    }
}

void fleet_service::recompute()
{
    stale_ = false;
    auto const former_generation = seen_generation_;
    seen_generation_ = view_->generation();
    node_.known.daemons.clear();
    for (auto const& one : view_->live()) {
        node_.known.daemons.emplace(one.id, one);
    }
    collect_backend_servers();
    assign();
    // What this daemon owns from now on can be routed to at once.
    for (auto const& one : node_.owner->summaries()) {
        node_.router.take_summary(one, decision_clock::now());
    }
    node_.router.set_daemons(
        static_cast<std::uint32_t>(node_.known.daemons.size()));
    if (former_generation != seen_generation_) {
        on_changed_();
    }
}

void fleet_service::collect_backend_servers()
{
    auto const former = std::exchange(node_.known.backend_servers, {});
    auto& servers = node_.known.backend_servers;
    seen_servers_ = states_.generation();
    for (auto const& one : states_.servers()) {
        servers.emplace(one.id, one);
    }
    for (auto const& [id, one] : servers) {
        node_.health.add(id, one.group);
        node_.router.set_leaving(id, one.leaving);
    }
    forget_absent(former);
}

void fleet_service::forget_absent(
    std::map<std::string, backend_server_info, std::less<>> const& former)
{
    for (auto const& [id, one] : former) {
        if (!node_.known.backend_servers.contains(id)) {
            node_.router.forget(id);
            node_.health.forget(id);
        }
    }
}

void fleet_service::assign()
{
    std::vector<daemon_info> daemons;
    daemons.reserve(node_.known.daemons.size());
    for (auto const& [id, one] : node_.known.daemons) {
        daemons.push_back(one);
    }
    std::vector<backend_server_info> servers;
    std::vector<backend_server_info> usable;
    servers.reserve(node_.known.backend_servers.size());
    usable.reserve(node_.known.backend_servers.size());
    for (auto const& [id, one] : node_.known.backend_servers) {
        servers.push_back(one);
        if (!one.leaving) {
            usable.push_back(one);
        }
    }
    auto const owners = membership::assign_owners(daemons, servers);
    std::vector<backend_server_info> owned;
    for (auto const& one : servers) {
        auto const owner = owners.find(one.id);
        if (owner == owners.end()) {
            continue;
        }
        if (owner->second == self_.id) {
            owned.push_back(one);
        }
        auto& noted = node_.known.owners[one.id];
        if (noted != owner->second) {
            noted = owner->second;
            log_line{severity::info, "ownership"}
                .with("backend_server", one.id)
                .with("owner", noted);
        }
    }
    node_.owner->set_backend_servers(owned);
    recipients_.clear();
    for (auto const& [entry, ids] :
         membership::choose_subsets(daemons, usable)) {
        for (auto const& id : ids) {
            auto const owner = owners.find(id);
            if (owner != owners.end() && owner->second == self_.id &&
                entry != self_.id) {
                recipients_[entry].push_back(id);
            }
        }
    }
}

void fleet_service::update_health(time_point now)
{
    if (now - health_at_ < health_interval) {
        return;
    }
    health_at_ = now;
    for (auto const& change : node_.health.evaluate(now)) {
        node_.router.set_health(change.backend_server, change.to,
                                change.slowdown);
        node_.owner->set_demoted(change.backend_server,
                                 change.to != routing::health_state::healthy);
        log_line{severity::info, "health"}
            .with("backend_server", change.backend_server)
            .with("from", routing::name_of(change.from))
            .with("to", routing::name_of(change.to))
            .with("slowdown", change.slowdown);
    }
}

void fleet_service::send_summaries(time_point now)
{
    auto const summaries = node_.owner->summaries();
    for (auto const& one : summaries) {
        node_.router.take_summary(one, now);
    }
    std::chrono::duration<double> const since = now - budget_at_;
    budget_at_ = now;
    summary_budget_ =
        std::min(summary_budget_ + since.count() * summary_bytes_per_second,
                 summary_burst_bytes);
    if (summary_budget_ < 0 || recipients_.empty()) {
        return;
    }
    std::map<std::string, json> encoded;
    for (auto const& one : summaries) {
        encoded.emplace(one.backend_server, to_json(one));
    }
    auto const before = bytes_sent_;
    for (auto const& [entry, ids] : recipients_) {
        auto list = json::array();
        for (auto const& id : ids) {
            auto const found = encoded.find(id);
            if (found != encoded.end()) {
                list.push_back(found->second);
            }
        }
        if (!list.empty()) {
            send(entry, {{"from", self_.id}, {"s", std::move(list)}});
        }
    }
    summary_budget_ -= static_cast<double>(bytes_sent_ - before);
}

} // namespace medlarstall::daemon
