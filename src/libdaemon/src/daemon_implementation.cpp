#include "daemon_implementation.hpp"

#include "order_link.hpp"

#include <medlarstall/entry/exchange.hpp>
#include <medlarstall/peer/peer_stream.hpp>
#include <medlarstall/support/digest.hpp>
#include <medlarstall/support/log.hpp>

namespace medlarstall::daemon {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds drain_check_interval{20};

platform_connection make_platform_connection(daemon_context& context)
{
    if (context.settings.standalone) {
        return platform_connection{
            std::make_unique<platform::memory_platform>(context.io)};
    }
    platform::http_platform_settings settings;
    settings.addresses = context.settings.platform_addresses;
    settings.seed = context.random();
    return platform_connection{std::make_unique<platform::http_platform>(
        context.io, context.http_client, std::move(settings))};
}

} // namespace

daemon::implementation::implementation(asio::io_context& io,
                                       daemon_settings settings)
    : context_{io, std::move(settings)},
      platform_{make_platform_connection(context_)},
      owner_service_{io, context_.http_client, context_.daemon_metrics,
                     context_.settings.id,
                     context_.settings.stream_buffer_bytes},
      claim_service_{context_, platform_},
      entry_service_{context_, claim_service_}, order_server_{context_},
      peer_queries_{context_},
      catalogue_service_{context_, platform_,
                         [this] {
                             owner_service_.apply_catalogue(
                                 *context_.catalogue.entries);
                             fleet_service_.on_catalogue_changed();
                             fire_event(chart::daemon_event::catalogue_ready);
                         }},
      fleet_service_{context_, catalogue_service_,
                     [this] {
                         on_daemons_changed();
                     }},
      share_service_{context_,
                     [this](std::string const& daemon, auto const& message) {
                         fleet_service_.send(daemon, message);
                     }},
      instance_service_{io, platform_,
                        [this](auto const& list) {
                            fleet_service_.on_instance_list(list);
                        }},
      member_service_{context_, entry_service_, peer_queries_, share_service_,
                      [this] {
                          return http_server_.open_exchange_count();
                      }},
      admin_service_{context_, catalogue_service_,
                     [this] {
                         drain([](bool) {});
                     }},
      http_server_{io, context_.settings.http_server,
                   [this](auto exchange) {
                       handle(std::move(exchange));
                   }},
      peer_server_{io,
                   {.secret = context_.settings.peer_secret},
                   [this](auto const& stream) {
                       accept(stream);
                   }},
      drain_timer_{io},
      lifecycle_{value_of(chart::shared_daemon_chart()).start()}
{
    context_.owner = &owner_service_;
    context_.broadcast_quarantine_record = [this](auto const& record) {
        fleet_service_.broadcast_quarantine_record(record);
    };
    owner_service_.set_crash_handlers(
        [this](std::string const& backend_server, auto const& running) {
            auto const crash_id = hash64(context_.settings.id + backend_server,
                                         context_.random());
            fleet_service_.broadcast_quarantine_record(
                context_.quarantine.record_crash(
                    crash_id, backend_server, running, monotonic_clock::now()));
        },
        [this](routing::request_fingerprint fingerprint) {
            return context_.quarantine.suspicion_of(fingerprint,
                                                    monotonic_clock::now());
        });
    add_endpoints();
}

daemon::implementation::~implementation()
{
    alive_.reset();
    context_.open_calls.abort_all();
    context_.owner = nullptr;
}

void daemon::implementation::on_daemons_changed()
{
    std::vector<std::string> ids;
    std::vector<daemon_info> live;
    for (auto const& [id, info] : context_.known_fleet.daemons) {
        ids.push_back(id);
        live.push_back(info);
    }
    claim_service_.set_preferred_writers(ids);
    share_service_.set_live_daemons(live);
}

void daemon::implementation::add_endpoints()
{
    api_server_.add("POST", "/v1/chat/completions", [this](auto exchange) {
        entry_service_.handle_chat_completion(std::move(exchange));
    });
    api_server_.add("*", "/services/", [this](auto exchange) {
        entry_service_.handle_service_call(std::move(exchange));
    });
    member_service_.add_endpoints(api_server_);
    admin_service_.add_endpoints(api_server_);
    api_server_.add("GET", "/healthz", [](auto const& exchange) {
        exchange->respond({.status = 200, .body = "ok\n"});
    });
    api_server_.add("GET", "/readyz", [this](auto const& exchange) {
        bool const ready = lifecycle_.state() == chart::daemon_state::serving;
        exchange->respond({.status = ready ? 200 : 503,
                           .body = ready ? "ready\n" : "not ready\n"});
    });
    api_server_.add("GET", "/metrics",
                    [this](auto const& exchange) { show_metrics(exchange); });
}

void daemon::implementation::handle(std::shared_ptr<entry::exchange> exchange)
{
    if (http_server_.open_exchange_count() >
        context_.settings.max_open_requests) {
        exchange->respond(to_response({.status = 503,
                                       .code = "too_many_requests_open",
                                       .message = "this daemon has reached its "
                                                  "limit of open requests",
                                       .retry_after = milliseconds{1'000}}));
        return;
    }
    api_server_.handle(std::move(exchange));
}

void daemon::implementation::show_metrics(
    std::shared_ptr<entry::exchange> const& exchange) const
{
    std::size_t owned_servers = 0;
    for (auto const& [server, owner] : context_.known_fleet.owners) {
        owned_servers += owner == context_.settings.id ? 1 : 0;
    }
    exchange->respond(
        {.status = 200,
         .fields = {{"Content-Type", "text/plain; version=0.0.4"}},
         .body = context_.daemon_metrics.render(
             {.open_requests = http_server_.open_exchange_count(),
              .queued_orders = owner_service_.queued_orders(),
              .open_orders = owner_service_.open_orders(),
              .catalogue_version = context_.catalogue.version,
              .live_daemons = context_.known_fleet.daemons.size(),
              .owned_backend_servers = owned_servers,
              .claim_keys = claim_service_.statistics().kept_keys,
              .peer_bytes_sent = context_.peers.bytes_sent(),
              .peer_bytes_received = context_.peers.bytes_received()})});
}

platform::instance daemon::implementation::own_instance() const
{
    return {.id = self_.id,
            .kind = platform::instance_kind::daemon,
            .address = self_.address,
            .port = self_.port,
            .peer_port = self_.peer_port,
            .data_centre = self_.data_centre};
}

result<listening_ports> daemon::implementation::start()
{
    auto const& settings = context_.settings;
    auto const port = http_server_.listen();
    if (failed(port)) {
        return error_of(port);
    }
    auto const peer_port =
        peer_server_.listen(settings.http_server.address, settings.peer_port);
    if (failed(peer_port)) {
        return error_of(peer_port);
    }
    self_ = {.id = settings.id,
             .address = settings.advertised_address.empty()
                            ? settings.http_server.address
                            : settings.advertised_address,
             .port = value_of(port),
             .peer_port = value_of(peer_port),
             .data_centre = settings.data_centre};
    fleet_service_.set_share_message_handler(
        [this](std::string const& from, auto const& message) {
            share_service_.on_message(from, message);
        });
    fleet_service_.start(self_);
    share_service_.start();
    if (settings.standalone) {
        auto const installed =
            catalogue_service_.install_from_text(settings.catalogue_json);
        if (failed(installed)) {
            return error_of(installed);
        }
    } else {
        catalogue_service_.start();
    }
    instance_service_.start(own_instance());
    claim_service_.start();
    log_line{severity::info, "start"}
        .with("daemon", settings.id)
        .with("data_centre", settings.data_centre)
        .with("port", value_of(port))
        .with("peer_port", value_of(peer_port));
    return listening_ports{value_of(port), value_of(peer_port)};
}

void daemon::implementation::accept(
    std::shared_ptr<peer::peer_stream> const& stream)
{
    if (stream->path() == order_stream_path) {
        order_server_.accept(stream);
    } else if (stream->path() == control_path) {
        fleet_service_.accept(stream);
    } else if (stream->path() == claim_path) {
        claim_service_.accept(stream);
    } else if (stream->path() == query_path) {
        peer_queries_.accept(stream);
    } else {
        stream->reset();
    }
}

void daemon::implementation::drain(std::function<void(bool)> on_drained)
{
    if (on_drained_) {
        // A shutdown is already in progress: both handlers are called at its
        // end.
        on_drained_ = [first = std::move(on_drained_),
                       second = std::move(on_drained)](bool clean) {
            first(clean);
            second(clean);
        };
        return;
    }
    auto const now = monotonic_clock::now();
    on_drained_ = std::move(on_drained);
    serve_until_ = now;
    if (!context_.settings.standalone) {
        serve_until_ +=
            context_.settings.directory_ttl + context_.settings.drain_margin;
    }
    drain_deadline_ = now + context_.settings.drain_timeout;
    log_line{severity::info, "drain"}.with("daemon", context_.settings.id);
    fire_event(chart::daemon_event::drain);
    if (!lifecycle_.is_final()) {
        check_drain_progress();
    }
}

void daemon::implementation::fire_event(chart::daemon_event event)
{
    auto const actions = lifecycle_.fire(event);
    if (!actions) {
        return;
    }
    log_line{severity::info, "life_cycle"}
        .with("daemon", context_.settings.id)
        .with("state", chart::name_of(lifecycle_.state()));
    for (auto const action : *actions) {
        perform_action(action);
    }
}

void daemon::implementation::perform_action(chart::daemon_action action)
{
    using chart::daemon_action;
    switch (action) {
    case daemon_action::become_ready:
        return; // GET /readyz reads the state directly.
    case daemon_action::leave_listing:
        leave_list();
        return;
    case daemon_action::hand_over_ownership:
        owner_service_.drain();
        peer_server_.shut_down();
        return;
    case daemon_action::report_cut_off:
        work_cut_off_ = !idle();
        return;
    case daemon_action::stop:
        finish_drain(!work_cut_off_);
        return;
    }
}

void daemon::implementation::leave_list()
{
    context_.draining = true;
    http_server_.disable_keep_alive();
    instance_service_.register_as_leaving();
    fleet_service_.mark_self_leaving();
}

bool daemon::implementation::idle() const
{
    return http_server_.idle() && owner_service_.open_orders() == 0 &&
           claim_service_.statistics().unsettled_attempts == 0;
}

void daemon::implementation::check_drain_progress()
{
    using chart::daemon_event;
    auto const now = monotonic_clock::now();
    if (now >= serve_until_ &&
        lifecycle_.state() == chart::daemon_state::leaving) {
        fire_event(daemon_event::unlisted);
    }
    if (now >= drain_deadline_) {
        fire_event(daemon_event::bound_passed);
    } else if (lifecycle_.state() == chart::daemon_state::handing_over &&
               idle()) {
        fire_event(daemon_event::idle);
    }
    if (lifecycle_.is_final()) {
        return;
    }
    drain_timer_.expires_after(drain_check_interval);
    drain_timer_.async_wait(
        [this, alive = std::weak_ptr{alive_}](auto const& failure) {
            if (!failure && !alive.expired()) {
                check_drain_progress();
            }
        });
}

void daemon::implementation::finish_drain(bool clean)
{
    log_line{severity::info, "drained"}
        .with("daemon", context_.settings.id)
        .with("clean", clean);
    instance_service_.deregister([this, clean, alive = std::weak_ptr{alive_}] {
        if (!alive.expired()) {
            auto const on_drained = std::exchange(on_drained_, nullptr);
            auto const drained_handler = drained_handler_;
            on_drained(clean);
            drained_handler(clean);
        }
    });
}

} // namespace medlarstall::daemon
