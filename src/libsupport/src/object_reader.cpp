#include <medlarstall/support/object_reader.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall {

namespace {

using nlohmann::json;

constexpr std::size_t max_excerpt_bytes = 60;

/// Serializes a rejected value for an error message.
/// \return JSON text in ASCII, truncated to max_excerpt_bytes
std::string excerpt(json const& value)
{
    auto text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > max_excerpt_bytes) {
        text.resize(max_excerpt_bytes);
        text += "...";
    }
    return text;
}

std::string excerpt(double value)
{
    return json(value).dump();
}

bool is_letter_or_digit(char character)
{
    return (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9');
}

bool consists_of(std::string_view text, std::string_view punctuation)
{
    return std::ranges::all_of(text, [punctuation](char character) {
        return is_letter_or_digit(character) ||
               punctuation.find(character) != std::string_view::npos;
    });
}

bool is_sha256_hex(std::string_view text)
{
    return text.size() == 64 && std::ranges::all_of(text, [](char character) {
               return (character >= '0' && character <= '9') ||
                      (character >= 'a' && character <= 'f');
           });
}

/// Reads a whole number from 0.
/// \return the number, or std::nullopt if the value is not such a number
std::optional<std::uint64_t> to_unsigned(json const& value)
{
    bool const whole =
        value.is_number_unsigned() ||
        (value.is_number_integer() && value.get<std::int64_t>() >= 0);
    return whole ? std::optional{value.get<std::uint64_t>()} : std::nullopt;
}

bool has_length(std::string_view text, std::size_t min, std::size_t max)
{
    return text.size() >= min && text.size() <= max;
}

} // namespace

char const* format_violation(std::string_view text, text_format format)
{
    switch (format) {
    case text_format::name:
        return has_length(text, 1, 128) && consists_of(text, "._:/-")
                   ? nullptr
                   : "must be 1 to 128 of letters, digits and ._:/-";
    case text_format::path_segment:
        return has_length(text, 1, 64) && consists_of(text, "._-")
                   ? nullptr
                   : "must be 1 to 64 of letters, digits and ._-";
    case text_format::free_text:
        return has_length(text, 0, 256) ? nullptr
                                        : "must have at most 256 characters";
    case text_format::sha256_hex:
        return is_sha256_hex(text) ? nullptr
                                   : "must be 64 lower-case hexadecimal digits";
    }
    return "has an unknown form";
}

object_reader::object_reader(json const& object, std::string path,
                             std::optional<error>& first_error)
    : object_{object}, path_{std::move(path)}, first_error_{first_error},
      is_object_{object.is_object()}
{
    if (!is_object_) {
        record_error(path_, excerpt(object) + "; must be an object");
    }
}

void object_reader::require(std::string_view key)
{
    if (is_object_ && !object_.contains(key)) {
        record_error(path_of(key), "is missing");
    }
}

void object_reader::read(std::string_view key, std::string& target,
                         text_format format)
{
    auto const* value = find_field(key);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string()) {
        reject(key, *value, "must be a string");
        return;
    }
    auto const& text = value->get_ref<std::string const&>();
    if (auto const* allowed = format_violation(text, format)) {
        reject(key, *value, allowed);
        return;
    }
    target = text;
}

void object_reader::read(std::string_view key, bool& target)
{
    auto const* value = find_field(key);
    if (value == nullptr) {
        return;
    }
    if (!value->is_boolean()) {
        reject(key, *value, "must be true or false");
        return;
    }
    target = value->get<bool>();
}

void object_reader::read(std::string_view key, double& target,
                         range<double> allowed)
{
    auto const* value = find_field(key);
    if (value == nullptr) {
        return;
    }
    auto const number = value->is_number() ? value->get<double>() : 0.0;
    if (!value->is_number() || !(number >= allowed.min) ||
        !(number <= allowed.max)) {
        reject(key, *value,
               "must be a number from " + excerpt(allowed.min) + " to " +
                   excerpt(allowed.max));
        return;
    }
    target = number;
}

void object_reader::read(std::string_view key, unsigned& target,
                         range<unsigned> allowed)
{
    auto const* value = find_field(key);
    if (value == nullptr) {
        return;
    }
    auto const number = to_unsigned(*value);
    bool const in_range =
        number && *number >= allowed.min && *number <= allowed.max;
    if (!in_range) {
        reject(key, *value,
               "must be a whole number from " + std::to_string(allowed.min) +
                   " to " + std::to_string(allowed.max));
        return;
    }
    target = static_cast<unsigned>(*number);
}

void object_reader::read(std::string_view key, std::uint64_t& target)
{
    auto const* value = find_field(key);
    if (value == nullptr) {
        return;
    }
    auto const number = to_unsigned(*value);
    if (!number) {
        reject(key, *value, "must be a whole number from 0");
        return;
    }
    target = *number;
}

void object_reader::read(std::string_view key,
                         std::chrono::milliseconds& target,
                         range<std::chrono::milliseconds> allowed)
{
    auto value = static_cast<unsigned>(target.count());
    read(key, value,
         range<unsigned>{static_cast<unsigned>(allowed.min.count()),
                         static_cast<unsigned>(allowed.max.count())});
    target = std::chrono::milliseconds{value};
}

void object_reader::read(std::string_view key, std::vector<std::string>& target,
                         text_format format, std::size_t max)
{
    if (find_field(key) == nullptr) {
        return;
    }
    std::set<std::string> seen;
    target.clear();
    for_each_item(key, max, [&](json const& item, std::string const& path) {
        if (!item.is_string()) {
            record_error(path, excerpt(item) + "; must be a string");
            return;
        }
        auto const& text = item.get_ref<std::string const&>();
        if (auto const* allowed = format_violation(text, format)) {
            record_error(path, excerpt(item) + "; " + allowed);
            return;
        }
        if (!seen.insert(text).second) {
            record_error(path, excerpt(item) + "; must not appear twice");
            return;
        }
        target.push_back(text);
    });
}

json const* object_reader::find_field(std::string_view key)
{
    if (!is_object_) {
        return nullptr;
    }
    known_keys_.emplace(key);
    auto const found = object_.find(key);
    return found == object_.end() ? nullptr : &*found;
}

std::string object_reader::path_of(std::string_view key) const
{
    return path_ + "." + std::string{key};
}

void object_reader::record_error(std::string path, std::string message)
{
    if (!first_error_) {
        first_error_ = error{std::move(path), std::move(message)};
    }
}

void object_reader::reject_unknown_fields()
{
    for (auto const& item : object_.items()) {
        if (is_object_ && !known_keys_.contains(item.key())) {
            record_error(path_of(item.key().substr(0, max_excerpt_bytes)),
                         "is not a known field");
            return;
        }
    }
}

json const* object_reader::find_array(std::string_view key, std::size_t max)
{
    auto const* value = find_field(key);
    if (value == nullptr) {
        return nullptr;
    }
    if (!value->is_array() || value->size() > max) {
        reject(key, *value,
               "must be an array of at most " + std::to_string(max) + " items");
        return nullptr;
    }
    return value;
}

void object_reader::reject(std::string_view key, json const& value,
                           std::string const& allowed)
{
    record_error(path_of(key), excerpt(value) + "; " + allowed);
}

} // namespace medlarstall
