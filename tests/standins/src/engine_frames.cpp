#include "engine_frames.hpp"

#include <nlohmann/json.hpp>

namespace medlarstall::standins {

namespace {

char const* finish_reason(engine_stream const& stream)
{
    return stream.plan.limited ? "length" : "stop";
}

std::string usage_of(engine_stream const& stream)
{
    return R"({"prompt_tokens":)" + std::to_string(stream.prompt_tokens) +
           R"(,"completion_tokens":)" + std::to_string(stream.made) +
           R"(,"cached_tokens":)" + std::to_string(stream.cached_tokens) + "}";
}

} // namespace

void append_token_frame(std::string& out, std::string const& attempt,
                        answer_plan const& plan, std::uint64_t index)
{
    out += R"(data: {"id":")";
    out += attempt;
    out += R"(","token_index":)";
    out += std::to_string(index);
    out += R"(,"choices":[{"index":0,"delta":{"content":")";
    out += token_text(plan, index);
    out += R"("},"finish_reason":null}]})";
    out += "\n\n";
}

void append_finish_frames(std::string& out, engine_stream const& stream)
{
    out += R"(data: {"id":")";
    out += stream.attempt;
    out += R"(","token_index":)";
    out += std::to_string(stream.made);
    out += R"(,"choices":[{"index":0,"delta":{},"finish_reason":")";
    out += finish_reason(stream);
    out += R"("}],"usage":)";
    out += usage_of(stream);
    out += "}\n\ndata: [DONE]\n\n";
}

std::string whole_answer(engine_stream const& stream)
{
    std::string content;
    for (std::uint64_t index = 0; index < stream.made; ++index) {
        content += token_text(stream.plan, index);
    }
    nlohmann::json const answer{
        {"id", stream.attempt},
        {"object", "chat.completion"},
        {"choices",
         {{{"index", 0},
           {"message", {{"role", "assistant"}, {"content", content}}},
           {"finish_reason", finish_reason(stream)}}}},
        {"usage", nlohmann::json::parse(usage_of(stream))}};
    return answer.dump();
}

} // namespace medlarstall::standins
