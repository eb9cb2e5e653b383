#include "json_table.hpp"

#include <medlarstall/cli/text_table.hpp>

namespace medlarstall::cli {

using nlohmann::json;

std::string cell(json const& object, char const* key)
{
    auto const found = object.find(key);
    if (found == object.end() || found->is_null()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string table_of(json const& objects, std::vector<char const*> const& keys)
{
    text_table table{{keys.begin(), keys.end()}};
    for (auto const& object : objects) {
        text_table::row cells;
        for (auto const* key : keys) {
            cells.push_back(cell(object, key));
        }
        table.add(std::move(cells));
    }
    return table.text();
}

} // namespace medlarstall::cli
