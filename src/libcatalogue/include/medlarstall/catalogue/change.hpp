#ifndef MEDLARSTALL_CATALOGUE_CHANGE_HPP
#define MEDLARSTALL_CATALOGUE_CHANGE_HPP

#include <medlarstall/catalogue/catalogue_version.hpp>
#include <medlarstall/catalogue/entry_kind.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::catalogue {

/// Replaces or deletes one entry. Plain data.
struct edit
{
    entry_kind kind = entry_kind::service_class;
    std::string name;
    revision expected = 0;        ///< 0: the entry must not exist.
    std::optional<any_entry> put; ///< Absent: delete the entry.

    bool operator==(edit const&) const = default;
};

/// An operator's change of the catalogue, which takes effect as a whole or
/// not at all. Plain data.
struct change
{
    std::string id;                ///< UUID chosen by the operator.
    std::string author;            ///< Name of the author's operator key.
    std::string author_key_digest; ///< SHA-256 of that key, in hex.
    std::optional<catalogue_version> anchor; ///< What the writer had applied.
    std::vector<edit> edits;

    bool operator==(change const&) const = default;
};

/// One piece of a checkpoint. Pieces of equal payloads from any writers fit
/// together. Plain data.
struct checkpoint_part
{
    std::uint64_t prefix = 0; ///< Records below this offset are covered.
    unsigned part = 0;        ///< From 0.
    unsigned parts = 1;
    std::string payload_digest; ///< SHA-256 of the whole payload, in hex.
    std::string payload;        ///< This piece of the payload.

    bool operator==(checkpoint_part const&) const = default;
};

/// What a record of the catalogue's log holds.
using record_body = std::variant<change, checkpoint_part>;

} // namespace medlarstall::catalogue

#endif
