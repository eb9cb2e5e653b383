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

    /// Revision that the entry must have for the edit to be accepted; 0 if it
    /// must not exist.
    revision expected = 0;

    std::optional<any_entry> put; ///< New entry; absent to delete the entry.

    bool operator==(edit const&) const = default;
};

/// A change of the catalogue by an operator. Either all of its edits take
/// effect or none. Plain data.
struct change
{
    std::string id;                ///< UUID chosen by the operator.
    std::string author;            ///< Name of the author's operator key.
    std::string author_key_digest; ///< SHA-256 of that key, in hex.

    /// Version that the author had applied. The change is refused if its chain
    /// digest differs from the known one at that offset.
    std::optional<catalogue_version> anchor;

    std::vector<edit> edits;

    bool operator==(change const&) const = default;
};

/// One part of a checkpoint. Parts of equal payloads can be combined even if
/// different daemons wrote them. Plain data.
struct checkpoint_part
{
    std::uint64_t end_offset = 0; ///< All records below it are covered.
    unsigned part_index = 0;      ///< Index of this part, from 0.
    unsigned part_count = 1;
    std::string payload_digest; ///< SHA-256 of the whole payload, in hex.
    std::string payload;        ///< This part of the payload.

    bool operator==(checkpoint_part const&) const = default;
};

/// Content of a record of the catalogue log.
using record_body = std::variant<change, checkpoint_part>;

} // namespace medlarstall::catalogue

#endif
