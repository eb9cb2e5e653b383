#include <medlarstall/backend/token_event.hpp>

#include <nlohmann/json.hpp>

namespace medlarstall::backend {

namespace {

using nlohmann::json;

/// Stores the members of an event as the JSON parser finds them, without
/// building a document.
class event_sax_handler : public nlohmann::json_sax<json>
{
public:
    explicit event_sax_handler(token_event& event) : event_{event} {}

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t value) override
    {
        return value >= 0 && set_number(static_cast<std::uint64_t>(value));
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        return set_number(value);
    }
    bool number_float(number_float_t, string_t const&) override { return true; }
    bool string(string_t& value) override
    {
        if (key_ == "id" && depth_ == 1) {
            event_.attempt.swap(value);
        } else if (key_ == "content") {
            event_.content.swap(value);
        } else if (key_ == "finish_reason") {
            event_.finish_reason.swap(value);
        }
        return true;
    }
    bool binary(binary_t&) override { return false; }
    bool start_object(std::size_t) override { return begin_nested(); }
    bool end_object() override { return end_nested(); }
    bool start_array(std::size_t) override { return begin_nested(); }
    bool end_array() override { return end_nested(); }
    bool key(string_t& name) override
    {
        key_.swap(name);
        return true;
    }
    bool parse_error(std::size_t, std::string const&,
                     nlohmann::detail::exception const&) override
    {
        return false;
    }

    [[nodiscard]] bool has_index() const { return has_index_; }

private:
    static constexpr int max_depth = 8;

    bool begin_nested() { return ++depth_ <= max_depth; }
    bool end_nested()
    {
        --depth_;
        return true;
    }

    bool set_number(std::uint64_t value)
    {
        if (key_ == "token_index") {
            event_.token_index = value;
            has_index_ = true;
        } else if (key_ == "prompt_tokens") {
            event_.usage.prompt_tokens = static_cast<std::uint32_t>(value);
        } else if (key_ == "completion_tokens") {
            event_.usage.completion_tokens = static_cast<std::uint32_t>(value);
        } else if (key_ == "cached_tokens") {
            event_.usage.cached_tokens = static_cast<std::uint32_t>(value);
        }
        return true;
    }

    token_event& event_;
    std::string key_;
    int depth_ = 0;
    bool has_index_ = false;
};

} // namespace

status token_event_parser::parse(std::string_view text,
                                 token_event& event) const
{
    event.attempt.clear();
    event.content.clear();
    event.finish_reason.clear();
    event.usage = {};
    event_sax_handler handler{event};
    if (!json::sax_parse(text.begin(), text.end(), &handler)) {
        return error{"token event", "is not valid JSON"};
    }
    if (!handler.has_index() || event.attempt.empty()) {
        return error{"token event", "lacks id or token_index"};
    }
    return success();
}

} // namespace medlarstall::backend
