#ifndef MEDLARSTALL_CATALOGUE_ENTRY_READER_HPP
#define MEDLARSTALL_CATALOGUE_ENTRY_READER_HPP

#include <medlarstall/catalogue/entry_kind.hpp>
#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace medlarstall::catalogue {

/// Reads single entries from their JSON form (docs/CATALOGUE.md).
class entry_reader
{
public:
    /// \param kind kind of entry
    /// \param name name of the entry
    /// \param object JSON form
    /// \param path JSON path of \p object, for errors
    /// \return the entry, or an error with the path of the value at fault, the
    ///     value and what is allowed. References are not checked.
    [[nodiscard]] result<any_entry> read(entry_kind kind,
                                         std::string const& name,
                                         nlohmann::json const& object,
                                         std::string const& path) const;
};

} // namespace medlarstall::catalogue

#endif
