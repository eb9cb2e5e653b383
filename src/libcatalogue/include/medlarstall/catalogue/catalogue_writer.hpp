#ifndef MEDLARSTALL_CATALOGUE_CATALOGUE_WRITER_HPP
#define MEDLARSTALL_CATALOGUE_CATALOGUE_WRITER_HPP

#include <medlarstall/catalogue/entry_kind.hpp>

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace medlarstall::catalogue {

/// Writes catalogues and entries in their canonical JSON form
/// (docs/CATALOGUE.md): equal values give equal text.
class catalogue_writer
{
public:
    /// \param entry an entry
    /// \return its JSON form; the name is not part of it
    [[nodiscard]] nlohmann::json to_json(any_entry const& entry) const;

    /// \param entries a catalogue
    /// \return its JSON form without revisions
    [[nodiscard]] nlohmann::json to_json(catalogue const& entries) const;

    /// \param entries a catalogue
    /// \return for each table and name the revision and the id of the change
    [[nodiscard]] nlohmann::json revisions(catalogue const& entries) const;

    /// \param entries a catalogue
    /// \return its canonical text without revisions
    [[nodiscard]] std::string write(catalogue const& entries) const;
};

/// Computes what identifies a catalogue: all entries and revisions.
/// \param entries a catalogue
/// \return SHA-256 of the canonical form, in hex
[[nodiscard]] std::string catalogue_digest(catalogue const& entries);

} // namespace medlarstall::catalogue

#endif
