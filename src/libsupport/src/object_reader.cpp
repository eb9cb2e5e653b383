#include <medlarstall/support/object_reader.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall {

namespace {

using nlohmann::json;

constexpr std::size_t shown_bytes = 60;

std::string shown(json const& value)
{
    auto text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > shown_bytes) {
        text.resize(shown_bytes);
        text += "...";
    }
    return text;
}

std::string shown(double value)
{
    return json(value).dump();
}

bool letter_or_digit(char character)
{
    return (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9');
}

bool made_of(std::string_view text, std::string_view others)
{
    return std::ranges::all_of(text, [others](char character) {
        return letter_or_digit(character) ||
               others.find(character) != std::string_view::npos;
    });
}

bool is_sha256_hex(std::string_view text)
{
    return text.size() == 64 && std::ranges::all_of(text, [](char character) {
               return (character >= '0' && character <= '9') ||
                      (character >= 'a' && character <= 'f');
           });
}

/// \return the whole number from 0, or nothing
std::optional<std::uint64_t> whole_number(json const& value)
{
    bool const whole =
        value.is_number_unsigned() ||
        (value.is_number_integer() && value.get<std::int64_t>() >= 0);
    return whole ? std::optional{value.get<std::uint64_t>()} : std::nullopt;
}

bool is_bounded(std::string_view text, std::size_t least, std::size_t most)
{
    return text.size() >= least && text.size() <= most;
}

} // namespace

char const* form_violation(std::string_view text, text_form form)
{
    switch (form) {
    case text_form::name:
        return is_bounded(text, 1, 128) && made_of(text, "._:/-")
                   ? nullptr
                   : "must be 1 to 128 of letters, digits and ._:/-";
    case text_form::segment:
        return is_bounded(text, 1, 64) && made_of(text, "._-")
                   ? nullptr
                   : "must be 1 to 64 of letters, digits and ._-";
    case text_form::free:
        return is_bounded(text, 0, 256) ? nullptr
                                        : "must have at most 256 characters";
    case text_form::sha256_hex:
        return is_sha256_hex(text) ? nullptr
                                   : "must be 64 lower-case hexadecimal digits";
    }
    return "has an unknown form";
}

object_reader::object_reader(json const& object, std::string path,
                             std::optional<error>& failure)
    : object_{object}, path_{std::move(path)}, failure_{failure},
      usable_{object.is_object()}
{
    if (!usable_) {
        fail(path_, shown(object) + "; must be an object");
    }
}

void object_reader::require(std::string_view key)
{
    if (usable_ && !object_.contains(key)) {
        fail(path_of(key), "is missing");
    }
}

void object_reader::read(std::string_view key, std::string& target,
                         text_form form)
{
    auto const* value = field(key);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string()) {
        refuse(key, *value, "must be a string");
        return;
    }
    auto const& text = value->get_ref<std::string const&>();
    if (auto const* allowed = form_violation(text, form)) {
        refuse(key, *value, allowed);
        return;
    }
    target = text;
}

void object_reader::read(std::string_view key, bool& target)
{
    auto const* value = field(key);
    if (value == nullptr) {
        return;
    }
    if (!value->is_boolean()) {
        refuse(key, *value, "must be true or false");
        return;
    }
    target = value->get<bool>();
}

void object_reader::read(std::string_view key, double& target,
                         range<double> allowed)
{
    auto const* value = field(key);
    if (value == nullptr) {
        return;
    }
    auto const number = value->is_number() ? value->get<double>() : 0.0;
    if (!value->is_number() || !(number >= allowed.least) ||
        !(number <= allowed.most)) {
        refuse(key, *value,
               "must be a number from " + shown(allowed.least) + " to " +
                   shown(allowed.most));
        return;
    }
    target = number;
}

void object_reader::read(std::string_view key, unsigned& target,
                         range<unsigned> allowed)
{
    auto const* value = field(key);
    if (value == nullptr) {
        return;
    }
    auto const number = whole_number(*value);
    bool const fits =
        number && *number >= allowed.least && *number <= allowed.most;
    if (!fits) {
        refuse(key, *value,
               "must be a whole number from " + std::to_string(allowed.least) +
                   " to " + std::to_string(allowed.most));
        return;
    }
    target = static_cast<unsigned>(*number);
}

void object_reader::read(std::string_view key, std::uint64_t& target)
{
    auto const* value = field(key);
    if (value == nullptr) {
        return;
    }
    auto const number = whole_number(*value);
    if (!number) {
        refuse(key, *value, "must be a whole number from 0");
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
         range<unsigned>{static_cast<unsigned>(allowed.least.count()),
                         static_cast<unsigned>(allowed.most.count())});
    target = std::chrono::milliseconds{value};
}

void object_reader::read(std::string_view key, std::vector<std::string>& target,
                         text_form form, std::size_t most)
{
    if (field(key) == nullptr) {
        return;
    }
    std::set<std::string> seen;
    target.clear();
    each(key, most, [&](json const& item, std::string const& path) {
        if (!item.is_string()) {
            fail(path, shown(item) + "; must be a string");
            return;
        }
        auto const& text = item.get_ref<std::string const&>();
        if (auto const* allowed = form_violation(text, form)) {
            fail(path, shown(item) + "; " + allowed);
            return;
        }
        if (!seen.insert(text).second) {
            fail(path, shown(item) + "; must not stand twice");
            return;
        }
        target.push_back(text);
    });
}

json const* object_reader::field(std::string_view key)
{
    if (!usable_) {
        return nullptr;
    }
    known_.emplace(key);
    auto const found = object_.find(key);
    return found == object_.end() ? nullptr : &*found;
}

std::string object_reader::path_of(std::string_view key) const
{
    return path_ + "." + std::string{key};
}

void object_reader::fail(std::string path, std::string message)
{
    if (!failure_) {
        failure_ = error{std::move(path), std::move(message)};
    }
}

void object_reader::finish()
{
    for (auto const& item : object_.items()) {
        if (usable_ && !known_.contains(item.key())) {
            fail(path_of(item.key().substr(0, shown_bytes)),
                 "is not a known field");
            return;
        }
    }
}

json const* object_reader::array(std::string_view key, std::size_t most)
{
    auto const* value = field(key);
    if (value == nullptr) {
        return nullptr;
    }
    if (!value->is_array() || value->size() > most) {
        refuse(key, *value,
               "must be an array of at most " + std::to_string(most) +
                   " items");
        return nullptr;
    }
    return value;
}

void object_reader::refuse(std::string_view key, json const& value,
                           std::string const& allowed)
{
    fail(path_of(key), shown(value) + "; " + allowed);
}

} // namespace medlarstall
