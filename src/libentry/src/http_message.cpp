#include <medlarstall/entry/http_message.hpp>

#include <algorithm>
#include <cctype>

namespace medlarstall::entry {

std::string_view find_field(header_fields const& fields, std::string_view name)
{
    auto const equal_ignoring_case = [](char left, char right) {
        return std::tolower(static_cast<unsigned char>(left)) ==
               std::tolower(static_cast<unsigned char>(right));
    };
    for (auto const& [field, value] : fields) {
        if (std::ranges::equal(field, name, equal_ignoring_case)) {
            return value;
        }
    }
    return {};
}

} // namespace medlarstall::entry
