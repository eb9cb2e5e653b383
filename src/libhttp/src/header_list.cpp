#include <medlarstall/http/header_list.hpp>

#include <medlarstall/support/split.hpp>

#include <algorithm>
#include <array>
#include <cctype>

namespace medlarstall::http {

namespace {

constexpr std::array hop_by_hop = {
    std::string_view{"connection"},          std::string_view{"keep-alive"},
    std::string_view{"proxy-authenticate"},  std::string_view{"te"},
    std::string_view{"proxy-authorization"}, std::string_view{"trailer"},
    std::string_view{"proxy-connection"},    std::string_view{"upgrade"},
    std::string_view{"transfer-encoding"}};

char lower(char letter)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

template<class Names>
bool among(std::string_view name, Names const& names)
{
    return std::ranges::any_of(names, [name](std::string_view other) {
        return same_name(name, other);
    });
}

} // namespace

bool same_name(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, [](char one, char other) {
        return lower(one) == lower(other);
    });
}

std::string const* header_list::find(std::string_view name) const
{
    auto const found = std::ranges::find_if(entries_, [name](auto const& item) {
        return same_name(item.name, name);
    });
    return found == entries_.end() ? nullptr : &found->value;
}

void header_list::add(std::string name, std::string value)
{
    entries_.push_back({std::move(name), std::move(value)});
}

void header_list::set(std::string_view name, std::string value)
{
    remove(name);
    add(std::string{name}, std::move(value));
}

void header_list::remove(std::string_view name)
{
    std::erase_if(entries_, [name](auto const& item) {
        return same_name(item.name, name);
    });
}

void header_list::remove_hop_by_hop(std::vector<std::string> const& kept)
{
    std::vector<std::string> named;
    for (auto const& item : entries_) {
        if (same_name(item.name, "connection")) {
            for (auto const word : split(item.value, ',')) {
                named.emplace_back(word);
            }
        }
    }
    std::erase_if(entries_, [&](header const& item) {
        auto const fixed = std::ranges::any_of(
            hop_by_hop, [&](auto name) { return same_name(item.name, name); });
        return fixed || (among(item.name, named) && !among(item.name, kept));
    });
}

bool header_list::has_token(std::string_view name, std::string_view word) const
{
    return std::ranges::any_of(entries_, [&](header const& item) {
        return same_name(item.name, name) &&
               among(word, split(item.value, ','));
    });
}

void header_list::write_to(std::string& text) const
{
    for (auto const& item : entries_) {
        text.append(item.name).append(": ").append(item.value).append("\r\n");
    }
}

} // namespace medlarstall::http
