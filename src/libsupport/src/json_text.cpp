#include <medlarstall/support/json_text.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <set>
#include <vector>

namespace medlarstall {

namespace {

using nlohmann::json;
using format = json::input_format_t;

/// Receives the events of the parser and rejects input that is nested too
/// deeply, duplicate keys in one object, and malformed input.
class structure_validator
{
public:
    explicit structure_validator(std::size_t depth) : max_depth_{depth} {}

    bool null() { return true; }
    bool boolean(bool /*value*/) { return true; }
    bool number_integer(json::number_integer_t /*value*/) { return true; }
    bool number_unsigned(json::number_unsigned_t /*value*/) { return true; }
    bool number_float(json::number_float_t /*value*/, std::string const& /*s*/)
    {
        return true;
    }
    bool string(std::string& /*value*/) { return true; }
    bool binary(json::binary_t& /*value*/) { return true; }
    bool start_object(std::size_t /*size*/) { return enter_container(); }
    bool end_object() { return leave_container(); }
    bool start_array(std::size_t /*size*/) { return enter_container(); }
    bool end_array() { return leave_container(); }

    bool key(std::string& name)
    {
        if (!container_keys_.back().insert(name).second) {
            error_ = {"json", "key '" + name.substr(0, 64) +
                                  "' stands twice in one object"};
            return false;
        }
        return true;
    }

    bool parse_error(std::size_t position, std::string const& /*token*/,
                     json::exception const& exception)
    {
        error_ = {"json", "byte " + std::to_string(position) + ": " +
                              std::string{exception.what()}.substr(0, 200)};
        return false;
    }

    [[nodiscard]] error const& reason() const { return error_; }

private:
    bool enter_container()
    {
        if (container_keys_.size() == max_depth_) {
            error_ = {"json", "is nested deeper than " +
                                  std::to_string(max_depth_) + " levels"};
            return false;
        }
        container_keys_.emplace_back();
        return true;
    }

    bool leave_container()
    {
        container_keys_.pop_back();
        return true;
    }

    std::size_t max_depth_;
    std::vector<std::set<std::string>> container_keys_;
    error error_;
};

/// Checks input against the limits and the strict rules without building a
/// value.
/// \return the first error, or std::nullopt if the input is valid
std::optional<error> find_error(std::string_view text,
                                json_limits const& limits, format encoding)
{
    if (text.size() > limits.max_bytes) {
        return error{"json", "has " + std::to_string(text.size()) +
                                 " bytes; must have at most " +
                                 std::to_string(limits.max_bytes)};
    }
    structure_validator validator{limits.max_depth};
    if (!json::sax_parse(text.begin(), text.end(), &validator, encoding)) {
        return validator.reason();
    }
    return std::nullopt;
}

} // namespace

result<json> parse_json(std::string_view text, json_limits limits)
{
    if (auto const invalid = find_error(text, limits, format::json)) {
        return *invalid;
    }
    return json::parse(text);
}

result<json> parse_cbor(std::string_view bytes, json_limits limits)
{
    if (auto const invalid = find_error(bytes, limits, format::cbor)) {
        return *invalid;
    }
    return json::from_cbor(bytes.begin(), bytes.end());
}

std::string canonical_json(json const& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace medlarstall
