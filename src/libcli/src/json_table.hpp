#ifndef MEDLARSTALL_CLI_SRC_JSON_TABLE_HPP
#define MEDLARSTALL_CLI_SRC_JSON_TABLE_HPP

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace medlarstall::cli {

/// Formats a member of a JSON object as the text of a table cell.
/// \param object JSON object
/// \param key name of the member
/// \return the value, without quotes if it is a string; "-" if the member is
///     absent or null
[[nodiscard]] std::string cell_text(nlohmann::json const& object,
                                    char const* key);

/// Formats a table with a row for each object and a column for each key.
/// \param objects JSON array of objects
/// \param keys names of the members to print, also the headers of the columns
/// \return the table, each line ended by a line feed
[[nodiscard]] std::string format_table(nlohmann::json const& objects,
                                       std::vector<char const*> const& keys);

} // namespace medlarstall::cli

#endif
