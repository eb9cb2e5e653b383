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

platform_connection connect_platform(node& shared)
{
    if (shared.settings.standalone) {
        return platform_connection{
            std::make_unique<platform::memory_platform>(shared.io)};
    }
    platform::http_platform_settings settings;
    settings.addresses = shared.settings.platform_addresses;
    settings.seed = shared.random();
    return platform_connection{std::make_unique<platform::http_platform>(
        shared.io, shared.client, std::move(settings))};
}

} // namespace

daemon::implementation::implementation(asio::io_context& io,
                                       daemon_settings settings)
    : node_{io, std::move(settings)}, platform_{connect_platform(node_)},
      owner_{io, node_.client, node_.figures, node_.settings.id,
             node_.settings.stream_buffer_bytes},
      claims_{node_, platform_}, entry_{node_, claims_}, orders_{node_},
      queries_{node_},
      catalogue_{node_, platform_,
                 [this] {
                     owner_.set_catalogue(*node_.catalogue.entries);
                     fleet_.catalogue_changed();
                     fire(chart::daemon_event::catalogue_ready);
                 }},
      fleet_{node_, catalogue_,
             [this] {
                 daemons_changed();
             }},
      shares_{node_,
              [this](std::string const& daemon, auto const& message) {
                  fleet_.send(daemon, message);
              }},
      instances_{io, platform_,
                 [this](auto const& list) {
                     fleet_.take_list(list);
                 }},
      members_{node_, entry_, queries_, shares_,
               [this] {
                   return front_.open_exchanges();
               }},
      admin_{node_, catalogue_,
             [this] {
                 drain([](bool) {});
             }},
      front_{io, node_.settings.front,
             [this](auto caller) {
                 handle(std::move(caller));
             }},
      peer_server_{io,
                   {.secret = node_.settings.peer_secret},
                   [this](auto const& stream) {
                       accept(stream);
                   }},
      drain_timer_{io}, life_{value_of(chart::shared_daemon_chart()).start()}
{
    node_.owner = &owner_;
    node_.tell_suspects = [this](auto const& record) {
        fleet_.tell(record);
    };
    owner_.watch_crashes(
        [this](std::string const& backend_server, auto const& running) {
            auto const crash =
                hash64(node_.settings.id + backend_server, node_.random());
            fleet_.tell(node_.suspects.record_crash(
                crash, backend_server, running, decision_clock::now()));
        },
        [this](routing::request_fingerprint fingerprint) {
            return node_.suspects.judge(fingerprint, decision_clock::now());
        });
    add_endpoints();
}

daemon::implementation::~implementation()
{
    alive_.reset();
    node_.calls.abandon_all();
    node_.owner = nullptr;
}

void daemon::implementation::daemons_changed()
{
    std::vector<std::string> ids;
    std::vector<daemon_info> live;
    for (auto const& [id, one] : node_.known.daemons) {
        ids.push_back(id);
        live.push_back(one);
    }
    claims_.prefer_writers(ids);
    shares_.set_daemons(live);
}

void daemon::implementation::add_endpoints()
{
    api_.add("POST", "/v1/chat/completions",
             [this](auto caller) { entry_.chat(std::move(caller)); });
    api_.add("*", "/services/",
             [this](auto caller) { entry_.service(std::move(caller)); });
    members_.add_endpoints(api_);
    admin_.add_endpoints(api_);
    api_.add("GET", "/healthz", [](auto const& caller) {
        caller->respond({.status = 200, .body = "ok\n"});
    });
    api_.add("GET", "/readyz", [this](auto const& caller) {
        bool const ready = life_.state() == chart::daemon_state::serving;
        caller->respond({.status = ready ? 200 : 503,
                         .body = ready ? "ready\n" : "not ready\n"});
    });
    api_.add("GET", "/metrics",
             [this](auto const& caller) { show_metrics(caller); });
}

void daemon::implementation::handle(std::shared_ptr<entry::exchange> caller)
{
    if (front_.open_exchanges() > node_.settings.max_open_requests) {
        caller->respond(to_response({.status = 503,
                                     .code = "too_many_requests_open",
                                     .message = "this daemon answers as many "
                                                "requests as it may",
                                     .retry_after = milliseconds{1'000}}));
        return;
    }
    api_.handle(std::move(caller));
}

void daemon::implementation::show_metrics(
    std::shared_ptr<entry::exchange> const& caller) const
{
    std::size_t owned = 0;
    for (auto const& [server, owner] : node_.known.owners) {
        owned += owner == node_.settings.id ? 1 : 0;
    }
    caller->respond(
        {.status = 200,
         .fields = {{"Content-Type", "text/plain; version=0.0.4"}},
         .body = node_.figures.render(
             {.open_requests = front_.open_exchanges(),
              .queued_orders = owner_.queued(),
              .open_orders = owner_.open_orders(),
              .catalogue_version = node_.catalogue.version,
              .live_daemons = node_.known.daemons.size(),
              .owned_backend_servers = owned,
              .claim_keys = claims_.figures().keys,
              .peer_bytes_sent = node_.peers.bytes_sent(),
              .peer_bytes_received = node_.peers.bytes_received()})});
}

platform::instance daemon::implementation::self_instance() const
{
    return {.id = self_.id,
            .kind = platform::instance_kind::daemon,
            .address = self_.address,
            .port = self_.port,
            .peer_port = self_.peer_port,
            .data_centre = self_.data_centre};
}

result<daemon_endpoints> daemon::implementation::start()
{
    auto const& settings = node_.settings;
    auto const port = front_.listen();
    if (failed(port)) {
        return error_of(port);
    }
    auto const peer_port =
        peer_server_.listen(settings.front.address, settings.peer_port);
    if (failed(peer_port)) {
        return error_of(peer_port);
    }
    self_ = {.id = settings.id,
             .address = settings.advertised_address.empty()
                            ? settings.front.address
                            : settings.advertised_address,
             .port = value_of(port),
             .peer_port = value_of(peer_port),
             .data_centre = settings.data_centre};
    fleet_.on_tree_message(
        [this](std::string const& from, auto const& message) {
            shares_.take(from, message);
        });
    fleet_.start(self_);
    shares_.start();
    if (settings.standalone) {
        auto const adopted = catalogue_.adopt_file(settings.catalogue_text);
        if (failed(adopted)) {
            return error_of(adopted);
        }
    } else {
        catalogue_.start();
    }
    instances_.start(self_instance());
    claims_.start();
    log_line{severity::info, "start"}
        .with("daemon", settings.id)
        .with("data_centre", settings.data_centre)
        .with("port", value_of(port))
        .with("peer_port", value_of(peer_port));
    return daemon_endpoints{value_of(port), value_of(peer_port)};
}

void daemon::implementation::accept(
    std::shared_ptr<peer::peer_stream> const& stream)
{
    if (stream->path() == order_path) {
        orders_.accept(stream);
    } else if (stream->path() == control_path) {
        fleet_.accept(stream);
    } else if (stream->path() == claim_path) {
        claims_.accept(stream);
    } else if (stream->path() == query_path) {
        queries_.accept(stream);
    } else {
        stream->reset();
    }
}

void daemon::implementation::drain(std::function<void(bool)> on_drained)
{
    if (on_drained_) {
        // A stop is under way; whoever asked first is told as well.
        on_drained_ = [first = std::move(on_drained_),
                       second = std::move(on_drained)](bool clean) {
            first(clean);
            second(clean);
        };
        return;
    }
    auto const now = decision_clock::now();
    on_drained_ = std::move(on_drained);
    serve_until_ = now;
    if (!node_.settings.standalone) {
        serve_until_ +=
            node_.settings.directory_ttl + node_.settings.drain_margin;
    }
    drain_until_ = now + node_.settings.drain_bound;
    log_line{severity::info, "drain"}.with("daemon", node_.settings.id);
    fire(chart::daemon_event::drain);
    if (!life_.is_final()) {
        wait_until_drained();
    }
}

void daemon::implementation::fire(chart::daemon_event event)
{
    auto const actions = life_.fire(event);
    if (!actions) {
        return;
    }
    log_line{severity::info, "life_cycle"}
        .with("daemon", node_.settings.id)
        .with("state", chart::name_of(life_.state()));
    for (auto const action : *actions) {
        perform(action);
    }
}

void daemon::implementation::perform(chart::daemon_action action)
{
    using chart::daemon_action;
    switch (action) {
    case daemon_action::become_ready:
        return; // GET /readyz reads the state.
    case daemon_action::leave_listing:
        stop_listing();
        return;
    case daemon_action::hand_over_ownership:
        owner_.drain();
        peer_server_.shut_down();
        return;
    case daemon_action::report_cut_off:
        cut_off_ = !idle();
        return;
    case daemon_action::stop:
        finish_drain(!cut_off_);
        return;
    }
}

void daemon::implementation::stop_listing()
{
    node_.draining = true;
    front_.close_connections_after_answers();
    instances_.leave();
    fleet_.leave();
}

bool daemon::implementation::idle() const
{
    return front_.open_exchanges() == 0 && owner_.open_orders() == 0 &&
           claims_.figures().attempts == 0;
}

void daemon::implementation::wait_until_drained()
{
    using chart::daemon_event;
    auto const now = decision_clock::now();
    if (now >= serve_until_ && life_.state() == chart::daemon_state::leaving) {
        fire(daemon_event::unlisted);
    }
    if (now >= drain_until_) {
        fire(daemon_event::bound_passed);
    } else if (life_.state() == chart::daemon_state::handing_over && idle()) {
        fire(daemon_event::idle);
    }
    if (life_.is_final()) {
        return;
    }
    drain_timer_.expires_after(drain_check_interval);
    drain_timer_.async_wait(
        [this, alive = std::weak_ptr{alive_}](auto const& failure) {
            if (!failure && !alive.expired()) {
                wait_until_drained();
            }
        });
}

void daemon::implementation::finish_drain(bool clean)
{
    log_line{severity::info, "drained"}
        .with("daemon", node_.settings.id)
        .with("clean", clean);
    instances_.remove([this, clean, alive = std::weak_ptr{alive_}] {
        if (!alive.expired()) {
            auto const handler = std::exchange(on_drained_, nullptr);
            auto const always = when_drained_;
            handler(clean);
            always(clean);
        }
    });
}

} // namespace medlarstall::daemon
