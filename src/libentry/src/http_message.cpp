#include <medlarstall/entry/http_message.hpp>

#include <algorithm>
#include <cctype>

namespace medlarstall::entry {

std::string_view find_field(header_fields const& fields, std::string_view name)
{
    auto const same = [](char left, char right) {
        return std::tolower(static_cast<unsigned char>(left)) ==
               std::tolower(static_cast<unsigned char>(right));
    };
    for (auto const& [field, value] : fields) {
        if (std::ranges::equal(field, name, same)) {
            return value;
        }
    }
    return {};
}

} // namespace medlarstall::entry
