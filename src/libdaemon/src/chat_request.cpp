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

/// Parser callback that reads the messages of a request as they are parsed and
/// keeps no value of them, since small values take many times their text in
/// memory. Depths are those of the parser: 0 for the document, 2 for a message
/// and 4 for a part of its content.
class message_reader
{
public:
    /// \param max_depth deepest nesting of JSON values that is accepted
    explicit message_reader(std::size_t max_depth) : max_depth_{max_depth} {}

    /// Called by the parser.
    /// \return true to keep the value
    bool operator()(int depth, json::parse_event_t event, json& value)
    {
        depth_exceeded_ =
            depth_exceeded_ || static_cast<std::size_t>(depth) > max_depth_;
        if (depth_exceeded_) {
            return false;
        }
        if (event == json::parse_event_t::key) {
            read_key(depth, value);
            return true;
        }
        if (depth == 0 || (depth == 1 && top_key_ != "messages")) {
            return keep_option(depth, event);
        }
        return read_within_messages(depth, event, value);
    }

    /// \return true if the document is nested too deeply
    [[nodiscard]] bool depth_exceeded() const { return depth_exceeded_; }

    /// \return the first error in the messages, if any
    [[nodiscard]] std::optional<api_error> error() const
    {
        if (!problem_ && message_count_ == 0) {
            return invalid_field("messages",
                                 "must be an array of at least one message");
        }
        return problem_;
    }

    /// \return the texts of all messages, joined with line feeds
    [[nodiscard]] std::string const& prompt() const { return prompt_; }

private:
    using event_type = json::parse_event_t;

    static constexpr int message_depth = 2;
    static constexpr int member_depth = 3;
    static constexpr int part_depth = 4;
    static constexpr int part_member_depth = 5;

    static bool is_start(event_type event)
    {
        return event == event_type::object_start ||
               event == event_type::array_start;
    }

    void read_key(int depth, json const& key)
    {
        if (depth == 1) {
            top_key_ = key.get_ref<std::string const&>();
        } else if (depth == member_depth) {
            member_key_ = key.get_ref<std::string const&>();
        } else if (depth == part_member_depth) {
            part_key_ = key.get_ref<std::string const&>();
        }
    }

    /// Of the other members, only plain values are of interest.
    bool keep_option(int depth, event_type event)
    {
        if (depth == 0 || !is_start(event)) {
            return true;
        }
        if (top_key_ == "stream" || top_key_ == "n" ||
            top_key_ == "max_tokens" || top_key_ == "max_completion_tokens") {
            report(top_key_, "must be a plain value");
        }
        return false;
    }

    bool read_within_messages(int depth, event_type event, json const& value)
    {
        switch (depth) {
        case 1:
            return event == event_type::array_start ||
                   event == event_type::array_end;
        case message_depth:
            return read_message(event);
        case member_depth:
            return read_member(event, value);
        case part_depth:
            return read_part(event);
        case part_member_depth:
            if (event == event_type::value && part_key_ == "text" &&
                value.is_string()) {
                text_ += value.get_ref<std::string const&>();
            }
            return false;
        default:
            return false;
        }
    }

    bool read_message(event_type event)
    {
        if (event == event_type::object_start) {
            text_.clear();
            has_role_ = false;
            content_is_valid_ = true;
            return true;
        }
        auto const path = "messages[" + std::to_string(message_count_++) + "]";
        if (event != event_type::object_end || !has_role_) {
            report(path, "must be an object with a string \"role\"");
        } else if (!content_is_valid_) {
            report(path + ".content", "must be a string or a list of parts");
        }
        if (!prompt_.empty()) {
            prompt_ += '\n';
        }
        prompt_ += text_;
        return false;
    }

    bool read_member(event_type event, json const& value)
    {
        if (member_key_ == "role") {
            has_role_ = event == event_type::value && value.is_string();
            return false;
        }
        if (member_key_ != "content") {
            return false;
        }
        if (event == event_type::value && value.is_string()) {
            text_ += value.get_ref<std::string const&>();
        } else if (event == event_type::object_start ||
                   (event == event_type::value && !value.is_null())) {
            content_is_valid_ = false;
        }
        return event == event_type::array_start;
    }

    /// \return true for an object, of which a text may be read
    bool read_part(event_type event) const
    {
        return member_key_ == "content" && event == event_type::object_start;
    }

    void report(std::string const& field, std::string const& message)
    {
        if (!problem_) {
            problem_ = invalid_field(field, message);
        }
    }

    std::size_t max_depth_;
    bool depth_exceeded_ = false;
    std::string top_key_;
    std::string member_key_; ///< Of the current message.
    std::string part_key_;   ///< Of the current part of its content.
    std::string text_;       ///< Of the current message.
    bool has_role_ = false;
    bool content_is_valid_ = true;
    std::size_t message_count_ = 0;
    std::string prompt_;
    std::optional<api_error> problem_;
};

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
    message_reader messages{max_depth_};
    auto const document =
        json::parse(body, std::ref(messages), /*allow_exceptions=*/false);
    if (messages.depth_exceeded()) {
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
    if (auto problem = messages.error()) {
        return *std::move(problem);
    }
    if (auto problem = parse_options(document, request)) {
        return *std::move(problem);
    }
    auto const& prompt = messages.prompt();
    request.prompt_bytes = prompt.size();
    request.prompt_tokens = static_cast<std::uint32_t>(
        (prompt.size() + bytes_per_token - 1) / bytes_per_token);
    request.prefixes = routing::hash_prefixes(prompt);
    return request;
}

} // namespace medlarstall::daemon
