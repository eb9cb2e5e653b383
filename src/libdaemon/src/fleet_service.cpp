#include "fleet_service.hpp"

#include "catalogue_service.hpp"
#include "daemon_context.hpp"
#include "owner_service.hpp"
#include "summary_codec.hpp"

#include <medlarstall/membership/ownership.hpp>
#include <medlarstall/support/log.hpp>

namespace medlarstall::daemon {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds tick_interval{100};

/// How often each backend server is compared with the others of its group.
constexpr milliseconds health_interval{200};

/// Bytes per second for sending summaries. Every daemon also receives
/// summaries, and both together with the rest of its control traffic must
/// not exceed 9 KB/s.
constexpr double summary_bytes_per_second = 1'500;

/// Most unused budget that accumulates, so that a change can be sent at once.
constexpr double summary_burst_bytes = 1'000;

/// Shortest time between two assignments of owners and subsets after changes of
/// the fleet. For a large fleet, one takes tens of milliseconds to compute, so
/// changes that arrive within this time are handled together.
constexpr milliseconds recompute_interval{200};

/// Shortest time between two catalogue updates to the same daemon.
constexpr milliseconds catalogue_resend_interval{400};

/// Number of leading digits of the catalogue's chain digest in a heartbeat.
constexpr std::size_t chain_digest_digits = 16;

std::uint64_t wall_clock_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

backend_server_info to_backend_server_info(platform::instance const& listed)
{
    return {.id = listed.id,
            .group = listed.group,
            .address = listed.address,
            .port = listed.port,
            .data_centre = listed.data_centre,
            .leaving = listed.state == platform::instance_state::leaving};
}

daemon_info to_daemon_info(platform::instance const& listed)
{
    return {.id = listed.id,
            .address = listed.address,
            .port = listed.port,
            .peer_port = listed.peer_port,
            .data_centre = listed.data_centre,
            .leaving = listed.state == platform::instance_state::leaving};
}

} // namespace

fleet_service::fleet_service(daemon_context& context,
                             catalogue_service& catalogue,
                             std::function<void()> on_changed)
    : context_{context}, catalogue_service_{catalogue},
      on_changed_{std::move(on_changed)},
      control_links_{context,
                     [this](json const& message) { on_message(message); },
                     [this](std::string const& daemon) {
                         if (live_view_) {
                             live_view_->on_connection_lost(daemon);
                         }
                     }},
      tick_timer_{context.io}
{}

fleet_service::~fleet_service()
{
    alive_.reset();
}

void fleet_service::start(daemon_info self)
{
    self_ = std::move(self);
    auto const now = monotonic_clock::now();
    membership::live_view_settings settings;
    settings.daemon_id = self_.id;
    live_view_ =
        std::make_unique<membership::live_view>(settings, wall_clock_ms(), now);
    context_.known_fleet.listed_daemons[self_.id] = self_;
    live_view_->on_daemon_list({self_}, now);
    summary_budget_updated_at_ = now;
    on_tick();
}

void fleet_service::on_instance_list(platform::instance_snapshot const& list)
{
    std::vector<daemon_info> daemons{self_};
    listed_servers_.clear();
    for (auto const& instance : list.instances) {
        if (instance.kind == platform::instance_kind::backend_server) {
            listed_servers_.push_back(to_backend_server_info(instance));
        } else if (instance.id != self_.id) {
            daemons.push_back(to_daemon_info(instance));
        }
    }
    update_backend_servers();
    context_.known_fleet.listed_daemons.clear();
    for (auto const& daemon : daemons) {
        context_.known_fleet.listed_daemons.emplace(daemon.id, daemon);
    }
    live_view_->on_daemon_list(daemons, monotonic_clock::now());
}

void fleet_service::update_backend_servers()
{
    auto servers = listed_servers_;
    if (context_.catalogue.ready()) {
        for (auto const& [name, group] : context_.catalogue.entries->groups) {
            for (auto const& server : group.value.backend_servers) {
                servers.push_back({.id = server.id,
                                   .group = name,
                                   .address = server.address,
                                   .port = server.port,
                                   .data_centre = server.data_centre});
            }
        }
    }
    for (auto& notice :
         server_states_.on_server_list(servers, monotonic_clock::now())) {
        live_view_->publish(std::move(notice));
    }
    for (auto const& id : server_states_.take_removed_ids()) {
        live_view_->remove_leaving_notice(id);
    }
}

void fleet_service::on_catalogue_changed()
{
    if (live_view_) {
        update_backend_servers();
        recompute_assignment();
    }
}

void fleet_service::mark_self_leaving()
{
    self_.leaving = true;
    context_.known_fleet.listed_daemons[self_.id] = self_;
    std::vector<daemon_info> daemons;
    daemons.reserve(context_.known_fleet.listed_daemons.size());
    for (auto const& [id, daemon] : context_.known_fleet.listed_daemons) {
        daemons.push_back(daemon);
    }
    live_view_->on_daemon_list(daemons, monotonic_clock::now());
    assignment_stale_ = true;
}

void fleet_service::broadcast_quarantine_record(
    routing::quarantine_record const& record)
{
    live_view_->publish(membership::quarantine_notice{
        .id = self_.id + "/" + std::to_string(++notice_count_),
        .version = 1,
        .record = routing::to_json(record)});
}

void fleet_service::on_tick()
{
    auto const now = monotonic_clock::now();
    live_view_->set_local_state(
        {.catalogue_offset = catalogue_service_.follower().version().offset,
         .catalogue_chain_digest =
             catalogue_service_.follower().version().chain_digest.substr(
                 0, chain_digest_digits)});
    auto actions = live_view_->tick(now);
    for (auto const& event : actions.events) {
        static constexpr char const* names[] = {"joined", "lost", "back",
                                                "left"};
        log_line{severity::info, "membership"}
            .with("daemon", event.daemon)
            .with("change", names[static_cast<std::size_t>(event.change)]);
        if (event.change == membership::membership_event::kind::lost) {
            context_.router.mark_owner_lost(event.daemon);
        }
    }
    for (auto const& outgoing : actions.heartbeats) {
        send(outgoing.to, {{"h", membership::to_json(outgoing.message)}});
    }
    bool const changed =
        live_view_->generation() != live_view_generation_ ||
        server_states_.generation() != server_states_generation_ ||
        assignment_stale_;
    if (changed && now - assignment_computed_at_ >= recompute_interval) {
        assignment_computed_at_ = now;
        recompute_assignment();
    }
    update_health(now);
    send_summaries(now);
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait(
        [this, alive = std::weak_ptr{alive_}](auto const& failure) {
            if (!failure && !alive.expired()) {
                on_tick();
            }
        });
}

void fleet_service::send(std::string const& daemon, json const& message)
{
    bytes_sent_ += control_links_.send(daemon, message);
}

void fleet_service::on_message(json const& message)
{
    if (!message.is_object() || !live_view_) {
        ++context_.daemon_metrics.bad_peer_messages;
        return;
    }
    if (message.contains("h")) {
        on_heartbeat(message["h"]);
    }
    if (message.contains("s")) {
        on_summaries(message);
    }
    if (message.contains("t") && message.contains("from") &&
        message["from"].is_string() && share_message_handler_) {
        share_message_handler_(message["from"], message["t"]);
    }
    if (message.contains("c")) {
        catalogue_service_.apply_updates(message["c"]);
    }
}

void fleet_service::on_heartbeat(json const& heartbeat)
{
    auto const read = membership::parse_heartbeat(heartbeat);
    if (failed(read)) {
        ++context_.daemon_metrics.bad_peer_messages;
        return;
    }
    auto const& message = value_of(read);
    auto const now = monotonic_clock::now();
    auto const updates = live_view_->on_heartbeat(message, now);
    for (auto const& notice : updates.leaving) {
        server_states_.on_notice(notice, now);
    }
    for (auto const& notice : updates.quarantine) {
        auto const record = routing::parse_quarantine_record(notice.record);
        if (failed(record)) {
            ++context_.daemon_metrics.bad_peer_messages;
        } else {
            context_.quarantine.merge(value_of(record), now);
        }
    }
    send_catalogue_updates(message.from, message.catalogue_offset);
}

void fleet_service::send_catalogue_updates(std::string const& daemon,
                                           std::uint64_t offset)
{
    auto const now = monotonic_clock::now();
    auto& sent_at = catalogue_sent_at_[daemon];
    if (now - sent_at < catalogue_resend_interval) {
        return;
    }
    auto updates = catalogue_service_.updates_since(offset);
    if (updates.is_null()) {
        return;
    }
    sent_at = now;
    send(daemon, {{"c", std::move(updates)}});
}

void fleet_service::on_summaries(json const& message)
{
    if (!message.contains("from") || !message["from"].is_string() ||
        !message["s"].is_array()) {
        ++context_.daemon_metrics.bad_peer_messages;
        return;
    }
    for (auto const& summary : message["s"]) {
        context_.apply_summary(message["from"], summary);
    }
}

void fleet_service::recompute_assignment()
{
    assignment_stale_ = false;
    auto const previous_generation = live_view_generation_;
    live_view_generation_ = live_view_->generation();
    context_.known_fleet.daemons.clear();
    for (auto const& daemon : live_view_->live_daemons()) {
        context_.known_fleet.daemons.emplace(daemon.id, daemon);
    }
    collect_backend_servers();
    assign_backend_servers();
    // Requests can be routed to newly owned backend servers at once.
    for (auto const& summary : context_.owner->summaries()) {
        context_.router.apply_summary(summary, monotonic_clock::now());
    }
    context_.router.set_daemon_count(
        static_cast<std::uint32_t>(context_.known_fleet.daemons.size()));
    if (previous_generation != live_view_generation_) {
        on_changed_();
    }
}

void fleet_service::collect_backend_servers()
{
    auto const previous =
        std::exchange(context_.known_fleet.backend_servers, {});
    auto& servers = context_.known_fleet.backend_servers;
    server_states_generation_ = server_states_.generation();
    for (auto const& server : server_states_.servers()) {
        servers.emplace(server.id, server);
    }
    for (auto const& [id, server] : servers) {
        context_.health.add(id, server.group);
        context_.router.set_leaving(id, server.leaving);
    }
    remove_absent_servers(previous);
}

void fleet_service::remove_absent_servers(
    std::map<std::string, backend_server_info, std::less<>> const& previous)
{
    for (auto const& [id, server] : previous) {
        if (!context_.known_fleet.backend_servers.contains(id)) {
            context_.router.remove_backend_server(id);
            context_.health.remove(id);
        }
    }
}

void fleet_service::assign_backend_servers()
{
    std::vector<daemon_info> daemons;
    daemons.reserve(context_.known_fleet.daemons.size());
    for (auto const& [id, daemon] : context_.known_fleet.daemons) {
        daemons.push_back(daemon);
    }
    std::vector<backend_server_info> servers;
    std::vector<backend_server_info> available;
    servers.reserve(context_.known_fleet.backend_servers.size());
    available.reserve(context_.known_fleet.backend_servers.size());
    for (auto const& [id, server] : context_.known_fleet.backend_servers) {
        servers.push_back(server);
        if (!server.leaving) {
            available.push_back(server);
        }
    }
    auto const owners = membership::assign_owners(daemons, servers);
    std::vector<backend_server_info> owned;
    for (auto const& server : servers) {
        auto const owner = owners.find(server.id);
        if (owner == owners.end()) {
            continue;
        }
        if (owner->second == self_.id) {
            owned.push_back(server);
        }
        auto& known_owner = context_.known_fleet.owners[server.id];
        if (known_owner != owner->second) {
            known_owner = owner->second;
            log_line{severity::info, "ownership"}
                .with("backend_server", server.id)
                .with("owner", known_owner);
        }
    }
    context_.owner->set_backend_servers(owned);
    servers_by_recipient_.clear();
    for (auto const& [recipient, ids] :
         membership::choose_subsets(daemons, available)) {
        for (auto const& id : ids) {
            auto const owner = owners.find(id);
            if (owner != owners.end() && owner->second == self_.id &&
                recipient != self_.id) {
                servers_by_recipient_[recipient].push_back(id);
            }
        }
    }
}

void fleet_service::update_health(time_point now)
{
    if (now - health_evaluated_at_ < health_interval) {
        return;
    }
    health_evaluated_at_ = now;
    for (auto const& change : context_.health.evaluate(now)) {
        context_.router.set_health(change.backend_server, change.to,
                                   change.slowdown);
        context_.owner->set_demoted(
            change.backend_server, change.to != routing::health_state::healthy);
        log_line{severity::info, "health"}
            .with("backend_server", change.backend_server)
            .with("from", routing::name_of(change.from))
            .with("to", routing::name_of(change.to))
            .with("slowdown", change.slowdown);
    }
}

void fleet_service::send_summaries(time_point now)
{
    auto const summaries = context_.owner->summaries();
    for (auto const& summary : summaries) {
        context_.router.apply_summary(summary, now);
    }
    std::chrono::duration<double> const elapsed =
        now - summary_budget_updated_at_;
    summary_budget_updated_at_ = now;
    summary_budget_bytes_ = std::min(
        summary_budget_bytes_ + elapsed.count() * summary_bytes_per_second,
        summary_burst_bytes);
    if (summary_budget_bytes_ < 0 || servers_by_recipient_.empty()) {
        return;
    }
    std::map<std::string, json> encoded;
    for (auto const& summary : summaries) {
        encoded.emplace(summary.backend_server, to_json(summary));
    }
    auto const bytes_before = bytes_sent_;
    for (auto const& [recipient, ids] : servers_by_recipient_) {
        auto list = json::array();
        for (auto const& id : ids) {
            auto const found = encoded.find(id);
            if (found != encoded.end()) {
                list.push_back(found->second);
            }
        }
        if (!list.empty()) {
            send(recipient, {{"from", self_.id}, {"s", std::move(list)}});
        }
    }
    summary_budget_bytes_ -= static_cast<double>(bytes_sent_ - bytes_before);
}

} // namespace medlarstall::daemon
