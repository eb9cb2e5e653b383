#include <medlarstall/standins/platform_standin.hpp>

#include "instance_registry.hpp"
#include "json_replies.hpp"
#include "rate_cap.hpp"
#include "switch_reader.hpp"
#include "switch_request.hpp"

#include <medlarstall/platform/record_log.hpp>
#include <medlarstall/support/digest.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace medlarstall::standins {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr std::string_view logs_prefix = "/logs/";
constexpr std::string_view records_suffix = "/records";
constexpr std::string_view instances_prefix = "/instances/";
constexpr std::string_view weights_prefix = "/weights/";
constexpr std::size_t largest_append = std::size_t{1} << 20U;
constexpr std::uint64_t default_limit = 1000;
constexpr std::uint64_t weight_bytes = 16'000'000'000;

wall_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

std::optional<std::string> log_name(std::string_view path)
{
    constexpr std::size_t longest_name = 64;
    if (!path.starts_with(logs_prefix) || !path.ends_with(records_suffix) ||
        path.size() <= logs_prefix.size() + records_suffix.size()) {
        return std::nullopt;
    }
    auto const size = path.size() - logs_prefix.size() - records_suffix.size();
    auto const name = path.substr(logs_prefix.size(), size);
    auto const allowed = "abcdefghijklmnopqrstuvwxyz0123456789-";
    if (name.size() > longest_name ||
        name.find_first_not_of(allowed) != std::string_view::npos) {
        return std::nullopt;
    }
    return std::string{name};
}

std::optional<platform::append_request> read_append(std::string const& body)
{
    auto const object = json::parse(body, nullptr, false);
    if (!object.is_object() || !object.contains("writer") ||
        !object["writer"].is_string() || !object.contains("sequence") ||
        !object["sequence"].is_number_unsigned() ||
        !object.contains("records") || !object["records"].is_array() ||
        object["records"].empty()) {
        return std::nullopt;
    }
    return platform::append_request{.writer = object["writer"],
                                    .sequence = object["sequence"],
                                    .records = object["records"]};
}

json page_json(platform::log_page const& page)
{
    auto records = json::array();
    for (auto const& record : page.records) {
        records.push_back({{"offset", record.offset},
                           {"time_ms", record.time.time_since_epoch().count()},
                           {"writer", record.writer},
                           {"sequence", record.sequence},
                           {"value", record.value}});
    }
    return {{"first", page.first}, {"end", page.end}, {"records", records}};
}

} // namespace

status read_switches(json const& object, platform_switches& switches)
{
    auto changed = switches;
    switch_reader reader{object};
    reader.read("outage", changed.outage);
    reader.read("down", changed.down);
    reader.read_ms("delay_ms", changed.delay);
    reader.read("lose_reply", changed.lose_reply);
    reader.read("late_effect", changed.late_effect);
    reader.read_ms("late_by_ms", changed.late_by);
    reader.read_ms("retention_ms", changed.retention);
    reader.read("appends_per_second", changed.appends_per_second);
    reader.read_ms("list_lag_ms", changed.list_lag);
    reader.read("weight_reads_per_second", changed.weight_reads_per_second);
    auto outcome = reader.finish();
    if (!failed(outcome)) {
        switches = changed;
    }
    return outcome;
}

/// A read that waits for a record.
struct waiting_read
{
    http_exchange_ptr exchange;
    asio::steady_timer timer;
};

struct platform_standin::implementation
    : std::enable_shared_from_this<implementation>
{
    implementation(asio::io_context& io, platform_settings from)
        : context{io}, settings{std::move(from)}
    {}

    using waiting_reads = std::set<std::shared_ptr<waiting_read>>;
    struct served_log
    {
        platform::record_log records;
        waiting_reads waiting;
    };

    void handle(http_exchange_ptr const& exchange);
    void route(http_exchange_ptr const& exchange);
    void after(std::chrono::milliseconds delay, std::function<void()> action);
    void append(http_exchange_ptr const& exchange, std::string const& name);
    result<platform::append_receipt>
    take_effect(std::string const& name, platform::append_request request);
    void read(http_exchange_ptr const& exchange, std::string const& name);
    void answer_read(http_exchange& exchange, served_log& log) const;
    void wake(served_log& log);
    void instances(http_exchange& exchange);
    void weights(http_exchange& exchange);
    void expire();
    void switch_request(http_exchange& exchange);
    void apply(platform_switches const& changed);

    asio::io_context& context;
    platform_settings settings;
    platform_switches switches;
    std::unique_ptr<http_host> host;
    std::map<std::string, served_log> logs;
    instance_registry registry;
    rate_cap append_cap;
    rate_cap weight_cap;
    std::uint64_t appends = 0;
    std::uint64_t refused_appends = 0;
};

void platform_standin::implementation::handle(http_exchange_ptr const& exchange)
{
    if (exchange->request().path == "/standin/switches") {
        switch_request(*exchange);
        return;
    }
    after(switches.delay, [this, exchange] { route(exchange); });
}

void platform_standin::implementation::route(http_exchange_ptr const& exchange)
{
    auto const& request = exchange->request();
    if (switches.outage) {
        reply_error(*exchange, 503, "outage");
        return;
    }
    expire();
    if (auto const name = log_name(request.path)) {
        if (request.method == "POST") {
            append(exchange, *name);
        } else {
            read(exchange, *name);
        }
    } else if (request.path.starts_with("/instances")) {
        instances(*exchange);
    } else if (request.path.starts_with(weights_prefix)) {
        weights(*exchange);
    } else {
        reply_error(*exchange, 404, "no such path");
    }
}

void platform_standin::implementation::after(std::chrono::milliseconds delay,
                                             std::function<void()> action)
{
    if (delay <= 0ms) {
        action();
        return;
    }
    auto const wait = std::make_shared<asio::steady_timer>(context);
    wait->expires_after(delay);
    wait->async_wait([weak = weak_from_this(), wait,
                      action = std::move(action)](asio::error_code) {
        if (auto const self = weak.lock()) {
            action();
        }
    });
}

void platform_standin::implementation::append(http_exchange_ptr const& exchange,
                                              std::string const& name)
{
    if (exchange->request().body.size() > largest_append) {
        reply_error(*exchange, 413, "an append holds at most 1 MiB");
        return;
    }
    auto request = read_append(exchange->request().body);
    if (!request) {
        reply_error(*exchange, 400, "needs writer, sequence and records");
        return;
    }
    if (!append_cap.take(switches.appends_per_second, monotonic_clock::now())) {
        ++refused_appends;
        reply_error(*exchange, 503, "too many appends", {{"Retry-After", "1"}});
        return;
    }
    if (switches.late_effect > 0) {
        --switches.late_effect;
        exchange->drop();
        after(switches.late_by, [this, name, late = std::move(*request)] {
            take_effect(name, late);
        });
        return;
    }
    auto const outcome = take_effect(name, std::move(*request));
    if (switches.lose_reply > 0) {
        --switches.lose_reply;
        exchange->drop();
        return;
    }
    auto const& receipt = value_of(outcome);
    reply_json(*exchange, 200,
               {{"offset", receipt.offset}, {"count", receipt.count}});
}

result<platform::append_receipt>
platform_standin::implementation::take_effect(std::string const& name,
                                              platform::append_request request)
{
    auto& log = logs[name];
    auto const end = log.records.end();
    auto outcome = log.records.append(std::move(request), wall_now());
    if (log.records.end() != end) {
        ++appends;
        wake(log);
    }
    return outcome;
}

void platform_standin::implementation::read(http_exchange_ptr const& exchange,
                                            std::string const& name)
{
    auto const from = exchange->request().parameter("from", 0);
    std::chrono::milliseconds const wait{
        exchange->request().parameter("wait_ms", 0)};
    auto& log = logs[name];
    if (from < log.records.end() || wait <= 0ms) {
        answer_read(*exchange, log);
        return;
    }
    auto const waiting = std::make_shared<waiting_read>(
        waiting_read{exchange, asio::steady_timer{context}});
    log.waiting.insert(waiting);
    waiting->timer.expires_after(wait);
    waiting->timer.async_wait(
        [this, weak = weak_from_this(), waiting, name](asio::error_code) {
            auto const self = weak.lock();
            if (!self) {
                return;
            }
            auto& woken = logs[name];
            if (woken.waiting.erase(waiting) > 0) {
                answer_read(*waiting->exchange, woken);
            }
        });
}

void platform_standin::implementation::answer_read(http_exchange& exchange,
                                                   served_log& log) const
{
    if (switches.outage) {
        reply_error(exchange, 503, "outage");
        return;
    }
    auto const& request = exchange.request();
    auto const page =
        log.records.read(request.parameter("from", 0),
                         request.parameter("limit", default_limit));
    reply_json(exchange, 200, page_json(page));
}

void platform_standin::implementation::wake(served_log& log)
{
    waiting_reads still_waiting;
    for (auto const& waiting : std::exchange(log.waiting, {})) {
        auto const from = waiting->exchange->request().parameter("from", 0);
        if (from >= log.records.end()) {
            still_waiting.insert(waiting);
            continue;
        }
        waiting->timer.cancel();
        after(switches.delay,
              [this, waiting, &log] { answer_read(*waiting->exchange, log); });
    }
    log.waiting = std::move(still_waiting);
}

void platform_standin::implementation::instances(http_exchange& exchange)
{
    auto const& request = exchange.request();
    auto const now = monotonic_clock::now();
    if (!request.path.starts_with(instances_prefix)) {
        json const body{{"instances", registry.list(switches.list_lag, now)},
                        {"age_ms", switches.list_lag.count()}};
        auto const text = body.dump();
        auto const tag = '"' + std::to_string(hash64(text)) + '"';
        if (request.header("If-None-Match") == tag) {
            exchange.reply(304, "", {{"ETag", tag}});
        } else {
            exchange.reply(200, text, {{"ETag", tag}});
        }
        return;
    }
    auto const id = request.path.substr(instances_prefix.size());
    if (request.method == "DELETE") {
        registry.remove(id, now);
        exchange.reply(204, "");
        return;
    }
    auto instance = json::parse(request.body, nullptr, false);
    if (request.method != "PUT" || !instance.is_object()) {
        reply_error(exchange, 400, "PUT needs a JSON object");
        return;
    }
    std::chrono::milliseconds const lease{
        instance.value("lease_ms", settings.default_lease.count())};
    instance.erase("lease_ms");
    registry.put(id, std::move(instance), now + lease, now);
    exchange.reply(200, "{}");
}

void platform_standin::implementation::weights(http_exchange& exchange)
{
    if (!weight_cap.take(switches.weight_reads_per_second,
                         monotonic_clock::now())) {
        reply_error(exchange, 429, "rate limit", {{"Retry-After", "1"}});
        return;
    }
    reply_json(exchange, 200, {{"bytes", weight_bytes}});
}

void platform_standin::implementation::expire()
{
    if (switches.retention <= 0ms) {
        return;
    }
    auto const oldest = wall_now() - switches.retention;
    for (auto& [name, log] : logs) {
        log.records.expire_before(oldest);
    }
}

void platform_standin::implementation::switch_request(http_exchange& exchange)
{
    if (auto const changed = take_switch_request(exchange, *host, switches)) {
        apply(*changed);
    }
}

void platform_standin::implementation::apply(platform_switches const& changed)
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

platform_standin::platform_standin(asio::io_context& context,
                                   platform_settings settings)
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

platform_standin::~platform_standin() = default;

void platform_standin::start()
{
    parts_->switches.down = false;
    parts_->host->start();
}

void platform_standin::stop()
{
    parts_->switches.down = true;
    parts_->host->stop();
}

std::uint16_t platform_standin::port() const
{
    return parts_->host->port();
}

void platform_standin::set(platform_switches const& switches)
{
    parts_->apply(switches);
}

platform_switches const& platform_standin::switches() const
{
    return parts_->switches;
}

void platform_standin::silence_open_connections()
{
    parts_->host->silence_open_connections();
}

platform::log_page platform_standin::log(std::string const& name) const
{
    auto const found = parts_->logs.find(name);
    if (found == parts_->logs.end()) {
        return {};
    }
    auto const& records = found->second.records;
    return records.read(0, records.end() - records.first());
}

void platform_standin::expire(std::string const& name,
                              platform::log_offset first)
{
    parts_->logs[name].records.expire_below(first);
}

bool platform_standin::damage(std::string const& name,
                              platform::log_offset offset, nlohmann::json value)
{
    return parts_->logs[name].records.overwrite(offset, std::move(value));
}

void platform_standin::put_instance(std::string const& id,
                                    nlohmann::json instance)
{
    parts_->registry.put(id, std::move(instance), std::nullopt,
                         monotonic_clock::now());
}

void platform_standin::remove_instance(std::string const& id)
{
    parts_->registry.remove(id, monotonic_clock::now());
}

std::uint64_t platform_standin::appends() const
{
    return parts_->appends;
}

std::uint64_t platform_standin::refused_appends() const
{
    return parts_->refused_appends;
}

} // namespace medlarstall::standins
