#include <medlarstall/support/split.hpp>

namespace medlarstall {

namespace {

constexpr std::string_view whitespace = " \t";

std::string_view trimmed(std::string_view text)
{
    auto const first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

} // namespace

std::vector<std::string_view> split(std::string_view list, char separator)
{
    std::vector<std::string_view> items;
    while (!list.empty()) {
        auto const end = list.find(separator);
        items.push_back(trimmed(list.substr(0, end)));
        list = end == std::string_view::npos ? std::string_view{}
                                             : list.substr(end + 1);
    }
    return items;
}

std::vector<std::string> split_non_empty(std::string_view list, char separator)
{
    auto items = split(list, separator);
    std::erase(items, "");
    return {items.begin(), items.end()};
}

} // namespace medlarstall
