#ifndef MEDLARSTALL_SUPPORT_SPLIT_HPP
#define MEDLARSTALL_SUPPORT_SPLIT_HPP

#include <string_view>
#include <vector>

namespace medlarstall {

/// Splits a list into its items, without the blanks around them.
/// \param list items with a separator between them; may be empty
/// \param separator the separator
/// \return the items, as parts of the list; empty ones are kept
[[nodiscard]] std::vector<std::string_view> split(std::string_view list,
                                                  char separator);

} // namespace medlarstall

#endif
