#include "engine_implementation.hpp"

#include "engine_state.hpp"
#include "json_replies.hpp"
#include "switch_request.hpp"

#include <medlarstall/support/uuid.hpp>

#include <algorithm>

namespace medlarstall::standins {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds poll_interval{20};
constexpr std::string_view streams_prefix = "/streams/";

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
        report_cache(exchange, monotonic_clock::now() + wait);
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
                     request.value("priority", 0), monotonic_clock::now());
    if (!stream) {
        reply_not_run(*exchange, 429, "full");
        return;
    }
    auto const& marker = switches->crash_marker;
    stream->crashes =
        !marker.empty() && prompt.find(marker) != std::string::npos;
    publish_cache_changes(request["model"]);
    runs.note(*stream);
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
    auto const rest = request.path.substr(streams_prefix.size());
    auto const slash = std::min(rest.find('/'), rest.size());
    auto const attempt = rest.substr(0, slash);
    auto const action = rest.substr(slash);
    if (action == "/state" && request.method == "PUT") {
        import_state(*exchange, attempt);
        return;
    }
    auto const stream = model.find(attempt);
    if (!stream) {
        reply_error(*exchange, 404, "unknown attempt");
    } else if (action.empty() && request.method == "GET") {
        resume(exchange, stream);
    } else if (action.empty() && request.method == "DELETE") {
        end_stream(*exchange, stream);
    } else if (stream->state != stream_state::kept) {
        reply_error(*exchange, 404, "this attempt is not kept");
    } else if (action == "/state" && request.method == "GET") {
        reply_json(*exchange, 200, stream_state_json(*stream));
    } else if (action == "/continue" && request.method == "POST") {
        continue_stream(exchange, stream);
    } else {
        reply_error(*exchange, 404, "no such path");
    }
}

void engine_standin::implementation::end_stream(http_exchange& exchange,
                                                engine_stream_ptr const& stream)
{
    auto const now = monotonic_clock::now();
    bool const keeps = exchange.request().parameter("keep", 0) == 1;
    if (keeps) {
        model.keep(stream->attempt, now);
        reply_json(exchange, 200, {{"tokens", stream->made}});
    } else {
        model.cancel(stream->attempt, now);
        exchange.reply(204, "");
    }
    serve_readers(*stream);
    runs.note(*stream);
    sample();
    arm();
}

void engine_standin::implementation::continue_stream(
    http_exchange_ptr const& exchange, engine_stream_ptr const& stream)
{
    auto const priority =
        static_cast<int>(exchange->request().parameter("priority", 0));
    if (switches->stopping ||
        !model.resume(stream, priority, monotonic_clock::now())) {
        reply_not_run(*exchange, 429, "no slot is free");
        return;
    }
    runs.note(*stream);
    sample();
    resume(exchange, stream);
    arm();
}

void engine_standin::implementation::import_state(http_exchange& exchange,
                                                  std::string const& attempt)
{
    auto stream = parse_stream_state(exchange.request().body);
    if (!stream || stream->attempt != attempt || failed(parse_uuid(attempt))) {
        reply_error(exchange, 400, "no exported state of this attempt");
        return;
    }
    if (auto const known = model.find(attempt); known && !idle(*known)) {
        reply_error(exchange, 409, "this attempt runs here");
        return;
    }
    model.import(std::move(*stream), monotonic_clock::now());
    exchange.reply(204, "");
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
    auto report = loads.report(settings.load_lag, monotonic_clock::now());
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
    auto const now = monotonic_clock::now();
    auto events = cache_events.list(from, now);
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
    if (auto const changed = take_switch_request(exchange, *host, *switches)) {
        apply(*changed);
    }
}

} // namespace medlarstall::standins
