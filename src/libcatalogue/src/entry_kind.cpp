#include <medlarstall/catalogue/entry_kind.hpp>

#include <algorithm>
#include <array>

namespace medlarstall::catalogue {

namespace {

constexpr std::array<std::string_view, 6> table_names{
    "classes", "organisations", "groups",
    "models",  "services",      "operator_keys"};

} // namespace

std::string_view table_name(entry_kind kind)
{
    return table_names.at(static_cast<std::size_t>(kind));
}

result<entry_kind> parse_entry_kind(std::string_view name)
{
    auto const found = std::ranges::find(table_names, name);
    if (found == table_names.end()) {
        return error{"table", "'" + std::string{name.substr(0, 40)} +
                                  "'; must be classes, organisations, groups, "
                                  "models, services or operator_keys"};
    }
    return static_cast<entry_kind>(found - table_names.begin());
}

} // namespace medlarstall::catalogue
