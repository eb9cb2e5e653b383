#include "chat_response_writer.hpp"

#include <nlohmann/json.hpp>

namespace medlarstall::daemon {

namespace {

using nlohmann::json;

std::string to_json_text(std::string_view text)
{
    return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

json usage_json(work_finished const& event)
{
    return {
        {"prompt_tokens", event.prompt_tokens},
        {"completion_tokens", event.completion_tokens},
        {"total_tokens", event.prompt_tokens + event.completion_tokens},
        {"prompt_tokens_details", {{"cached_tokens", event.cached_tokens}}}};
}

} // namespace

chat_response_writer::chat_response_writer(std::string id,
                                           std::string const& model,
                                           std::int64_t created)
    : id_{std::move(id)}, model_json_{to_json_text(model)}, created_{created}
{
    chunk_prefix_ = R"({"id":)" + to_json_text(id_) +
                    R"(,"object":"chat.completion.chunk","created":)" +
                    std::to_string(created_) + R"(,"model":)" + model_json_;
}

std::string chat_response_writer::chunk(std::string_view text) const
{
    return "data: " + chunk_prefix_ +
           R"(,"choices":[{"index":0,"delta":{"content":)" +
           to_json_text(text) + R"(},"finish_reason":null}]})" + "\n\n";
}

std::string chat_response_writer::last_chunk(work_finished const& event) const
{
    return "data: " + chunk_prefix_ +
           R"(,"choices":[{"index":0,"delta":{},"finish_reason":)" +
           to_json_text(event.finish_reason) + R"(}],"usage":)" +
           usage_json(event).dump() + "}\n\ndata: [DONE]\n\n";
}

std::string chat_response_writer::error_chunk(api_error const& problem) const
{
    return "event: error\ndata: " +
           error_body(problem).dump(-1, ' ', false,
                                    json::error_handler_t::replace) +
           "\n\n";
}

std::string
chat_response_writer::full_response(std::string_view text,
                                    work_finished const& event) const
{
    return R"({"id":)" + to_json_text(id_) +
           R"(,"object":"chat.completion","created":)" +
           std::to_string(created_) + R"(,"model":)" + model_json_ +
           R"(,"choices":[{"index":0,"message":{"role":"assistant","content":)" +
           to_json_text(text) + R"(},"finish_reason":)" +
           to_json_text(event.finish_reason) + R"(}],"usage":)" +
           usage_json(event).dump() + "}\n";
}

} // namespace medlarstall::daemon
