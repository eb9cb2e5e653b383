#ifndef MEDLARSTALL_SUPPORT_SPLIT_HPP
#define MEDLARSTALL_SUPPORT_SPLIT_HPP

#include <string>
#include <string_view>
#include <vector>

namespace medlarstall {

/// Splits a list into its items and trims spaces and tabs around each.
/// \param list items with a separator between them; may be empty
/// \param separator character between two items
/// \return views into \p list, one for each item; empty items are kept, except
///     an empty one after the last separator
[[nodiscard]] std::vector<std::string_view> split(std::string_view list,
                                                  char separator);

/// Splits a list like split(), but leaves out empty items.
/// \param list items with a separator between them; may be empty
/// \param separator character between two items
/// \return copies of the items that are not empty after trimming
[[nodiscard]] std::vector<std::string> split_non_empty(std::string_view list,
                                                       char separator = ',');

} // namespace medlarstall

#endif
