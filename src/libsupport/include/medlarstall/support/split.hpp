#ifndef MEDLARSTALL_SUPPORT_SPLIT_HPP
#define MEDLARSTALL_SUPPORT_SPLIT_HPP

#include <string>
#include <string_view>
#include <vector>

namespace medlarstall {

/// Splits a list into its items, without the blanks around them.
/// \param list items with a separator between them; may be empty
/// \param separator the separator
/// \return the items, as parts of the list; empty ones are kept
[[nodiscard]] std::vector<std::string_view> split(std::string_view list,
                                                  char separator);

/// Reads a list of texts.
/// \param list items with a separator between them
/// \param separator the separator
/// \return the items that are not empty, without the blanks around them
[[nodiscard]] std::vector<std::string> list_items(std::string_view list,
                                                  char separator = ',');

} // namespace medlarstall

#endif
