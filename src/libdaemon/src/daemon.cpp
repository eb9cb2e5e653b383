#include <medlarstall/daemon/daemon.hpp>

#include "api_server.hpp"
#include "entry_service.hpp"
#include "node.hpp"
#include "order_link.hpp"
#include "order_server.hpp"
#include "owner_service.hpp"

#include <medlarstall/catalogue/catalogue_reader.hpp>
#include <medlarstall/entry/exchange.hpp>
#include <medlarstall/peer/peer_server.hpp>
#include <medlarstall/peer/peer_stream.hpp>
#include <medlarstall/support/digest.hpp>
#include <medlarstall/support/log.hpp>

#include <asio/steady_timer.hpp>

namespace medlarstall::daemon {

namespace {

using std::chrono::milliseconds;

/// How often the own summaries reach the own router.
constexpr milliseconds summary_interval{50};

constexpr milliseconds drain_check_interval{20};

} // namespace

class daemon::implementation
{
public:
    implementation(asio::io_context& io, daemon_settings settings);
    ~implementation();

    result<daemon_endpoints> start();
    void drain(std::function<void(bool)> on_drained);

private:
    void add_endpoints();
    status load_catalogue();
    void put_in_force(catalogue_view view);
    void take_static_backend_servers();
    void refresh_summaries();
    void accept(std::shared_ptr<peer::peer_stream> const& stream);
    void wait_until_drained();

    node node_;
    owner_service owner_;
    entry_service entry_;
    order_server orders_;
    api_server api_;
    entry::http_front front_;
    peer::peer_server peer_server_;
    asio::steady_timer summary_timer_;
    asio::steady_timer drain_timer_;
    time_point drain_until_;
    std::function<void(bool)> on_drained_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

daemon::implementation::implementation(asio::io_context& io,
                                       daemon_settings settings)
    : node_{io, std::move(settings)},
      owner_{io, node_.client, node_.figures, node_.settings.id,
             node_.settings.stream_buffer_bytes},
      entry_{node_}, orders_{node_}, front_{io, node_.settings.front,
                                            [this](auto caller) {
                                                api_.handle(std::move(caller));
                                            }},
      peer_server_{io,
                   {.secret = node_.settings.peer_secret},
                   [this](auto const& stream) {
                       accept(stream);
                   }},
      summary_timer_{io}, drain_timer_{io}
{
    node_.owner = &owner_;
    add_endpoints();
}

daemon::implementation::~implementation()
{
    alive_.reset();
    node_.owner = nullptr;
}

void daemon::implementation::add_endpoints()
{
    api_.add("POST", "/v1/chat/completions",
             [this](auto caller) { entry_.chat(std::move(caller)); });
    api_.add("*", "/services/",
             [this](auto caller) { entry_.service(std::move(caller)); });
    api_.add("GET", "/healthz", [](auto const& caller) {
        caller->respond({.status = 200, .body = "ok\n"});
    });
    api_.add("GET", "/readyz", [this](auto const& caller) {
        bool const ready = node_.catalogue.ready() && !node_.draining;
        caller->respond({.status = ready ? 200 : 503,
                         .body = ready ? "ready\n" : "not ready\n"});
    });
    api_.add("GET", "/metrics", [this](auto const& caller) {
        caller->respond(
            {.status = 200,
             .fields = {{"Content-Type", "text/plain; version=0.0.4"}},
             .body = node_.figures.render(
                 {.open_requests = front_.open_exchanges(),
                  .queued_orders = owner_.queued(),
                  .open_orders = owner_.open_orders(),
                  .catalogue_version = node_.catalogue.version,
                  .live_daemons = node_.known.daemons.size(),
                  .owned_backend_servers = node_.known.backend_servers.size(),
                  .peer_bytes_sent = node_.peers.bytes_sent(),
                  .peer_bytes_received = node_.peers.bytes_received()})});
    });
}

result<daemon_endpoints> daemon::implementation::start()
{
    auto const loaded = load_catalogue();
    if (failed(loaded)) {
        return error_of(loaded);
    }
    auto const port = front_.listen();
    if (failed(port)) {
        return error_of(port);
    }
    auto const peer_port = peer_server_.listen(node_.settings.front.address,
                                               node_.settings.peer_port);
    if (failed(peer_port)) {
        return error_of(peer_port);
    }
    auto const& settings = node_.settings;
    node_.known.daemons[settings.id] = {.id = settings.id,
                                        .address =
                                            settings.advertised_address.empty()
                                                ? settings.front.address
                                                : settings.advertised_address,
                                        .port = value_of(port),
                                        .peer_port = value_of(peer_port),
                                        .data_centre = settings.data_centre};
    refresh_summaries();
    log_line{severity::info, "start"}
        .with("daemon", settings.id)
        .with("port", value_of(port))
        .with("peer_port", value_of(peer_port))
        .with("catalogue_digest", node_.catalogue.digest);
    return daemon_endpoints{value_of(port), value_of(peer_port)};
}

status daemon::implementation::load_catalogue()
{
    if (node_.settings.catalogue_text.empty()) {
        return success();
    }
    auto read =
        catalogue::catalogue_reader{}.read(node_.settings.catalogue_text);
    if (failed(read)) {
        return error_of(read);
    }
    put_in_force({.entries = std::make_shared<catalogue::catalogue const>(
                      std::move(value_of(read))),
                  .version = 1,
                  .digest = sha256_hex(node_.settings.catalogue_text)});
    return success();
}

void daemon::implementation::put_in_force(catalogue_view view)
{
    node_.catalogue = std::move(view);
    owner_.set_catalogue(*node_.catalogue.entries);
    take_static_backend_servers();
}

void daemon::implementation::take_static_backend_servers()
{
    std::vector<backend_server_info> owned;
    for (auto const& [name, group] : node_.catalogue.entries->groups) {
        for (auto const& server : group.value.backend_servers) {
            owned.push_back({.id = server.id,
                             .group = name,
                             .address = server.address,
                             .port = server.port,
                             .data_centre = server.data_centre});
            node_.known.backend_servers[server.id] = owned.back();
            node_.health.add(server.id, name);
        }
    }
    owner_.set_backend_servers(owned);
}

void daemon::implementation::refresh_summaries()
{
    auto const now = decision_clock::now();
    for (auto const& summary : owner_.summaries()) {
        node_.router.take_summary(summary, now);
    }
    for (auto const& change : node_.health.evaluate(now)) {
        node_.router.set_health(change.backend_server, change.to,
                                change.slowdown);
        log_line{severity::info, "health"}
            .with("backend_server", change.backend_server)
            .with("from", routing::name_of(change.from))
            .with("to", routing::name_of(change.to))
            .with("slowdown", change.slowdown);
    }
    summary_timer_.expires_after(summary_interval);
    summary_timer_.async_wait(
        [this, alive = std::weak_ptr{alive_}](auto const& failure) {
            if (!failure && !alive.expired()) {
                refresh_summaries();
            }
        });
}

void daemon::implementation::accept(
    std::shared_ptr<peer::peer_stream> const& stream)
{
    if (stream->path() == order_path) {
        orders_.accept(stream);
    }
}

void daemon::implementation::drain(std::function<void(bool)> on_drained)
{
    node_.draining = true;
    on_drained_ = std::move(on_drained);
    drain_until_ = decision_clock::now() + node_.settings.drain_bound;
    front_.close_connections_after_answers();
    log_line{severity::info, "drain"}.with("daemon", node_.settings.id);
    wait_until_drained();
}

void daemon::implementation::wait_until_drained()
{
    bool const idle = front_.open_exchanges() == 0 && owner_.open_orders() == 0;
    bool const late = decision_clock::now() >= drain_until_;
    if (idle || late) {
        auto const handler = std::exchange(on_drained_, nullptr);
        handler(idle);
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

daemon::daemon(asio::io_context& io, daemon_settings settings)
    : implementation_{std::make_shared<implementation>(io, std::move(settings))}
{}

daemon::~daemon() = default;

result<daemon_endpoints> daemon::start()
{
    return implementation_->start();
}

void daemon::drain(std::function<void(bool)> on_drained)
{
    implementation_->drain(std::move(on_drained));
}

} // namespace medlarstall::daemon
