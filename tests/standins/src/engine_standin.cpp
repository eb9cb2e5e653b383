#include <medlarstall/standins/engine_standin.hpp>

#include "engine_frames.hpp"
#include "json_replies.hpp"
#include "stream_reader.hpp"

#include <medlarstall/support/uuid.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <deque>
#include <set>
#include <unordered_map>

namespace medlarstall::standins {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr std::size_t kept_runs = 100'000;
constexpr std::size_t kept_cache_events = 10'000;
constexpr auto poll_interval = 20ms;
constexpr std::string_view streams_prefix = "/streams/";

std::int64_t milliseconds_of(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

struct load_sample
{
    time_point at;
    json report;
};

struct cache_event
{
    time_point visible;
    std::uint64_t sequence = 0;
    std::string model;
    cache_change change;
};

std::optional<std::uint64_t> token_limit(json const& request)
{
    for (auto const* key : {"max_tokens", "max_completion_tokens"}) {
        auto const found = request.find(key);
        if (found != request.end() && found->is_number_unsigned()) {
            return found->get<std::uint64_t>();
        }
    }
    return std::nullopt;
}

std::string problem_of(json const& request)
{
    if (!request.is_object()) {
        return "the body is no JSON object";
    }
    if (!request.contains("model") || !request["model"].is_string()) {
        return "model: not a text";
    }
    if (!request.contains("messages") || !request["messages"].is_array()) {
        return "messages: not an array";
    }
    return {};
}

} // namespace

struct engine_standin::implementation
    : std::enable_shared_from_this<implementation>
{
    implementation(asio::io_context& io, engine_settings from)
        : context{io}, settings{std::move(from)}, model{settings.speed},
          timer{io}, restart_timer{io}
    {
        loaded.insert(settings.models.begin(), settings.models.end());
    }

    void handle(http_exchange_ptr const& exchange);
    void complete(http_exchange_ptr const& exchange);
    void run(http_exchange_ptr const& exchange, json const& request,
             std::string attempt);
    void stream_request(http_exchange_ptr const& exchange);
    void resume(http_exchange_ptr const& exchange,
                engine_stream_ptr const& stream);
    void report_load(http_exchange& exchange) const;
    void report_cache(http_exchange_ptr const& exchange, time_point until);
    void take_order(http_exchange& exchange);
    void load_model(std::string const& name);
    void switch_request(http_exchange& exchange);
    bool refuses_model(http_exchange& exchange, std::string const& name) const;

    void advance();
    void arm();
    void serve_readers(engine_stream& stream);
    void note(engine_stream const& stream);
    void sample();
    void publish_cache_changes(std::string const& name);
    void crash();
    void apply(engine_switches const& changed);

    asio::io_context& context;
    engine_settings settings;
    engine_model model;
    asio::steady_timer timer;
    asio::steady_timer restart_timer;
    bool armed = false;
    time_point armed_for;
    bool crash_due = false;
    std::unique_ptr<http_host> host;
    std::shared_ptr<engine_switches> const switches =
        std::make_shared<engine_switches>();
    std::set<std::string> loaded;
    std::uint64_t highest_fencing = 0;
    std::uint64_t made_up_attempts = 0;
    std::uint64_t crashes = 0;
    std::vector<engine_order> orders;
    std::unordered_map<engine_stream const*, std::shared_ptr<stream_reader>>
        readers;
    std::unordered_map<engine_stream const*, http_exchange_ptr> whole_readers;
    std::deque<engine_run> runs;
    std::unordered_map<std::string, std::uint64_t> run_numbers;
    std::uint64_t first_run = 0;
    std::deque<load_sample> samples;
    std::deque<cache_event> cache_events;
    std::uint64_t next_cache_sequence = 0;
};

void engine_standin::implementation::handle(http_exchange_ptr const& exchange)
{
    auto const& request = exchange->request();
    if (request.path == "/v1/chat/completions" && request.method == "POST") {
        complete(exchange);
    } else if (request.path.starts_with(streams_prefix)) {
        stream_request(exchange);
    } else if (request.path == "/load") {
        report_load(*exchange);
    } else if (request.path == "/cache-events") {
        auto const wait =
            std::chrono::milliseconds{request.parameter("wait_ms", 0)};
        report_cache(exchange, decision_clock::now() + wait);
    } else if (request.path == "/orders" && request.method == "POST") {
        take_order(*exchange);
    } else if (request.path == "/healthz") {
        exchange->reply(200, "{}");
    } else if (request.path == "/standin/switches") {
        switch_request(*exchange);
    } else {
        reply_error(*exchange, 404, "no such path");
    }
}

void engine_standin::implementation::complete(http_exchange_ptr const& exchange)
{
    if (switches->stopping) {
        reply_not_run(*exchange, 503, "stopping");
        return;
    }
    auto const request = json::parse(exchange->request().body, nullptr, false);
    if (auto const problem = problem_of(request); !problem.empty()) {
        reply_error(*exchange, 400, problem);
        return;
    }
    if (refuses_model(*exchange, request["model"])) {
        return;
    }
    auto attempt = exchange->request().header("X-Attempt-Id");
    if (attempt.empty()) {
        attempt = to_string(make_uuid_v7({}, 0, ++made_up_attempts));
    }
    if (failed(parse_uuid(attempt))) {
        reply_error(*exchange, 400, "X-Attempt-Id: not a UUID");
        return;
    }
    if (model.find(attempt)) {
        reply_error(*exchange, 409, "this attempt exists");
        return;
    }
    run(exchange, request, std::move(attempt));
}

void engine_standin::implementation::run(http_exchange_ptr const& exchange,
                                         json const& request,
                                         std::string attempt)
{
    auto const prompt = prompt_of(request);
    auto const stream =
        model.submit(std::move(attempt), prompt, token_limit(request),
                     request.value("priority", 0), decision_clock::now());
    if (!stream) {
        reply_not_run(*exchange, 429, "full");
        return;
    }
    auto const& marker = switches->crash_marker;
    stream->crashes =
        !marker.empty() && prompt.find(marker) != std::string::npos;
    publish_cache_changes(request["model"]);
    note(*stream);
    sample();
    if (request.value("stream", false)) {
        auto const reader = std::make_shared<stream_reader>(exchange, stream, 0,
                                                            false, switches);
        readers[stream.get()] = reader;
        reader->start();
    } else {
        whole_readers[stream.get()] = exchange;
    }
    arm();
}

bool engine_standin::implementation::refuses_model(
    http_exchange& exchange, std::string const& name) const
{
    auto const& known = settings.known_models;
    if (known.empty()) {
        return false;
    }
    if (std::find(known.begin(), known.end(), name) == known.end()) {
        reply_error(exchange, 404, "unknown model");
        return true;
    }
    if (!loaded.contains(name)) {
        reply_not_run(exchange, 503, "the model is not loaded");
        return true;
    }
    return false;
}

void engine_standin::implementation::stream_request(
    http_exchange_ptr const& exchange)
{
    auto const& request = exchange->request();
    auto const attempt = request.path.substr(streams_prefix.size());
    auto const stream = model.find(attempt);
    if (!stream) {
        reply_error(*exchange, 404, "unknown attempt");
        return;
    }
    if (request.method == "GET") {
        resume(exchange, stream);
        return;
    }
    if (request.method != "DELETE") {
        reply_error(*exchange, 405, "allowed: GET, DELETE");
        return;
    }
    model.cancel(attempt, decision_clock::now());
    serve_readers(*stream);
    note(*stream);
    sample();
    exchange->reply(204, "");
    arm();
}

void engine_standin::implementation::resume(http_exchange_ptr const& exchange,
                                            engine_stream_ptr const& stream)
{
    auto const from = exchange->request().parameter("from", 0);
    auto const reader =
        std::make_shared<stream_reader>(exchange, stream, from, true, switches);
    readers[stream.get()] = reader;
    reader->start();
    serve_readers(*stream);
}

void engine_standin::implementation::report_load(http_exchange& exchange) const
{
    auto const now = decision_clock::now();
    json report{{"running", 0},
                {"waiting", 0},
                {"first_token_ms", 0},
                {"between_tokens_ms", 0}};
    for (auto const& sample : samples) {
        if (sample.at + settings.load_lag > now) {
            break;
        }
        report = sample.report;
    }
    report["slots"] = settings.speed.slots;
    report["age_ms"] = settings.load_lag.count();
    report["models"] = loaded;
    report["role"] = settings.role;
    reply_json(exchange, 200, report);
}

void engine_standin::implementation::report_cache(
    http_exchange_ptr const& exchange, time_point until)
{
    auto const from = exchange->request().parameter("from", 0);
    auto const now = decision_clock::now();
    auto events = json::array();
    for (auto const& event : cache_events) {
        if (event.sequence >= from && event.visible <= now) {
            events.push_back(
                {{"sequence", event.sequence},
                 {"kind", event.change.stored ? "stored" : "removed"},
                 {"model", event.model},
                 {"prefix", event.change.prefix}});
        }
    }
    if (!events.empty() || now >= until) {
        reply_json(*exchange, 200, {{"events", events}});
        return;
    }
    auto const wait = std::make_shared<asio::steady_timer>(context);
    wait->expires_after(poll_interval);
    wait->async_wait([this, weak = weak_from_this(), wait, exchange,
                      until](asio::error_code) {
        if (auto const self = weak.lock()) {
            report_cache(exchange, until);
        }
    });
}

void engine_standin::implementation::take_order(http_exchange& exchange)
{
    auto const order = json::parse(exchange.request().body, nullptr, false);
    if (!order.is_object() || !order.contains("fencing") ||
        !order["fencing"].is_number_unsigned() || !order.contains("kind")) {
        reply_error(exchange, 400, "an order needs kind and fencing");
        return;
    }
    auto const fencing = order["fencing"].get<std::uint64_t>();
    if (settings.checks_fencing && fencing < highest_fencing) {
        reply_json(exchange, 409, {{"fencing", highest_fencing}});
        return;
    }
    highest_fencing = std::max(highest_fencing, fencing);
    engine_order const taken{.order_id = order.value("order_id", ""),
                             .fencing = fencing,
                             .kind = order.value("kind", ""),
                             .model = order.value("model", ""),
                             .version = order.value("version", "")};
    auto const repeated =
        std::any_of(orders.begin(), orders.end(), [&](auto const& known) {
            return known.order_id == taken.order_id;
        });
    if (!repeated) {
        orders.push_back(taken);
        if (taken.kind == "set_role") {
            settings.role = order.value("role", settings.role);
        } else {
            load_model(taken.model);
        }
    }
    reply_json(exchange, 202, {{"order_id", taken.order_id}});
}

void engine_standin::implementation::load_model(std::string const& name)
{
    auto const wait = std::make_shared<asio::steady_timer>(context);
    wait->expires_after(settings.model_load_time);
    wait->async_wait([weak = weak_from_this(), wait, name](asio::error_code) {
        if (auto const self = weak.lock()) {
            self->loaded.insert(name);
        }
    });
}

void engine_standin::implementation::switch_request(http_exchange& exchange)
{
    auto object = json::parse(exchange.request().body, nullptr, false);
    if (!object.is_object()) {
        reply_error(exchange, 400, "not a JSON object");
        return;
    }
    bool const silence = object.value("silence_open_connections", false);
    bool const drop = object.value("drop_connections", false);
    object.erase("silence_open_connections");
    object.erase("drop_connections");
    auto changed = *switches;
    auto const outcome = read_switches(object, changed);
    if (failed(outcome)) {
        reply_error(exchange, 400,
                    error_of(outcome).field + ": " + error_of(outcome).message);
        return;
    }
    exchange.reply(200, "{}");
    if (silence) {
        host->silence_open_connections();
    }
    if (drop) {
        host->drop_connections();
    }
    apply(changed);
}

void engine_standin::implementation::advance()
{
    model.advance(decision_clock::now(), [this](engine_stream& stream) {
        crash_due = crash_due || stream.crashes;
        serve_readers(stream);
        if (stream.made == 1 || stream.state != stream_state::running) {
            note(stream);
            sample();
        }
    });
    if (std::exchange(crash_due, false)) {
        ++crashes;
        crash();
    }
}

void engine_standin::implementation::arm()
{
    auto const due = model.next_due();
    if (!due || (armed && armed_for <= *due)) {
        return;
    }
    armed = true;
    armed_for = *due;
    timer.expires_at(*due);
    timer.async_wait([this, weak = weak_from_this()](asio::error_code failure) {
        auto const self = weak.lock();
        if (!self || failure) {
            return;
        }
        armed = false;
        advance();
        arm();
    });
}

void engine_standin::implementation::serve_readers(engine_stream& stream)
{
    bool const ended = stream.state == stream_state::finished ||
                       stream.state == stream_state::cancelled;
    if (auto const found = readers.find(&stream); found != readers.end()) {
        auto const reader = found->second;
        reader->pump();
        if (ended) {
            readers.erase(&stream);
        }
    }
    auto const whole = whole_readers.find(&stream);
    if (ended && whole != whole_readers.end()) {
        if (stream.state == stream_state::finished) {
            whole->second->reply(200, whole_answer(stream));
        } else {
            reply_error(*whole->second, 499, "cancelled");
        }
        whole_readers.erase(whole);
    }
}

void engine_standin::implementation::note(engine_stream const& stream)
{
    auto const [found, added] =
        run_numbers.try_emplace(stream.attempt, first_run + runs.size());
    if (added) {
        runs.emplace_back();
    }
    if (found->second >= first_run) {
        runs[found->second - first_run] = {
            .attempt = stream.attempt,
            .prompt_hash = stream.plan.seed,
            .priority = stream.priority,
            .started = stream.made > 0 || stream.state == stream_state::running,
            .tokens = stream.made,
            .state = stream.state};
    }
    if (runs.size() > kept_runs) {
        run_numbers.erase(runs.front().attempt);
        runs.pop_front();
        ++first_run;
    }
}

void engine_standin::implementation::sample()
{
    auto const now = decision_clock::now();
    json report{{"running", model.running()},
                {"waiting", model.waiting()},
                {"first_token_ms", milliseconds_of(model.first_token_time())},
                {"between_tokens_ms", milliseconds_of(model.token_interval())}};
    if (!samples.empty() && now - samples.back().at < poll_interval) {
        samples.back().report = std::move(report);
        return;
    }
    samples.push_back({now, std::move(report)});
    while (samples.size() > 1 && samples[1].at + settings.load_lag < now) {
        samples.pop_front();
    }
}

void engine_standin::implementation::publish_cache_changes(
    std::string const& name)
{
    auto const visible = decision_clock::now() + settings.cache_event_lag;
    for (auto& change : model.take_cache_changes()) {
        auto const sequence = next_cache_sequence++;
        auto const gap = settings.cache_event_gap;
        if (gap != 0 && sequence % gap == gap - 1) {
            continue;
        }
        cache_events.push_back({visible, sequence, name, std::move(change)});
    }
    while (cache_events.size() > kept_cache_events) {
        cache_events.pop_front();
    }
}

void engine_standin::implementation::crash()
{
    host->stop();
    model.clear();
    readers.clear();
    whole_readers.clear();
    samples.clear();
    timer.cancel();
    armed = false;
    if (switches->restart_after < 0ms || switches->down) {
        return;
    }
    restart_timer.expires_after(switches->restart_after);
    restart_timer.async_wait(
        [weak = weak_from_this()](asio::error_code failure) {
            auto const self = weak.lock();
            if (self && !failure) {
                self->host->start();
            }
        });
}

void engine_standin::implementation::apply(engine_switches const& changed)
{
    bool const falls = changed.down && !switches->down;
    bool const returns = !changed.down && switches->down;
    *switches = changed;
    model.slow_down(switches->slow);
    if (falls) {
        crash();
    } else if (returns) {
        host->start();
    }
}

engine_standin::engine_standin(asio::io_context& context,
                               engine_settings settings)
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

engine_standin::~engine_standin() = default;

void engine_standin::start()
{
    parts_->switches->down = false;
    parts_->restart_timer.cancel();
    parts_->host->start();
}

void engine_standin::stop()
{
    parts_->switches->down = true;
    parts_->crash();
}

std::uint16_t engine_standin::port() const
{
    return parts_->host->port();
}

void engine_standin::set(engine_switches const& switches)
{
    parts_->apply(switches);
}

engine_switches const& engine_standin::switches() const
{
    return *parts_->switches;
}

void engine_standin::silence_open_connections()
{
    parts_->host->silence_open_connections();
}

void engine_standin::drop_connections()
{
    parts_->host->drop_connections();
}

std::vector<engine_run> engine_standin::runs() const
{
    return {parts_->runs.begin(), parts_->runs.end()};
}

std::vector<engine_order> engine_standin::orders() const
{
    return parts_->orders;
}

std::vector<std::string> engine_standin::models() const
{
    return {parts_->loaded.begin(), parts_->loaded.end()};
}

std::size_t engine_standin::running() const
{
    return parts_->model.running();
}

std::size_t engine_standin::waiting() const
{
    return parts_->model.waiting();
}

std::uint64_t engine_standin::crashes() const
{
    return parts_->crashes;
}

} // namespace medlarstall::standins
