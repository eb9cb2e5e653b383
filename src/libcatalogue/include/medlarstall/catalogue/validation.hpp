#ifndef MEDLARSTALL_CATALOGUE_VALIDATION_HPP
#define MEDLARSTALL_CATALOGUE_VALIDATION_HPP

#include <medlarstall/catalogue/catalogue.hpp>
#include <medlarstall/support/result.hpp>

namespace medlarstall::catalogue {

/// Checks the rules that span several entries: every reference names an entry
/// of the right kind, the floors of all classes add up to less than 1, no key
/// and no static backend server id appears twice, no group lists a role twice,
/// and if there are operator keys, one of them is a consortium operator's. Also
/// checks the methods and path prefixes of service operations.
/// \param entries catalogue whose entries each passed entry_reader
/// \return success, or an error with the JSON path of the first violation, the
///     value found there and the values allowed
[[nodiscard]] status validate(catalogue const& entries);

} // namespace medlarstall::catalogue

#endif
