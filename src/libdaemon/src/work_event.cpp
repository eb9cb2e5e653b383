#include "work_event.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace medlarstall::daemon {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

json to_binary(std::string const& bytes)
{
    return json::binary_t{{bytes.begin(), bytes.end()}};
}

std::string to_string(json const& binary)
{
    auto const& bytes = binary.get_binary();
    return {bytes.begin(), bytes.end()};
}

struct event_writer
{
    json operator()(work_dispatched const& event) const
    {
        return {{"event", "dispatched"},
                {"backend_server", event.backend_server},
                {"address", event.address},
                {"port", event.port},
                {"waited_ms", event.queue_wait.count()}};
    }
    json operator()(work_response_head const& event) const
    {
        return {{"event", "head"},
                {"status", event.status},
                {"fields", event.fields}};
    }
    json operator()(work_tokens const& event) const
    {
        return {{"event", "tokens"},
                {"first", event.first_index},
                {"count", event.token_count},
                {"text", event.text}};
    }
    json operator()(work_response_data const& event) const
    {
        return {{"event", "data"}, {"bytes", to_binary(event.bytes)}};
    }
    json operator()(work_finished const& event) const
    {
        return {{"event", "finished"},
                {"reason", event.finish_reason},
                {"prompt_tokens", event.prompt_tokens},
                {"completion_tokens", event.completion_tokens},
                {"cached_tokens", event.cached_tokens}};
    }
    json operator()(work_refused const& event) const
    {
        return {{"event", "refused"},
                {"code", event.code},
                {"message", event.message},
                {"retry_after_ms", event.retry_after.count()},
                {"elsewhere", event.retry_elsewhere}};
    }
    json operator()(work_failed const& event) const
    {
        return {{"event", "failed"},
                {"code", event.code},
                {"message", event.message},
                {"crashed", event.may_have_crashed},
                {"executed", event.executed}};
    }
};

work_event parse_known_event(std::string const& kind, json const& object)
{
    if (kind == "dispatched") {
        return work_dispatched{
            object.at("backend_server"), object.at("address"),
            object.at("port"),
            milliseconds{object.at("waited_ms").get<std::int64_t>()}};
    }
    if (kind == "head") {
        work_response_head head{object.at("status"), {}};
        object.at("fields").get_to(head.fields);
        return head;
    }
    if (kind == "tokens") {
        return work_tokens{object.at("first"), object.at("count"),
                           object.at("text")};
    }
    if (kind == "data") {
        return work_response_data{to_string(object.at("bytes"))};
    }
    if (kind == "finished") {
        return work_finished{object.at("reason"), object.at("prompt_tokens"),
                             object.at("completion_tokens"),
                             object.at("cached_tokens")};
    }
    if (kind == "refused") {
        return work_refused{
            object.at("code"), object.at("message"),
            milliseconds{object.at("retry_after_ms").get<std::int64_t>()},
            object.at("elsewhere")};
    }
    return work_failed{object.at("code"), object.at("message"),
                       object.at("crashed"), object.at("executed")};
}

} // namespace

bool is_last(work_event const& event)
{
    return std::holds_alternative<work_finished>(event) ||
           std::holds_alternative<work_refused>(event) ||
           std::holds_alternative<work_failed>(event);
}

json to_json(work_event const& event)
{
    return std::visit(event_writer{}, event);
}

result<work_event> parse_work_event(json const& object)
{
    try {
        std::string const kind = object.at("event");
        constexpr std::array known{"dispatched", "head",    "tokens", "data",
                                   "finished",   "refused", "failed"};
        if (std::ranges::find(known, kind) == known.end()) {
            return error{"event", "\"" + kind + "\" is not known"};
        }
        return parse_known_event(kind, object);
    } catch (json::exception const& failure) {
        return error{"event", failure.what()};
    }
}

} // namespace medlarstall::daemon
