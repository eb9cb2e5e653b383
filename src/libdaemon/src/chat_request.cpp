#include "chat_request.hpp"

#include <nlohmann/json.hpp>

namespace medlarstall::daemon {

namespace {

using nlohmann::json;

/// Bytes of ordinary text to a token.
constexpr std::size_t bytes_per_token = 4;

api_error bad_field(std::string const& field, std::string const& message)
{
    return {.status = 400,
            .code = "invalid_request",
            .message = field + ": " + message};
}

/// Bounds the nesting of a document while it is parsed.
struct depth_limit
{
    std::size_t most = 0;
    bool exceeded = false;

    bool operator()(int depth, json::parse_event_t, json&)
    {
        exceeded = exceeded || static_cast<std::size_t>(depth) > most;
        return !exceeded;
    }
};

/// Adds the text of a message's content, which is a text or a list of parts.
bool add_content(json const& content, std::string& prompt)
{
    if (content.is_string()) {
        prompt += content.get_ref<std::string const&>();
        return true;
    }
    if (content.is_null()) {
        return true;
    }
    if (!content.is_array()) {
        return false;
    }
    for (auto const& part : content) {
        if (part.is_object() && part.contains("text") &&
            part["text"].is_string()) {
            prompt += part["text"].get_ref<std::string const&>();
        }
    }
    return true;
}

std::optional<api_error> read_messages(json const& document,
                                       std::string& prompt)
{
    auto const found = document.find("messages");
    if (found == document.end() || !found->is_array() || found->empty()) {
        return bad_field("messages", "must be a list of at least one message");
    }
    std::size_t index = 0;
    for (auto const& entry : *found) {
        auto const path = "messages[" + std::to_string(index++) + "]";
        if (!entry.is_object() || !entry.contains("role") ||
            !entry["role"].is_string()) {
            return bad_field(path, "must be an object with a text \"role\"");
        }
        if (!prompt.empty()) {
            prompt += '\n';
        }
        if (entry.contains("content") &&
            !add_content(entry["content"], prompt)) {
            return bad_field(path + ".content",
                             "must be a text or a list of parts");
        }
    }
    return std::nullopt;
}

std::optional<api_error> read_limits(json const& document,
                                     chat_request& request)
{
    auto const stream = document.find("stream");
    if (stream != document.end() && !stream->is_null()) {
        if (!stream->is_boolean()) {
            return bad_field("stream", "must be true or false");
        }
        request.stream = stream->get<bool>();
    }
    for (auto const* name : {"max_tokens", "max_completion_tokens"}) {
        auto const found = document.find(name);
        if (found == document.end() || found->is_null()) {
            continue;
        }
        constexpr std::uint64_t most = 10'000'000;
        if (!found->is_number_unsigned() || *found == 0 || *found > most) {
            return bad_field(name, found->dump() +
                                       "; must be a whole number from 1 to " +
                                       std::to_string(most));
        }
        request.max_tokens = found->get<std::uint32_t>();
    }
    auto const choices = document.find("n");
    if (choices != document.end() && !choices->is_null() && *choices != 1) {
        return bad_field("n", choices->dump() + "; must be 1");
    }
    return std::nullopt;
}

} // namespace

std::variant<chat_request, api_error>
chat_request_reader::read(std::string const& body) const
{
    depth_limit limit{.most = max_depth_};
    auto const document =
        json::parse(body, std::ref(limit), /*allow_exceptions=*/false);
    if (limit.exceeded) {
        return bad_field("body",
                         "is nested deeper than " + std::to_string(max_depth_));
    }
    if (!document.is_object()) {
        return bad_field("body", "must be a JSON object");
    }
    chat_request request;
    auto const model = document.find("model");
    if (model == document.end() || !model->is_string() ||
        model->get_ref<std::string const&>().empty()) {
        return bad_field("model", "must be the name of a model");
    }
    request.model = *model;
    std::string prompt;
    if (auto problem = read_messages(document, prompt)) {
        return *std::move(problem);
    }
    if (auto problem = read_limits(document, request)) {
        return *std::move(problem);
    }
    request.prompt_bytes = prompt.size();
    request.prompt_tokens = static_cast<std::uint32_t>(
        (prompt.size() + bytes_per_token - 1) / bytes_per_token);
    request.prefixes = routing::hash_prefixes(prompt);
    return request;
}

} // namespace medlarstall::daemon
