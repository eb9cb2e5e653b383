#include <medlarstall/platform/http_platform.hpp>

#include "platform_call.hpp"

#include <medlarstall/http/message.hpp>
#include <medlarstall/support/result.hpp>

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <charconv>
#include <deque>
#include <utility>

namespace medlarstall::platform {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr std::size_t largest_append = std::size_t{1} << 20U;
constexpr int ok = 200;
constexpr int no_content = 204;
constexpr int not_modified = 304;
constexpr int not_found = 404;
constexpr int too_many_requests = 429;

/// An append that waits for its turn.
struct waiting_append
{
    call_request request;
    append_callback on_done;
};

std::string describe(call_outcome const& outcome)
{
    if (outcome.response == nullptr) {
        return outcome.message;
    }
    return "status " + std::to_string(outcome.response->status);
}

bool succeeded(call_outcome const& outcome)
{
    return outcome.response != nullptr &&
           (outcome.response->status == ok ||
            outcome.response->status == no_content);
}

json body_of(call_outcome const& outcome)
{
    return json::parse(outcome.response->body, nullptr, false);
}

std::string append_body(append_request request)
{
    json const body{{"writer", std::move(request.writer)},
                    {"sequence", request.sequence},
                    {"records", std::move(request.records)}};
    return body.dump();
}

append_outcome read_receipt(call_outcome const& outcome)
{
    if (!succeeded(outcome)) {
        return append_failure{outcome.ambiguous, describe(outcome)};
    }
    try {
        auto const body = body_of(outcome);
        return append_receipt{body.at("offset").get<log_offset>(),
                              body.at("count").get<std::size_t>()};
    } catch (json::exception const& failure) {
        return append_failure{true, failure.what()};
    }
}

result<log_page> read_page(call_outcome const& outcome)
{
    if (!succeeded(outcome)) {
        return error{"read", describe(outcome)};
    }
    try {
        auto body = body_of(outcome);
        log_page page{.first = body.at("first").get<log_offset>(),
                      .end = body.at("end").get<log_offset>(),
                      .records = {}};
        for (auto& item : body.at("records")) {
            std::chrono::milliseconds const time{
                item.at("time_ms").get<std::int64_t>()};
            page.records.push_back(
                {.offset = item.at("offset").get<log_offset>(),
                 .time = wall_time{time},
                 .writer = item.at("writer").get<std::string>(),
                 .sequence = item.at("sequence").get<std::uint64_t>(),
                 .value = std::move(item.at("value"))});
        }
        return page;
    } catch (json::exception const& failure) {
        return error{"read", failure.what()};
    }
}

result<instance_snapshot> read_snapshot(call_outcome const& outcome)
{
    if (!succeeded(outcome)) {
        return error{"instances", describe(outcome)};
    }
    try {
        auto const body = body_of(outcome);
        instance_snapshot snapshot;
        snapshot.age =
            std::chrono::milliseconds{body.at("age_ms").get<std::int64_t>()};
        for (auto const& item : body.at("instances")) {
            auto listed = parse_instance(item);
            if (failed(listed)) {
                return error_of(listed);
            }
            snapshot.instances.push_back(std::move(value_of(listed)));
        }
        return snapshot;
    } catch (json::exception const& failure) {
        return error{"instances", failure.what()};
    }
}

std::chrono::milliseconds retry_after(backend::fetched_response const& from)
{
    auto const text = backend::find_field(from.fields, "Retry-After");
    unsigned seconds = 1;
    std::from_chars(text.begin(), text.end(), seconds);
    return std::chrono::seconds{seconds};
}

weight_outcome read_weight_reply(call_outcome const& outcome)
{
    if (outcome.response != nullptr &&
        outcome.response->status == too_many_requests) {
        return weight_refusal{retry_after(*outcome.response)};
    }
    if (!succeeded(outcome)) {
        return error{"weights", describe(outcome)};
    }
    auto const body = body_of(outcome);
    if (!body.is_object() || !body.contains("bytes") ||
        !body["bytes"].is_number_unsigned()) {
        return error{"weights", "the answer has no size"};
    }
    return weight_info{body["bytes"].get<std::uint64_t>()};
}

status read_status(call_outcome const& outcome)
{
    bool const gone =
        outcome.response != nullptr && outcome.response->status == not_found;
    if (succeeded(outcome) || gone) {
        return success();
    }
    return error{"instances", describe(outcome)};
}

std::string instance_path(std::string const& id)
{
    return "/instances/" + http::escape_query_value(id);
}

std::string records_path(std::string const& log)
{
    return "/logs/" + http::escape_query_value(log) + "/records";
}

} // namespace

struct http_platform::implementation
    : std::enable_shared_from_this<implementation>
{
    implementation(asio::io_context& io, backend::http_client& http,
                   http_platform_settings from)
        : context{io}, settings{std::move(from)},
          caller{std::make_shared<platform_caller>(io, http, settings)}
    {}

    template<class Read, class Callback>
    void perform(call_request request, Read const& read, Callback on_done)
    {
        if (request.try_timeout == 0ms) {
            request.try_timeout = settings.try_timeout;
        }
        caller->perform(
            std::move(request),
            [read, on_done = std::move(on_done)](call_outcome const& outcome) {
                on_done(read(outcome));
            });
    }

    void refuse(append_callback on_done, std::string message)
    {
        asio::post(context,
                   [weak = weak_from_this(), on_done = std::move(on_done),
                    message = std::move(message)] {
                       if (auto const self = weak.lock()) {
                           on_done(append_failure{false, message});
                       }
                   });
    }

    void start_appends();
    void start_append(waiting_append next);

    asio::io_context& context;
    http_platform_settings settings;
    std::shared_ptr<platform_caller> caller;
    std::deque<waiting_append> waiting;
    std::size_t in_flight = 0;
    instance_snapshot list; ///< Last one read.
    std::string list_tag;   ///< Its ETag; empty if the platform gives none.
};

void http_platform::implementation::start_appends()
{
    while (!waiting.empty() && in_flight < settings.appends_in_flight) {
        auto next = std::move(waiting.front());
        waiting.pop_front();
        if (monotonic_clock::now() >= *next.request.give_up) {
            refuse(std::move(next.on_done), "time limit passed in the queue");
            continue;
        }
        start_append(std::move(next));
    }
}

void http_platform::implementation::start_append(waiting_append next)
{
    ++in_flight;
    perform(std::move(next.request), read_receipt,
            [weak = weak_from_this(),
             on_done = std::move(next.on_done)](append_outcome outcome) {
                auto const self = weak.lock();
                if (!self) {
                    return;
                }
                --self->in_flight;
                self->start_appends();
                on_done(std::move(outcome));
            });
}

http_platform::http_platform(asio::io_context& context,
                             backend::http_client& http,
                             http_platform_settings settings)
    : parts_{
          std::make_shared<implementation>(context, http, std::move(settings))}
{}

http_platform::~http_platform() = default;

void http_platform::append(std::string const& log, append_request request,
                           std::chrono::milliseconds time_limit,
                           append_callback on_done)
{
    auto body = append_body(std::move(request));
    if (body.size() > largest_append) {
        parts_->refuse(std::move(on_done),
                       std::to_string(body.size()) +
                           " bytes; allowed: up to 1048576");
        return;
    }
    if (parts_->waiting.size() >= parts_->settings.max_waiting_appends) {
        parts_->refuse(std::move(on_done), "too many appends are waiting");
        return;
    }
    parts_->waiting.push_back(
        {.request = {.method = "POST",
                     .path = records_path(log),
                     .body = std::move(body),
                     .give_up = monotonic_clock::now() + time_limit},
         .on_done = std::move(on_done)});
    parts_->start_appends();
}

void http_platform::read(std::string const& log, read_request request,
                         read_callback on_done)
{
    auto const query = "?from=" + std::to_string(request.from) +
                       "&wait_ms=" + std::to_string(request.wait.count()) +
                       "&limit=" + std::to_string(request.limit);
    parts_->perform(
        {.path = records_path(log) + query,
         .try_timeout = parts_->settings.try_timeout + request.wait},
        read_page, std::move(on_done));
}

void http_platform::list_instances(list_callback on_done)
{
    call_request request{.path = "/instances"};
    if (!parts_->list_tag.empty()) {
        request.fields = {{"If-None-Match", parts_->list_tag}};
    }
    // An unchanged list costs a few bytes, whatever its length.
    auto read = [parts = parts_](
                    call_outcome const& outcome) -> result<instance_snapshot> {
        if (outcome.response != nullptr &&
            outcome.response->status == not_modified) {
            return parts->list;
        }
        auto snapshot = read_snapshot(outcome);
        if (!failed(snapshot)) {
            parts->list = value_of(snapshot);
            parts->list_tag = std::string{
                backend::find_field(outcome.response->fields, "ETag")};
        }
        return snapshot;
    };
    parts_->perform(std::move(request), read, std::move(on_done));
}

void http_platform::put_instance(instance const& registered,
                                 std::optional<std::chrono::milliseconds> lease,
                                 change_callback on_done)
{
    auto body = to_json(registered);
    if (lease) {
        body["lease_ms"] = lease->count();
    }
    parts_->perform({.method = "PUT",
                     .path = instance_path(registered.id),
                     .body = body.dump()},
                    read_status, std::move(on_done));
}

void http_platform::remove_instance(std::string const& id,
                                    change_callback on_done)
{
    parts_->perform({.method = "DELETE", .path = instance_path(id)},
                    read_status, std::move(on_done));
}

void http_platform::read_weights(std::string const& model,
                                 std::string const& version,
                                 weight_callback on_done)
{
    parts_->perform({.path = "/weights/" + http::escape_query_value(model) +
                             "?version=" + http::escape_query_value(version)},
                    read_weight_reply, std::move(on_done));
}

std::size_t http_platform::pending_appends() const
{
    return parts_->waiting.size() + parts_->in_flight;
}

} // namespace medlarstall::platform
