#ifndef MEDLARSTALL_CATALOGUE_VALIDATION_HPP
#define MEDLARSTALL_CATALOGUE_VALIDATION_HPP

#include <medlarstall/catalogue/catalogue.hpp>
#include <medlarstall/support/result.hpp>

namespace medlarstall::catalogue {

/// Checks what single entries cannot show: every reference points to an entry
/// of the right kind, the floors add up to less than 1, no key and no static
/// backend server stands twice, and keys exist only with a consortium key.
/// \param entries a catalogue whose entries are valid one by one
/// \return success, or an error with the path, the value and what is allowed
[[nodiscard]] status validate(catalogue const& entries);

} // namespace medlarstall::catalogue

#endif
