#ifndef MEDLARSTALL_CATALOGUE_CATALOGUE_WRITER_HPP
#define MEDLARSTALL_CATALOGUE_CATALOGUE_WRITER_HPP

#include <medlarstall/catalogue/entry_kind.hpp>

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace medlarstall::catalogue {

/// Writes catalogues and entries in their canonical JSON form, in which equal
/// values give equal text. docs/CATALOGUE.md describes the form.
class catalogue_writer
{
public:
    /// \param entry entry to write
    /// \return the JSON form of the entry, without its name
    [[nodiscard]] nlohmann::json to_json(any_entry const& entry) const;

    /// \param entries catalogue to write
    /// \return the JSON form of the catalogue, without revisions
    [[nodiscard]] nlohmann::json to_json(catalogue const& entries) const;

    /// \param entries catalogue whose revisions to write
    /// \return an object with the tables and the names of their entries; each
    ///     entry is an array of its revision and the id of the last change
    [[nodiscard]] nlohmann::json
    revisions_to_json(catalogue const& entries) const;

    /// \param entries catalogue to write
    /// \return canonical JSON text of the catalogue, without revisions
    [[nodiscard]] std::string write(catalogue const& entries) const;
};

/// Computes a digest that identifies a catalogue by all its entries and their
/// revisions.
/// \param entries catalogue to identify
/// \return SHA-256 of the canonical form, in hex
[[nodiscard]] std::string catalogue_digest(catalogue const& entries);

} // namespace medlarstall::catalogue

#endif
