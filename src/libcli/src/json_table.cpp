#include "json_table.hpp"

#include <medlarstall/cli/text_table.hpp>

namespace medlarstall::cli {

using nlohmann::json;

std::string cell_text(json const& object, char const* key)
{
    auto const found = object.find(key);
    if (found == object.end() || found->is_null()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string format_table(json const& objects,
                         std::vector<char const*> const& keys)
{
    text_table table{{keys.begin(), keys.end()}};
    for (auto const& object : objects) {
        text_table::row cells;
        for (auto const* key : keys) {
            cells.push_back(cell_text(object, key));
        }
        table.add_row(std::move(cells));
    }
    return table.to_text();
}

} // namespace medlarstall::cli
