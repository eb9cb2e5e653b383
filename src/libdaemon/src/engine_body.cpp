#include "engine_body.hpp"

#include <nlohmann/json.hpp>

#include <string_view>
#include <vector>

namespace medlarstall::daemon {

namespace {

using nlohmann::json;

/// Writes a JSON object as it is parsed, without the members "stream" and
/// "priority" of its top level. Its functions are those that the parser calls;
/// each returns true to go on.
class engine_body_writer : public nlohmann::json_sax<json>
{
public:
    bool null() override { return write("null"); }
    bool boolean(bool value) override
    {
        return write(value ? "true" : "false");
    }
    bool number_integer(number_integer_t value) override
    {
        return write(std::to_string(value));
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        return write(std::to_string(value));
    }
    bool number_float(number_float_t, string_t const& text) override
    {
        return write(text);
    }
    bool string(string_t& value) override { return write(quoted(value)); }
    bool binary(binary_t&) override { return false; }

    bool start_object(std::size_t) override { return start('{'); }
    bool end_object() override { return end('}'); }
    bool start_array(std::size_t) override { return start('['); }
    bool end_array() override { return end(']'); }

    bool key(string_t& name) override
    {
        if (has_items_.size() == 1) {
            skipping_ = name == "stream" || name == "priority";
        }
        if (!skipping_) {
            separate();
            text_ += quoted(name);
            text_ += ':';
            after_key_ = true;
        }
        return true;
    }

    bool parse_error(std::size_t, std::string const&,
                     json::exception const&) override
    {
        return false;
    }

    /// \return what was written
    [[nodiscard]] std::string& text() { return text_; }

private:
    static std::string quoted(string_t const& value)
    {
        return json(value).dump(-1, ' ', false, json::error_handler_t::replace);
    }

    /// Writes a comma unless the next item is the first of its container.
    void separate()
    {
        if (after_key_ || has_items_.empty()) {
            after_key_ = false;
            return;
        }
        if (has_items_.back()) {
            text_ += ',';
        }
        has_items_.back() = true;
    }

    bool write(std::string_view value)
    {
        if (has_items_.empty()) {
            return false; // The document is not an object.
        }
        if (!skipping_) {
            separate();
            text_ += value;
        }
        return true;
    }

    bool start(char bracket)
    {
        if (has_items_.empty() && bracket != '{') {
            return false;
        }
        if (!skipping_) {
            separate();
            text_ += bracket;
        }
        has_items_.push_back(false);
        return true;
    }

    /// Leaves the object of the top level open for the members to be added.
    bool end(char bracket)
    {
        auto const has_items = has_items_.back();
        has_items_.pop_back();
        if (has_items_.empty()) {
            text_ += has_items ? "," : "";
        } else if (!skipping_) {
            text_ += bracket;
        }
        return true;
    }

    std::string text_;
    std::vector<bool> has_items_; ///< Of each open container.
    bool skipping_ = false;       ///< Within a member that is left out.
    bool after_key_ = false;
};

} // namespace

std::string make_engine_body(std::string const& body, unsigned priority)
{
    engine_body_writer writer;
    if (!json::sax_parse(body, &writer)) {
        return body;
    }
    auto& text = writer.text();
    text += R"("stream":true,"priority":)" + std::to_string(priority) + '}';
    return std::move(text);
}

} // namespace medlarstall::daemon
