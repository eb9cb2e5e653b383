#include "work_order.hpp"

#include <nlohmann/json.hpp>

namespace medlarstall::daemon {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

milliseconds milliseconds_between(time_point start, time_point end)
{
    return std::chrono::duration_cast<milliseconds>(end - start);
}

json request_to_json(scheduling::request const& request, time_point now)
{
    return {
        {"organisation", request.organisation},
        {"class", request.service_class},
        {"tier", request.tier},
        {"group", request.group},
        {"model", request.model},
        {"preferred", request.preferred_backend_server},
        {"prompt_tokens", request.prompt_tokens},
        {"expected_output_tokens", request.expected_output_tokens},
        {"waited_ms", milliseconds_between(request.arrived, now).count()},
        {"deadline_ms", milliseconds_between(now, request.deadline).count()},
        {"first_token_ms", request.targets.first_token.count()},
        {"between_tokens_ms", request.targets.between_tokens.count()},
        {"repeatable", request.repeatable},
        {"resumable", request.resumable},
        {"isolated", request.isolated}};
}

scheduling::request request_from_json(json const& object, time_point now)
{
    scheduling::request request;
    request.organisation = object.at("organisation");
    request.service_class = object.at("class");
    request.tier = object.at("tier");
    request.group = object.at("group");
    request.model = object.at("model");
    request.preferred_backend_server = object.at("preferred");
    request.prompt_tokens = object.at("prompt_tokens");
    request.expected_output_tokens = object.at("expected_output_tokens");
    request.arrived =
        now - milliseconds{object.at("waited_ms").get<std::int64_t>()};
    request.deadline =
        now + milliseconds{object.at("deadline_ms").get<std::int64_t>()};
    request.targets.first_token =
        milliseconds{object.at("first_token_ms").get<std::int64_t>()};
    request.targets.between_tokens =
        milliseconds{object.at("between_tokens_ms").get<std::int64_t>()};
    request.repeatable = object.at("repeatable");
    request.resumable = object.at("resumable");
    request.isolated = object.at("isolated");
    return request;
}

} // namespace

json to_json(work_order const& order, time_point now)
{
    return {{"attempt", order.attempt_id},
            {"engine", order.group_kind == catalogue::group_kind::engine},
            {"request", request_to_json(order.request, now)},
            {"method", order.method},
            {"target", order.target},
            {"fields", order.fields},
            {"body", json::binary_t{{order.body.begin(), order.body.end()}}},
            {"fingerprint", order.fingerprint}};
}

result<work_order> parse_work_order(json const& object, time_point now)
{
    try {
        work_order order;
        order.attempt_id = object.at("attempt");
        order.group_kind = object.at("engine").get<bool>()
                               ? catalogue::group_kind::engine
                               : catalogue::group_kind::service;
        order.request = request_from_json(object.at("request"), now);
        order.method = object.at("method");
        order.target = object.at("target");
        object.at("fields").get_to(order.fields);
        auto const& body = object.at("body").get_binary();
        order.body.assign(body.begin(), body.end());
        order.fingerprint = object.at("fingerprint");
        return order;
    } catch (json::exception const& failure) {
        return error{"work order", failure.what()};
    }
}

} // namespace medlarstall::daemon
