#include "chat_writer.hpp"

#include <nlohmann/json.hpp>

namespace medlarstall::daemon {

namespace {

using nlohmann::json;

std::string json_text(std::string_view text)
{
    return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

json usage(work_finished const& end)
{
    return {{"prompt_tokens", end.prompt_tokens},
            {"completion_tokens", end.completion_tokens},
            {"total_tokens", end.prompt_tokens + end.completion_tokens},
            {"prompt_tokens_details", {{"cached_tokens", end.cached_tokens}}}};
}

} // namespace

chat_writer::chat_writer(std::string id, std::string const& model,
                         std::int64_t created)
    : id_{std::move(id)}, model_json_{json_text(model)}, created_{created}
{
    head_ = R"({"id":)" + json_text(id_) +
            R"(,"object":"chat.completion.chunk","created":)" +
            std::to_string(created_) + R"(,"model":)" + model_json_;
}

std::string chat_writer::chunk(std::string_view text) const
{
    return "data: " + head_ + R"(,"choices":[{"index":0,"delta":{"content":)" +
           json_text(text) + R"(},"finish_reason":null}]})" + "\n\n";
}

std::string chat_writer::last_chunk(work_finished const& end) const
{
    return "data: " + head_ +
           R"(,"choices":[{"index":0,"delta":{},"finish_reason":)" +
           json_text(end.finish_reason) + R"(}],"usage":)" + usage(end).dump() +
           "}\n\ndata: [DONE]\n\n";
}

std::string chat_writer::error_chunk(api_error const& problem) const
{
    return "event: error\ndata: " +
           error_body(problem).dump(-1, ' ', false,
                                    json::error_handler_t::replace) +
           "\n\n";
}

std::string chat_writer::whole(std::string_view text,
                               work_finished const& end) const
{
    return R"({"id":)" + json_text(id_) +
           R"(,"object":"chat.completion","created":)" +
           std::to_string(created_) + R"(,"model":)" + model_json_ +
           R"(,"choices":[{"index":0,"message":{"role":"assistant","content":)" +
           json_text(text) + R"(},"finish_reason":)" +
           json_text(end.finish_reason) + R"(}],"usage":)" + usage(end).dump() +
           "}\n";
}

} // namespace medlarstall::daemon
