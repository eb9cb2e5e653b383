#include "owner_service.hpp"

#include "metrics.hpp"
#include "owned_order.hpp"

#include <medlarstall/backend/http_client.hpp>
#include <medlarstall/catalogue/catalogue.hpp>
#include <medlarstall/support/log.hpp>

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

namespace medlarstall::daemon {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds load_poll_interval{500};
constexpr milliseconds load_poll_timeout{2'000};
constexpr std::size_t max_load_bytes = std::size_t{64} * 1024;

/// Interval at which flow control checks the orders of slow callers.
constexpr milliseconds reading_check_interval{20};

scheduling::scheduler_settings scheduler_settings_for(std::string const& owner)
{
    scheduling::scheduler_settings settings;
    settings.owner = owner;
    return settings;
}

} // namespace

owner_service::owner_service(asio::io_context& io, backend::http_client& client,
                             metrics& figures, std::string owner,
                             std::size_t stream_buffer_bytes)
    : io_{io}, client_{client}, metrics_{figures}, owner_{std::move(owner)},
      stream_buffer_bytes_{stream_buffer_bytes},
      chart_{value_of(chart::shared_request_chart())},
      scheduler_{scheduler_settings_for(owner_)}, wake_timer_{io},
      load_timer_{io}, reading_timer_{io}
{
    schedule_load_poll();
    update_readers();
}

owner_service::~owner_service()
{
    alive_.reset();
    orders_.clear();
}

scheduling::request_id owner_service::submit(work_order order, event_sink sink)
{
    auto const id = next_id_++;
    order.request.id = id;
    auto new_order = std::make_shared<owned_order>(
        *this, chart_, std::move(order), std::move(sink));
    orders_.emplace(id, new_order);
    if (!new_order->order().request.isolated ||
        suspect_gate_.enter(new_order->order().fingerprint, id)) {
        enqueue(*new_order);
    }
    return id;
}

void owner_service::enqueue(owned_order const& order)
{
    if (scheduler_.enqueue(order.order().request, monotonic_clock::now(),
                           actions_)) {
        perform_actions();
    }
}

void owner_service::set_crash_handlers(crash_handler on_crash,
                                       suspicion_lookup suspicion_of)
{
    on_crash_ = std::move(on_crash);
    suspicion_of_ = std::move(suspicion_of);
}

void owner_service::leave_suspect_gate(owned_order const& order)
{
    if (!order.order().request.isolated) {
        return;
    }
    auto const next =
        suspect_gate_.leave(order.order().fingerprint, order.id());
    auto const found = next ? orders_.find(*next) : orders_.end();
    if (found == orders_.end()) {
        return;
    }
    auto const waiting = found->second;
    if (suspicion_of_ && suspicion_of_(waiting->order().fingerprint) ==
                             routing::suspicion::refused) {
        orders_.erase(found);
        leave_suspect_gate(*waiting);
        waiting->refuse(work_refused{"request_quarantined",
                                     "backend servers crashed each time that "
                                     "they ran this request",
                                     milliseconds{0}, false});
        return;
    }
    enqueue(*waiting);
}

void owner_service::report_crash(std::string const& backend_server)
{
    std::vector<routing::running_request> running;
    for (auto const& [id, order] : orders_) {
        if (order->count_crash_at(backend_server)) {
            running.push_back({.fingerprint = order->order().fingerprint,
                               .level = order->order().request.isolated
                                            ? routing::suspicion::isolated
                                            : routing::suspicion::none});
        }
    }
    if (!running.empty() && on_crash_) {
        log_line{severity::warning, "crash"}
            .with("backend_server", backend_server)
            .with("running", running.size());
        on_crash_(backend_server, running);
    }
}

void owner_service::cancel(scheduling::request_id id)
{
    auto const extracted = orders_.extract(id);
    if (extracted.empty()) {
        return;
    }
    extracted.mapped()->cancel();
    scheduler_.cancelled(id, monotonic_clock::now(), actions_);
    leave_suspect_gate(*extracted.mapped());
    perform_actions();
}

void owner_service::on_entry_lost(scheduling::request_id id)
{
    auto const found = orders_.find(id);
    if (found == orders_.end()) {
        return;
    }
    bool const must_not_cancel =
        found->second->running() && !found->second->order().request.repeatable;
    if (!must_not_cancel) {
        cancel(id);
    }
}

void owner_service::remove_order(scheduling::request_id id)
{
    orders_.erase(id);
}

void owner_service::apply_catalogue(catalogue::catalogue const& entries)
{
    group_kinds_.clear();
    for (auto const& [name, entry] : entries.groups) {
        group_kinds_[name] = entry.value.kind;
    }
    scheduler_.apply_catalogue(entries, monotonic_clock::now(), actions_);
    perform_actions();
}

void owner_service::set_backend_servers(
    std::vector<backend_server_info> const& owned)
{
    auto const now = monotonic_clock::now();
    auto previous = std::exchange(servers_, {});
    for (auto const& server : owned) {
        auto const known = previous.extract(server.id);
        if (known.empty() || known.mapped().leaving != server.leaving) {
            if (server.leaving) {
                scheduler_.mark_backend_server_leaving(server.id, now,
                                                       actions_);
            } else {
                register_with_scheduler(server);
            }
        }
        servers_[server.id] = server;
    }
    for (auto const& [id, server] : previous) {
        scheduler_.mark_backend_server_leaving(id, now, actions_);
        scheduler_.remove_backend_server(id, now, actions_);
    }
    perform_actions();
}

void owner_service::register_with_scheduler(backend_server_info const& server)
{
    scheduler_.add_backend_server({.id = server.id,
                                   .group = server.group,
                                   .data_centre = server.data_centre,
                                   .models = models_[server.id],
                                   .demoted = demoted_.contains(server.id)},
                                  monotonic_clock::now(), actions_);
}

void owner_service::set_demoted(std::string const& backend_server, bool demoted)
{
    if (demoted) {
        demoted_.insert(backend_server);
    } else {
        demoted_.erase(backend_server);
    }
    auto const found = servers_.find(backend_server);
    if (found != servers_.end() && !found->second.leaving) {
        register_with_scheduler(found->second);
        perform_actions();
    }
}

void owner_service::update_models(std::string const& backend_server,
                                  nlohmann::json const& report)
{
    auto const found = servers_.find(backend_server);
    auto const listed = report.find("models");
    if (found == servers_.end() || found->second.leaving ||
        listed == report.end()) {
        return;
    }
    auto const models = listed->get<std::vector<std::string>>();
    auto& known = models_[backend_server];
    if (known != models) {
        known = models;
        register_with_scheduler(found->second);
    }
}

void owner_service::drain()
{
    auto const released = scheduler_.drain(monotonic_clock::now(), actions_);
    for (auto const& one : released) {
        auto const extracted = orders_.extract(one.value.id);
        if (!extracted.empty()) {
            extracted.mapped()->refuse(work_refused{
                "draining", "the owner is stopping", milliseconds{0}, true});
        }
    }
    perform_actions();
}

std::vector<scheduling::backend_server_summary> owner_service::summaries() const
{
    return scheduler_.summaries(monotonic_clock::now());
}

std::optional<scheduling::backend_server_summary>
owner_service::summary_of(std::string const& backend_server) const
{
    for (auto& one : summaries()) {
        if (one.backend_server == backend_server) {
            return one;
        }
    }
    return std::nullopt;
}

std::vector<scheduling::organisation_usage> owner_service::usage() const
{
    return scheduler_.usage();
}

void owner_service::set_remote_usage(std::string_view organisation,
                                     std::string_view service_class,
                                     scheduling::remote_usage const& usage)
{
    scheduler_.set_remote_usage(organisation, service_class, usage,
                                monotonic_clock::now(), actions_);
    perform_actions();
}

void owner_service::perform_actions()
{
    if (performing_actions_) {
        return;
    }
    performing_actions_ = true;
    while (!actions_.empty()) {
        auto const due = std::exchange(actions_, {});
        for (auto const& action : due) {
            std::visit([this](auto const& one) { perform(one); }, action);
        }
    }
    performing_actions_ = false;
}

void owner_service::perform(scheduling::dispatch const& action)
{
    auto const order = orders_.find(action.id);
    auto const server = servers_.find(action.backend_server);
    if (order == orders_.end()) {
        return;
    }
    if (server == servers_.end()) {
        scheduler_.rejected_as_busy(action.id, monotonic_clock::now(),
                                    actions_);
        return;
    }
    auto const keep_alive = order->second;
    keep_alive->dispatch(action, server->second);
}

void owner_service::perform(scheduling::refuse const& action)
{
    auto const extracted = orders_.extract(action.id);
    if (extracted.empty()) {
        return;
    }
    ++metrics_.refused_orders;
    leave_suspect_gate(*extracted.mapped());
    auto const& request = extracted.mapped()->order().request;
    log_line{severity::info, "refuse"}
        .with("attempt", extracted.mapped()->order().attempt_id)
        .with("organisation", request.organisation)
        .with("class", request.service_class)
        .with("reason", scheduling::to_string(action.reason))
        .with("retry_after", action.retry_after);
    using scheduling::refusal;
    bool const retry_elsewhere = action.reason == refusal::queue_full ||
                                 action.reason == refusal::no_backend_server ||
                                 action.reason == refusal::draining;
    extracted.mapped()->refuse(
        work_refused{scheduling::to_string(action.reason),
                     std::string{"the request was not run: "} +
                         scheduling::to_string(action.reason),
                     action.retry_after, retry_elsewhere});
}

void owner_service::perform(scheduling::preempt const& action)
{
    auto const found = orders_.find(action.id);
    if (found != orders_.end()) {
        found->second->preempt();
    }
}

void owner_service::perform(scheduling::hand_back const& action)
{
    auto const extracted = orders_.extract(action.id);
    if (extracted.empty()) {
        return;
    }
    leave_suspect_gate(*extracted.mapped());
    if (action.has_run) {
        extracted.mapped()->emit(work_failed{
            "owner_changed",
            "no backend server of this owner can continue the request", false,
            true});
    } else {
        extracted.mapped()->refuse(
            work_refused{"owner_changed", "the backend server was removed",
                         milliseconds{0}, true});
    }
}

void owner_service::perform(scheduling::wake_up const& action)
{
    wake_timer_.expires_at(action.at);
    wake_timer_.async_wait(
        [this, alive = std::weak_ptr{alive_}](auto const& failure) {
            if (failure || alive.expired()) {
                return;
            }
            scheduler_.tick(monotonic_clock::now(), actions_);
            perform_actions();
        });
}

void owner_service::schedule_load_poll()
{
    load_timer_.expires_after(load_poll_interval);
    load_timer_.async_wait(
        [this, alive = std::weak_ptr{alive_}](auto const& failure) {
            if (failure || alive.expired()) {
                return;
            }
            for (auto const& [id, server] : servers_) {
                auto const kind = group_kinds_.find(server.group);
                if (kind != group_kinds_.end() &&
                    kind->second == catalogue::group_kind::engine) {
                    poll_load(server);
                }
            }
            schedule_load_poll();
        });
}

void owner_service::poll_load(backend_server_info const& server)
{
    backend::outgoing_request request;
    request.url = "http://" + server.address + ":" +
                  std::to_string(server.port) + "/load";
    request.total_timeout = load_poll_timeout;
    auto on_done = [this, id = server.id, alive = std::weak_ptr{alive_}](
                       backend::fetch_result const& outcome) {
        auto const* response = std::get_if<backend::fetched_response>(&outcome);
        if (alive.expired() || response == nullptr) {
            return;
        }
        auto const report =
            nlohmann::json::parse(response->body, nullptr, false);
        if (!report.is_object() || !report.contains("running")) {
            return;
        }
        try {
            update_models(id, report);
            scheduler_.load_reported(
                id,
                {.running = report.value("running", 0U),
                 .waiting = report.value("waiting", 0U),
                 .age = milliseconds{report.value("age_ms", 0)}},
                monotonic_clock::now(), actions_);
        } catch (nlohmann::json::exception const& failure) {
            log_line{severity::warning, "bad_load_report"}
                .with("backend_server", id)
                .with("message", failure.what());
        }
        perform_actions();
    };
    client_.fetch(std::move(request), max_load_bytes, std::move(on_done));
}

void owner_service::update_readers()
{
    reading_timer_.expires_after(reading_check_interval);
    reading_timer_.async_wait(
        [this, alive = std::weak_ptr{alive_}](auto const& failure) {
            if (failure || alive.expired()) {
                return;
            }
            for (auto const& [id, order] : orders_) {
                order->update_reading(stream_buffer_bytes_);
            }
            update_readers();
        });
}

} // namespace medlarstall::daemon
