#include <medlarstall/standins/service_standin.hpp>

#include "json_replies.hpp"
#include "switch_reader.hpp"
#include "switch_request.hpp"

#include <medlarstall/standins/text_model.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <deque>

namespace medlarstall::standins {

namespace {

using nlohmann::json;

constexpr std::size_t kept_runs = 100'000;

bool strikes(unsigned& remaining)
{
    if (remaining == 0) {
        return false;
    }
    --remaining;
    return true;
}

} // namespace

status read_switches(json const& object, service_switches& switches)
{
    auto changed = switches;
    switch_reader reader{object};
    reader.read_ms("delay_ms", changed.delay);
    reader.read("down", changed.down);
    reader.read("stopping", changed.stopping);
    reader.read("cut_midway", changed.cut_midway);
    reader.read("no_answer", changed.no_answer);
    reader.read("die_before", changed.die_before);
    reader.read("die_after", changed.die_after);
    reader.read("refuse", changed.refuse);
    auto outcome = reader.finish();
    if (!failed(outcome)) {
        switches = changed;
    }
    return outcome;
}

struct service_standin::implementation
    : std::enable_shared_from_this<implementation>
{
    implementation(asio::io_context& io, service_settings from)
        : context{io}, settings{std::move(from)}
    {}

    void handle(http_exchange_ptr const& exchange);
    void execute(http_exchange_ptr const& exchange);
    std::string run(http_request const& request);
    void answer_later(http_exchange_ptr const& exchange, std::string body);
    void answer(http_exchange& exchange, std::string body);
    void switch_request(http_exchange& exchange);
    void apply(service_switches const& changed);

    asio::io_context& context;
    service_settings settings;
    service_switches switches;
    std::unique_ptr<http_host> host;
    std::map<std::string, unsigned> executions;
    std::deque<service_run> runs;
};

void service_standin::implementation::handle(http_exchange_ptr const& exchange)
{
    auto const& path = exchange->request().path;
    if (path == "/standin/switches") {
        switch_request(*exchange);
    } else if (path == "/standin/executions") {
        reply_json(*exchange, 200, {{"executions", executions}});
    } else if (path == "/healthz") {
        exchange->reply(200, "{}");
    } else {
        execute(exchange);
    }
}

void service_standin::implementation::execute(http_exchange_ptr const& exchange)
{
    if (strikes(switches.die_before)) {
        exchange->drop();
        return;
    }
    if (switches.stopping || strikes(switches.refuse)) {
        reply_not_run(*exchange, 503, "refused");
        return;
    }
    answer_later(exchange, run(exchange->request()));
}

std::string service_standin::implementation::run(http_request const& request)
{
    auto const key = request.header("Idempotency-Key");
    auto const path = request.query.empty()
                          ? request.path
                          : request.path + "?" + request.query;
    unsigned execution = 1;
    if (!key.empty()) {
        execution = ++executions[key];
    }
    runs.push_back({.key = key,
                    .attempt = request.header("X-Attempt-Id"),
                    .method = request.method,
                    .path = path,
                    .body = request.body});
    if (runs.size() > kept_runs) {
        runs.pop_front();
    }
    auto const answer =
        expected_service_answer(request.method, path, request.body);
    return json{{"service", settings.name},
                {"key", key},
                {"execution", execution},
                {"answer", answer}}
        .dump();
}

void service_standin::implementation::answer_later(
    http_exchange_ptr const& exchange, std::string body)
{
    if (switches.delay == std::chrono::milliseconds{0}) {
        answer(*exchange, std::move(body));
        return;
    }
    auto const wait = std::make_shared<asio::steady_timer>(context);
    wait->expires_after(switches.delay);
    wait->async_wait([weak = weak_from_this(), wait, exchange,
                      body = std::move(body)](asio::error_code) {
        if (auto const self = weak.lock()) {
            self->answer(*exchange, body);
        }
    });
}

void service_standin::implementation::answer(http_exchange& exchange,
                                             std::string body)
{
    if (strikes(switches.die_after)) {
        exchange.drop();
    } else if (strikes(switches.cut_midway)) {
        exchange.reply_cut(200, body, body.size() / 2);
    } else if (!strikes(switches.no_answer)) {
        exchange.reply(200, std::move(body));
    }
}

void service_standin::implementation::switch_request(http_exchange& exchange)
{
    if (auto const changed = take_switch_request(exchange, *host, switches)) {
        apply(*changed);
    }
}

void service_standin::implementation::apply(service_switches const& changed)
{
    bool const falls = changed.down && !switches.down;
    bool const returns = !changed.down && switches.down;
    switches = changed;
    if (falls) {
        host->stop();
    } else if (returns) {
        host->start();
    }
}

service_standin::service_standin(asio::io_context& context,
                                 service_settings settings)
    : parts_{std::make_shared<implementation>(context, std::move(settings))}
{
    parts_->host = std::make_unique<http_host>(
        context, parts_->settings.host,
        [weak = std::weak_ptr{parts_}](http_exchange_ptr const& exchange) {
            if (auto const parts = weak.lock()) {
                parts->handle(exchange);
            }
        });
}

service_standin::~service_standin() = default;

void service_standin::start()
{
    parts_->switches.down = false;
    parts_->host->start();
}

void service_standin::stop()
{
    parts_->switches.down = true;
    parts_->host->stop();
}

std::uint16_t service_standin::port() const
{
    return parts_->host->port();
}

void service_standin::set(service_switches const& switches)
{
    parts_->apply(switches);
}

service_switches const& service_standin::switches() const
{
    return parts_->switches;
}

void service_standin::silence_open_connections()
{
    parts_->host->silence_open_connections();
}

void service_standin::drop_connections()
{
    parts_->host->drop_connections();
}

std::map<std::string, unsigned> service_standin::executions() const
{
    return parts_->executions;
}

std::vector<service_run> service_standin::runs() const
{
    return {parts_->runs.begin(), parts_->runs.end()};
}

} // namespace medlarstall::standins
