#ifndef MEDLARSTALL_CLI_SRC_JSON_TABLE_HPP
#define MEDLARSTALL_CLI_SRC_JSON_TABLE_HPP

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace medlarstall::cli {

/// \param object an object
/// \param key name of a member
/// \return the member as text without quotes, "-" if it is absent
[[nodiscard]] std::string cell(nlohmann::json const& object, char const* key);

/// Makes a table with a row for each object and a column for each key.
/// \param objects the objects
/// \param keys names of their members
/// \return its text
[[nodiscard]] std::string table_of(nlohmann::json const& objects,
                                   std::vector<char const*> const& keys);

} // namespace medlarstall::cli

#endif
