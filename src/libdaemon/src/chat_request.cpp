#include "chat_request.hpp"

#include <nlohmann/json.hpp>

namespace medlarstall::daemon {

namespace {

using nlohmann::json;

/// Bytes per token in ordinary text, for the estimate of prompt tokens.
constexpr std::size_t bytes_per_token = 4;

api_error invalid_field(std::string const& field, std::string const& message)
{
    return {.status = 400,
            .code = "invalid_request",
            .message = field + ": " + message};
}

/// Parser callback that stops parsing when the document is nested too deeply.
struct depth_limit
{
    std::size_t max_depth = 0;
    bool exceeded = false;

    bool operator()(int depth, json::parse_event_t, json&)
    {
        exceeded = exceeded || static_cast<std::size_t>(depth) > max_depth;
        return !exceeded;
    }
};

/// Appends the text of a message to the prompt.
/// \param content content of the message: a string, null or a list of parts
/// \param prompt receives the text
/// \return false if the content has another type
bool append_content(json const& content, std::string& prompt)
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

std::optional<api_error> parse_messages(json const& document,
                                        std::string& prompt)
{
    auto const found = document.find("messages");
    if (found == document.end() || !found->is_array() || found->empty()) {
        return invalid_field("messages",
                             "must be an array of at least one message");
    }
    std::size_t index = 0;
    for (auto const& message : *found) {
        auto const path = "messages[" + std::to_string(index++) + "]";
        if (!message.is_object() || !message.contains("role") ||
            !message["role"].is_string()) {
            return invalid_field(path,
                                 "must be an object with a string \"role\"");
        }
        if (!prompt.empty()) {
            prompt += '\n';
        }
        if (message.contains("content") &&
            !append_content(message["content"], prompt)) {
            return invalid_field(path + ".content",
                                 "must be a string or a list of parts");
        }
    }
    return std::nullopt;
}

std::optional<api_error> parse_options(json const& document,
                                       chat_request& request)
{
    auto const stream = document.find("stream");
    if (stream != document.end() && !stream->is_null()) {
        if (!stream->is_boolean()) {
            return invalid_field("stream", "must be true or false");
        }
        request.stream = stream->get<bool>();
    }
    for (auto const* name : {"max_tokens", "max_completion_tokens"}) {
        auto const found = document.find(name);
        if (found == document.end() || found->is_null()) {
            continue;
        }
        constexpr std::uint64_t max_value = 10'000'000;
        if (!found->is_number_unsigned() || *found == 0 || *found > max_value) {
            return invalid_field(
                name, found->dump() + "; must be a whole number from 1 to " +
                          std::to_string(max_value));
        }
        request.max_tokens = found->get<std::uint32_t>();
    }
    auto const choices = document.find("n");
    if (choices != document.end() && !choices->is_null() && *choices != 1) {
        return invalid_field("n", choices->dump() + "; must be 1");
    }
    return std::nullopt;
}

} // namespace

std::variant<chat_request, api_error>
chat_request_parser::parse(std::string const& body) const
{
    depth_limit limit{.max_depth = max_depth_};
    auto const document =
        json::parse(body, std::ref(limit), /*allow_exceptions=*/false);
    if (limit.exceeded) {
        return invalid_field("body", "is nested deeper than " +
                                         std::to_string(max_depth_));
    }
    if (!document.is_object()) {
        return invalid_field("body", "must be a JSON object");
    }
    chat_request request;
    auto const model = document.find("model");
    if (model == document.end() || !model->is_string() ||
        model->get_ref<std::string const&>().empty()) {
        return invalid_field("model", "must be the name of a model");
    }
    request.model = *model;
    std::string prompt;
    if (auto problem = parse_messages(document, prompt)) {
        return *std::move(problem);
    }
    if (auto problem = parse_options(document, request)) {
        return *std::move(problem);
    }
    request.prompt_bytes = prompt.size();
    request.prompt_tokens = static_cast<std::uint32_t>(
        (prompt.size() + bytes_per_token - 1) / bytes_per_token);
    request.prefixes = routing::hash_prefixes(prompt);
    return request;
}

} // namespace medlarstall::daemon
