#ifndef MEDLARSTALL_CATALOGUE_ENTRY_READER_HPP
#define MEDLARSTALL_CATALOGUE_ENTRY_READER_HPP

#include <medlarstall/catalogue/entry_kind.hpp>
#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace medlarstall::catalogue {

/// Reads single entries from their JSON form, which docs/CATALOGUE.md
/// describes.
class entry_reader
{
public:
    /// Reads one entry. References to other entries are not checked; see
    /// validate().
    /// \param kind kind of the entry, which determines its fields
    /// \param name name of the entry, which is not part of \p object
    /// \param object JSON form of the entry
    /// \param path JSON path of \p object, used in errors
    /// \return the entry, or an error with the JSON path of the invalid value,
    ///     the value itself and the values allowed
    [[nodiscard]] result<any_entry> read(entry_kind kind,
                                         std::string const& name,
                                         nlohmann::json const& object,
                                         std::string const& path) const;
};

} // namespace medlarstall::catalogue

#endif
