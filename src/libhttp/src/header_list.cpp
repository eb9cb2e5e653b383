#include <medlarstall/http/header_list.hpp>

#include <medlarstall/http/memory_account.hpp>

#include <medlarstall/support/split.hpp>

#include <algorithm>
#include <array>
#include <cctype>

namespace medlarstall::http {

namespace {

constexpr std::array hop_by_hop_names = {
    std::string_view{"connection"},          std::string_view{"keep-alive"},
    std::string_view{"proxy-authenticate"},  std::string_view{"te"},
    std::string_view{"proxy-authorization"}, std::string_view{"trailer"},
    std::string_view{"proxy-connection"},    std::string_view{"upgrade"},
    std::string_view{"transfer-encoding"}};

/// \return true if a character would end a field, or is none
bool ends_field(char character)
{
    return character == '\r' || character == '\n' || character == '\0';
}

char to_lower(char character)
{
    return static_cast<char>(
        std::tolower(static_cast<unsigned char>(character)));
}

template<class Names>
bool is_listed(std::string_view name, Names const& names)
{
    return std::ranges::any_of(names, [name](std::string_view other) {
        return equals_ignoring_case(name, other);
    });
}

} // namespace

bool equals_ignoring_case(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, [](char first, char second) {
        return to_lower(first) == to_lower(second);
    });
}

std::string const* header_list::find(std::string_view name) const
{
    auto const found =
        std::ranges::find_if(entries_, [name](auto const& field) {
            return equals_ignoring_case(field.name, name);
        });
    return found == entries_.end() ? nullptr : &found->value;
}

void header_list::add(std::string name, std::string value)
{
    text_bytes_ += heap_bytes(name) + heap_bytes(value);
    entries_.push_back({std::move(name), std::move(value)});
}

void header_list::set(std::string_view name, std::string value)
{
    remove(name);
    add(std::string{name}, std::move(value));
}

void header_list::remove(std::string_view name)
{
    std::erase_if(entries_, [name](auto const& field) {
        return equals_ignoring_case(field.name, name);
    });
    count_text();
}

void header_list::remove_hop_by_hop(std::vector<std::string> const& end_to_end)
{
    std::vector<std::string> connection_options;
    for (auto const& field : entries_) {
        if (equals_ignoring_case(field.name, "connection")) {
            for (auto const token : split(field.value, ',')) {
                connection_options.emplace_back(token);
            }
        }
    }
    std::erase_if(entries_, [&](header const& field) {
        auto const hop_by_hop =
            std::ranges::any_of(hop_by_hop_names, [&](auto name) {
                return equals_ignoring_case(field.name, name);
            });
        return hop_by_hop || (is_listed(field.name, connection_options) &&
                              !is_listed(field.name, end_to_end));
    });
    count_text();
}

void header_list::count_text()
{
    text_bytes_ = 0;
    for (auto const& field : entries_) {
        text_bytes_ += heap_bytes(field.name) + heap_bytes(field.value);
    }
}

bool header_list::has_token(std::string_view name, std::string_view token) const
{
    return std::ranges::any_of(entries_, [&](header const& field) {
        return equals_ignoring_case(field.name, name) &&
               is_listed(token, split(field.value, ','));
    });
}

void header_list::append_to(std::string& text) const
{
    for (auto const& field : entries_) {
        text.append(field.name).append(": ");
        auto const begin = text.size();
        text.append(field.value);
        // A value of another program must not end its field.
        std::replace_if(text.begin() + static_cast<std::ptrdiff_t>(begin),
                        text.end(), ends_field, ' ');
        text.append("\r\n");
    }
}

} // namespace medlarstall::http
