#ifndef MEDLARSTALL_CATALOGUE_CATALOGUE_READER_HPP
#define MEDLARSTALL_CATALOGUE_CATALOGUE_READER_HPP

#include <medlarstall/catalogue/catalogue.hpp>
#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace medlarstall::catalogue {

/// Reads a whole catalogue from its JSON form, which docs/CATALOGUE.md
/// describes, and validates it.
class catalogue_reader
{
public:
    /// \param text JSON text
    /// \return the catalogue with every entry at revision 1, or an error with
    ///     the JSON path of the invalid value, the value itself and the values
    ///     allowed
    [[nodiscard]] result<catalogue> read(std::string_view text) const;

    /// \param document parsed JSON form of the catalogue
    /// \return as for read()
    [[nodiscard]] result<catalogue>
    read_json(nlohmann::json const& document) const;
};

} // namespace medlarstall::catalogue

#endif
