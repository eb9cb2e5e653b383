#include <medlarstall/support/json_text.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <set>
#include <vector>

namespace medlarstall {

namespace {

using nlohmann::json;
using format = json::input_format_t;

/// Receives the parser's events and refuses deep text and duplicate keys.
class shape_checker
{
public:
    explicit shape_checker(std::size_t depth) : depth_{depth} {}

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
    bool start_object(std::size_t /*size*/) { return open(); }
    bool end_object() { return close(); }
    bool start_array(std::size_t /*size*/) { return open(); }
    bool end_array() { return close(); }

    bool key(std::string& name)
    {
        if (!keys_.back().insert(name).second) {
            failure_ = {"json", "key '" + name.substr(0, 64) +
                                    "' stands twice in one object"};
            return false;
        }
        return true;
    }

    bool parse_error(std::size_t position, std::string const& /*token*/,
                     json::exception const& failure)
    {
        failure_ = {"json", "byte " + std::to_string(position) + ": " +
                                std::string{failure.what()}.substr(0, 200)};
        return false;
    }

    [[nodiscard]] error const& failure() const { return failure_; }

private:
    bool open()
    {
        if (keys_.size() == depth_) {
            failure_ = {"json", "is nested deeper than " +
                                    std::to_string(depth_) + " levels"};
            return false;
        }
        keys_.emplace_back();
        return true;
    }

    bool close()
    {
        keys_.pop_back();
        return true;
    }

    std::size_t depth_;
    std::vector<std::set<std::string>> keys_;
    error failure_;
};

std::optional<error> find_problem(std::string_view text,
                                  json_bounds const& bounds, format encoding)
{
    if (text.size() > bounds.bytes) {
        return error{"json", "has " + std::to_string(text.size()) +
                                 " bytes; must have at most " +
                                 std::to_string(bounds.bytes)};
    }
    shape_checker checker{bounds.depth};
    if (!json::sax_parse(text.begin(), text.end(), &checker, encoding)) {
        return checker.failure();
    }
    return std::nullopt;
}

} // namespace

result<json> parse_json(std::string_view text, json_bounds bounds)
{
    if (auto const problem = find_problem(text, bounds, format::json)) {
        return *problem;
    }
    return json::parse(text);
}

result<json> parse_cbor(std::string_view bytes, json_bounds bounds)
{
    if (auto const problem = find_problem(bytes, bounds, format::cbor)) {
        return *problem;
    }
    return json::from_cbor(bytes.begin(), bytes.end());
}

std::string canonical_text(json const& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace medlarstall
